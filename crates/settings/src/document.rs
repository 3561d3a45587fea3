//! JSON with comments.
//!
//! Settings and change tickets are written by people, so a fault names the
//! line, the column and the field at which it was found.

use std::fmt;
use std::io::Read as _;

/// Place and kind of a fault in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line, from 1.
    pub line: usize,
    /// Column in bytes, from 1.
    pub column: usize,
    /// Path of the field, for example `timing.lease_ms`; empty at the top level.
    pub field: String,
    /// What is wrong.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "`{}`: ", self.field)?;
        }
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

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
pub fn parse<T>(text: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    let plain = strip(text)?;
    let mut reader = serde_json::Deserializer::from_slice(&plain);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field = error.path().to_string();
        fault(text, &error.into_inner(), field)
    })?;
    let ended = reader.end();
    ended.map_err(|error| fault(text, &error, String::new()))?;
    Ok(value)
}

/// Replaces comments by spaces; every byte keeps its line and column.
fn strip(text: &[u8]) -> Result<Vec<u8>, Error> {
    let reader = json_comments::CommentSettings::c_style().strip_comments(text);
    let mut plain = Vec::with_capacity(text.len());
    // The text is in memory, and reading it byte by byte tells where a fault is.
    #[allow(clippy::unbuffered_bytes)]
    for byte in reader.bytes() {
        match byte {
            Ok(byte) => plain.push(byte),
            Err(_) if plain.len() < text.len() => {
                // The fault is the byte after a `/` that starts no comment.
                let slash = plain.len().saturating_sub(1);
                let detail = "a `/` outside a string must start a comment (`//` or `/* */`)";
                return Err(fault_at(text, slash, detail));
            }
            Err(_) => {
                if let Some(start) = open_comment(text, &plain) {
                    return Err(fault_at(text, start, "this comment is not closed"));
                }
                // A string is open, whose place the parser reports.
                break;
            }
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

/// Returns the start of the block comment that is open at the end, if one is.
fn open_comment(text: &[u8], plain: &[u8]) -> Option<usize> {
    // Comments are blank in `plain`, so the open one follows the last other byte.
    let visible = |byte: &u8| !byte.is_ascii_whitespace();
    let mut at = plain.iter().rposition(visible).map_or(0, |last| last + 1);
    let find = |mark: &[u8], from: usize| {
        let rest = text.get(from..)?;
        let found = rest.windows(mark.len()).position(|part| part == mark)?;
        Some(from + found)
    };
    loop {
        let start = find(b"/", at)?;
        at = match text.get(start + 1)? {
            b'*' => match find(b"*/", start + 2) {
                Some(end) => end + 2,
                None => return Some(start),
            },
            _ => find(b"\n", start)?,
        };
    }
}

fn fault_at(text: &[u8], offset: usize, detail: &str) -> Error {
    let before = &text[..offset];
    let line_start = before
        .iter()
        .rposition(|&byte| byte == b'\n')
        .map_or(0, |end| end + 1);
    Error {
        line: before.iter().filter(|&&byte| byte == b'\n').count() + 1,
        column: offset - line_start + 1,
        field: String::new(),
        detail: detail.to_owned(),
    }
}

fn fault(text: &[u8], error: &serde_json::Error, field: String) -> Error {
    let message = error.to_string();
    let place = format!(" at line {} column {}", error.line(), error.column());
    let detail = match message.strip_suffix(&place).unwrap_or(&message) {
        "invalid socket address syntax" => "expected an address `IP:port`",
        "expected value" => "expected a value; a comment starts with `//` or `/*`",
        other if other.starts_with("invalid length") => "expected an object in braces",
        other if other.starts_with("control character") => {
            "a string is not closed before the end of its line"
        }
        other => other,
    };
    let (line, column) = match (error.line(), error.column()) {
        // The parser counts the line end at which it stopped to the next line.
        (after @ 2.., 0) => (after - 1, columns(text, after - 1)),
        (line, column) => (line.max(1), column.max(1)),
    };
    Error {
        line,
        column,
        field: if field == "." { String::new() } else { field },
        detail: detail.to_owned(),
    }
}

/// Returns the number of bytes of a line with its end; lines count from 1.
fn columns(text: &[u8], line: usize) -> usize {
    let mut lines = text.split(|&byte| byte == b'\n');
    lines.nth(line - 1).map_or(0, <[u8]>::len) + 1
}
