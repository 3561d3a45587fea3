//! Why a command was not carried out, and what to do next.

use error_stack::Report;
use sequoiayoke_api::error;

use crate::{command, exit};

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{what}")]
pub struct Failure {
    code: exit::Code,
    what: String,
    advice: Option<String>,
    answer: Option<error::Error>,
}

impl Failure {
    /// Makes a failure that ends the command with `code`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_cli::{exit, failure};
    ///
    /// let failure = failure::Failure::new(exit::Code::Refused, "no server `x`")
    ///     .with_advice("`sequoiayoke status` lists the servers");
    /// assert_eq!(failure.code(), exit::Code::Refused);
    /// ```
    pub fn new<W>(code: exit::Code, what: W) -> Self
    where
        W: Into<String>,
    {
        Self {
            code,
            what: what.into(),
            advice: None,
            answer: None,
        }
    }

    /// Adds what to do next.
    #[must_use]
    pub fn with_advice<A>(mut self, advice: A) -> Self
    where
        A: Into<String>,
    {
        self.advice = Some(advice.into());
        self
    }

    /// Adds the control plane's own document.
    #[must_use]
    pub fn with_answer(mut self, answer: error::Error) -> Self {
        self.answer = Some(answer);
        self
    }

    /// Returns the exit code.
    pub fn code(&self) -> exit::Code {
        self.code
    }

    /// Returns the control plane's own document, if it refused.
    pub fn answer(&self) -> Option<&error::Error> {
        self.answer.as_ref()
    }
}

/// Returns what to write to standard error.
pub fn text(report: &Report<Failure>, output: command::Output) -> String {
    let failure = report.current_context();
    match output {
        command::Output::Human => {
            let mut text = format!("error: {failure}\n");
            if let Some(advice) = &failure.advice {
                text.push_str(&format!("hint: {advice}\n"));
            }
            text
        }
        command::Output::Json => {
            let document = serde_json::json!({
                "exit": failure.code.number(),
                "detail": failure.what,
                "advice": failure.advice,
                "answer": failure.answer,
            });
            format!("{document:#}\n")
        }
    }
}
