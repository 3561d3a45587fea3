//! Policies for the restart of a child that has ended.

/// Policy for the restart of a child that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Always restart, unless the supervisor is stopping.
    Permanent,
    /// Restart only after an error.
    Transient,
    /// Never restart. An error ends the supervisor.
    Temporary,
}

/// How a child ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The child returned normally.
    Done,
    /// The child returned an error or panicked.
    Failed,
}

/// Action of the supervisor after the end of a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Restart the child if the budget allows it.
    Restart,
    /// Continue without the child.
    Forget,
    /// End the supervisor with an error.
    Escalate,
}

impl Policy {
    /// Returns the action that follows the end of a child.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_supervise::policy;
    ///
    /// let action = policy::Policy::Transient.after(policy::End::Done);
    /// assert_eq!(action, policy::Action::Forget);
    /// ```
    pub const fn after(self, end: End) -> Action {
        match (self, end) {
            (Self::Permanent, _) | (Self::Transient, End::Failed) => Action::Restart,
            (Self::Transient | Self::Temporary, End::Done) => Action::Forget,
            (Self::Temporary, End::Failed) => Action::Escalate,
        }
    }
}
