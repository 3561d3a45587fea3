//! State that every replica builds from the same log.

/// A deterministic state machine.
///
/// Replicas apply the same commands in the same order, so `apply` must depend
/// on nothing but the state, the index and the command.
pub trait Replicated: Sized {
    /// Content of a log entry.
    type Command;
    /// Copy of the whole state, for replicas that lack the log.
    type Snapshot;
    /// What a command did, or why it was refused.
    type Output;

    /// Makes the state before the first entry.
    fn new() -> Self;

    /// Applies the command of the entry at `index`.
    fn apply(&mut self, index: u64, command: &Self::Command) -> Self::Output;

    /// Copies the state.
    fn to_snapshot(&self) -> Self::Snapshot;

    /// Rebuilds the state from a copy.
    fn with_snapshot(snapshot: Self::Snapshot) -> Self;
}
