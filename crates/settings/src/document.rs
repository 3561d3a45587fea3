//! JSON with comments.
//!
//! Settings and change tickets are written by people, so a fault names the
//! line, the column and the field at which it was found.

use std::fmt;
use std::io::Read as _;

/// Place and kind of a fault in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in bytes, from 1.
    pub column: usize,
    /// Path of the field, for example `timing.lease_ms`; empty at the top level.
    pub field: String,
    /// What is wrong.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "`{}`: ", self.field)?;
        }
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Fault {}

/// Parses JSON with `//` and `/* */` comments.
///
/// # Errors
///
/// Returns the first fault with its line, column and field.
///
/// # Examples
///
/// ```
/// use sequoiayoke_settings::document;
///
/// let list: Vec<u32> = document::parse(b"[1, /* two */ 2] // end").expect("it is well-formed");
/// assert_eq!(list, [1, 2]);
///
/// let fault = document::parse::<Vec<u32>>(b"[1,\n \"x\"]").expect_err("`x` is not a number");
/// assert_eq!((fault.line, fault.field.as_str()), (2, "[1]"));
/// ```
pub fn parse<T>(text: &[u8]) -> Result<T, Fault>
where
    T: serde::de::DeserializeOwned,
{
    let plain = strip(text)?;
    let mut reader = serde_json::Deserializer::from_slice(&plain);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field = error.path().to_string();
        fault(&error.into_inner(), field)
    })?;
    reader.end().map_err(|error| fault(&error, String::new()))?;
    Ok(value)
}

/// Replaces comments by spaces; every byte keeps its line and column.
fn strip(text: &[u8]) -> Result<Vec<u8>, Fault> {
    let reader = json_comments::CommentSettings::c_style().strip_comments(text);
    let mut plain = Vec::with_capacity(text.len());
    // The text is in memory, and reading it byte by byte tells where a fault is.
    #[allow(clippy::unbuffered_bytes)]
    for byte in reader.bytes() {
        match byte {
            Ok(byte) => plain.push(byte),
            Err(_) => return Err(unreadable(text, plain.len())),
        }
    }
    // The library also blanks the line ends within block comments, which would
    // shift the line of every later fault.
    for (to, &from) in plain.iter_mut().zip(text) {
        if from == b'\n' {
            *to = from;
        }
    }
    Ok(plain)
}

/// Describes a fault in the comments; `offset` is the first byte that could not be read.
fn unreadable(text: &[u8], offset: usize) -> Fault {
    let within = offset < text.len();
    // Within the text it is the byte after a `/` that starts no comment.
    let before = &text[..offset.saturating_sub(usize::from(within))];
    let line_start = before
        .iter()
        .rposition(|&byte| byte == b'\n')
        .map_or(0, |end| end + 1);
    Fault {
        line: before.iter().filter(|&&byte| byte == b'\n').count() + 1,
        column: before.len() - line_start + 1,
        field: String::new(),
        detail: if within {
            "a `/` outside a string must start a comment (`//` or `/* */`)".to_owned()
        } else {
            "a string or comment is not closed before the end".to_owned()
        },
    }
}

fn fault(error: &serde_json::Error, field: String) -> Fault {
    let text = error.to_string();
    let place = format!(" at line {} column {}", error.line(), error.column());
    Fault {
        line: error.line().max(1),
        column: error.column().max(1),
        field: if field == "." { String::new() } else { field },
        detail: text.strip_suffix(&place).unwrap_or(&text).to_owned(),
    }
}
