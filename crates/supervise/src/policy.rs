//! When a child that has ended is started again.

/// When a child that has ended is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Always, unless the supervisor is stopping.
    Permanent,
    /// Only after an error.
    Transient,
    /// Never; an error ends the supervisor.
    Temporary,
}

/// How a child ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It returned normally.
    Done,
    /// It returned an error or panicked.
    Failed,
}

/// What the supervisor does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Start the child again, if the budget allows it.
    Restart,
    /// Go on without it.
    Forget,
    /// End the supervisor with an error.
    Escalate,
}

impl Policy {
    /// Decides what follows the end of a child.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_supervise::policy;
    ///
    /// let next = policy::Policy::Transient.after(policy::End::Done);
    /// assert_eq!(next, policy::Next::Forget);
    /// ```
    pub const fn after(self, end: End) -> Next {
        match (self, end) {
            (Self::Permanent, _) | (Self::Transient, End::Failed) => Next::Restart,
            (Self::Transient | Self::Temporary, End::Done) => Next::Forget,
            (Self::Temporary, End::Failed) => Next::Escalate,
        }
    }
}
