//! Failures of commands.

use error_stack::Report;
use sequoiayoke_api::error;

use crate::{command, exit};

/// Reason why a command failed, and what the operator can do next.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    code: exit::Code,
    message: String,
    advice: Option<String>,
    refusal: Option<error::Error>,
}

impl Failure {
    /// Creates a failure that ends the command with `code`.
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
    pub fn new<M>(code: exit::Code, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            code,
            message: message.into(),
            advice: None,
            refusal: None,
        }
    }

    /// Adds a hint on what to do next.
    #[must_use]
    pub fn with_advice<A>(mut self, advice: A) -> Self
    where
        A: Into<String>,
    {
        self.advice = Some(advice.into());
        self
    }

    /// Adds the error document of the control plane.
    #[must_use]
    pub fn with_refusal(mut self, refusal: error::Error) -> Self {
        self.refusal = Some(refusal);
        self
    }

    /// Returns the exit code.
    pub fn code(&self) -> exit::Code {
        self.code
    }

    /// Returns the error document of the control plane, if it refused the request.
    pub fn refusal(&self) -> Option<&error::Error> {
        self.refusal.as_ref()
    }
}

/// Returns the text for standard error.
pub fn render(report: &Report<Failure>, format: command::Format) -> String {
    let failure = report.current_context();
    match format {
        command::Format::Human => {
            let mut text = format!("error: {failure}\n");
            if let Some(advice) = &failure.advice {
                text.push_str(&format!("hint: {advice}\n"));
            }
            text
        }
        command::Format::Json => {
            let document = serde_json::json!({
                "exit": failure.code.number(),
                "detail": failure.message,
                "advice": failure.advice,
                "answer": failure.refusal,
            });
            format!("{document:#}\n")
        }
    }
}
