//! Output of commands that succeeded.

use crate::{command, exit};

/// Output of a command: text for people, and a JSON document for programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    human: String,
    document: serde_json::Value,
    code: exit::Code,
}

impl Output {
    /// Creates an output with exit code 0.
    pub fn new<D>(human: String, document: &D) -> Self
    where
        D: serde::Serialize,
    {
        Self {
            human,
            document: serde_json::to_value(document)
                .expect("documents have text keys and finite numbers only"),
            code: exit::Code::Done,
        }
    }

    /// Sets the exit code.
    #[must_use]
    pub fn with_code(mut self, code: exit::Code) -> Self {
        self.code = code;
        self
    }

    /// Returns the exit code.
    pub fn code(&self) -> exit::Code {
        self.code
    }

    /// Returns the text for standard output.
    pub fn render(&self, format: command::Format) -> String {
        match format {
            command::Format::Human => self.human.clone(),
            command::Format::Json => format!("{:#}\n", self.document),
        }
    }
}
