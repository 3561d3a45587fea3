//! Exit codes, which scripts may rely on.

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done = 0,
    /// Refused; nothing changed.
    Refused = 1,
    /// The command, a ticket or a settings file is malformed; nothing was sent.
    Usage = 2,
    /// No control replica responded; nothing changed.
    Unreachable = 3,
    /// The ticket may or may not have been accepted.
    Unknown = 4,
}

impl Code {
    /// Returns the exit status of the process.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_cli::exit;
    ///
    /// assert_eq!(exit::Code::Unknown.number(), 4);
    /// ```
    pub const fn number(self) -> u8 {
        self as u8
    }
}
