//! JSON with comments.
//!
//! Settings and change tickets are written by hand, so an error reports the line,
//! the column and the field.

use std::fmt;
use std::io::Read as _;

/// Error in a document, with its position.
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
/// Returns the first error with its line, column and field.
///
/// # Examples
///
/// ```
/// use sequoiayoke_settings::document;
///
/// let list: Vec<u32> = document::parse(b"[1, /* two */ 2] // end").expect("the list is well-formed");
/// assert_eq!(list, [1, 2]);
///
/// let error = document::parse::<Vec<u32>>(b"[1,\n \"x\"]").expect_err("`x` is not a number");
/// assert_eq!((error.line, error.field.as_str()), (2, "[1]"));
/// ```
pub fn parse<T>(text: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    let stripped = blank_comments(text)?;
    let mut reader = serde_json::Deserializer::from_slice(&stripped);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field = error.path().to_string();
        json_error(text, &error.into_inner(), field)
    })?;
    let result = reader.end();
    result.map_err(|error| json_error(text, &error, String::new()))?;
    Ok(value)
}

/// Replaces comments by spaces; every other byte keeps its line and column.
fn blank_comments(text: &[u8]) -> Result<Vec<u8>, Error> {
    let reader = json_comments::CommentSettings::c_style().strip_comments(text);
    let mut stripped = Vec::with_capacity(text.len());
    // The text is in memory, and reading byte by byte gives the position of an error.
    #[allow(clippy::unbuffered_bytes)]
    for byte in reader.bytes() {
        match byte {
            Ok(byte) => stripped.push(byte),
            Err(_) if stripped.len() < text.len() => {
                // The reader fails at the byte after a `/` that starts no comment.
                let slash = stripped.len().saturating_sub(1);
                let detail = "a `/` outside a string must start a comment (`//` or `/* */`)";
                return Err(error_at(text, slash, detail));
            }
            Err(_) => {
                if let Some(start) = find_unclosed_comment(text, &stripped) {
                    return Err(error_at(text, start, "this comment is not closed"));
                }
                // A string is not closed; the parser reports its position.
                break;
            }
        }
    }
    // The library also replaces the line ends within block comments, which would
    // shift the line of every later error.
    for (target, &source) in stripped.iter_mut().zip(text) {
        if source == b'\n' {
            *target = source;
        }
    }
    Ok(stripped)
}

/// Returns the offset of the block comment that is not closed, if there is one.
fn find_unclosed_comment(text: &[u8], stripped: &[u8]) -> Option<usize> {
    // Comments are spaces in `stripped`, so the unclosed one follows the last other byte.
    let is_visible = |byte: &u8| !byte.is_ascii_whitespace();
    let mut offset = stripped
        .iter()
        .rposition(is_visible)
        .map_or(0, |last| last + 1);
    let find = |delimiter: &[u8], from: usize| {
        let rest = text.get(from..)?;
        let index = rest
            .windows(delimiter.len())
            .position(|window| window == delimiter)?;
        Some(from + index)
    };
    loop {
        let start = find(b"/", offset)?;
        offset = match text.get(start + 1)? {
            b'*' => match find(b"*/", start + 2) {
                Some(end) => end + 2,
                None => return Some(start),
            },
            _ => find(b"\n", start)?,
        };
    }
}

fn error_at(text: &[u8], offset: usize, detail: &str) -> Error {
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

fn json_error(text: &[u8], error: &serde_json::Error, field: String) -> Error {
    let message = error.to_string();
    let suffix = format!(" at line {} column {}", error.line(), error.column());
    let detail = match message.strip_suffix(&suffix).unwrap_or(&message) {
        "invalid socket address syntax" => "expected an address `IP:port`",
        "expected value" => "expected a value; a comment starts with `//` or `/*`",
        reason if reason.starts_with("invalid length") => "expected an object in braces",
        reason if reason.starts_with("control character") => {
            "a string is not closed before the end of its line"
        }
        reason => reason,
    };
    let (line, column) = match (error.line(), error.column()) {
        // The parser counts the line end at which it stopped as part of the next line.
        (next_line @ 2.., 0) => (next_line - 1, line_length(text, next_line - 1)),
        (line, column) => (line.max(1), column.max(1)),
    };
    Error {
        line,
        column,
        field: if field == "." { String::new() } else { field },
        detail: detail.to_owned(),
    }
}

/// Returns the length of a line in bytes, its line end included; lines count from 1.
fn line_length(text: &[u8], line: usize) -> usize {
    let mut lines = text.split(|&byte| byte == b'\n');
    lines.nth(line - 1).map_or(0, <[u8]>::len) + 1
}
