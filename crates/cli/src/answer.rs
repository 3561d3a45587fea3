//! What a command that was carried out has to say.

use crate::{command, exit};

/// Text for people and document for programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    human: String,
    document: serde_json::Value,
    code: exit::Code,
}

impl Answer {
    /// Makes an answer with exit code 0.
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

    /// Returns what to write to standard output.
    pub fn text(&self, output: command::Output) -> String {
        match output {
            command::Output::Human => self.human.clone(),
            command::Output::Json => format!("{:#}\n", self.document),
        }
    }
}
