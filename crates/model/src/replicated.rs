//! State machine that each replica builds from the same log.

/// A deterministic state machine.
///
/// Replicas apply the same commands in the same order and must reach the same state, so `apply`
/// must depend only on the state, the index and the command.
pub trait Replicated: Sized {
    /// Content of a log entry.
    type Command;
    /// Copy of the whole state, for replicas that are missing log entries.
    type Snapshot;
    /// Result of a command, or the reason why it was refused.
    type Output;

    /// Creates the state before the first log entry.
    fn new() -> Self;

    /// Applies the command of the entry at `index`.
    fn apply(&mut self, index: u64, command: &Self::Command) -> Self::Output;

    /// Returns a copy of the state.
    fn to_snapshot(&self) -> Self::Snapshot;

    /// Restores the state from a snapshot.
    fn with_snapshot(snapshot: Self::Snapshot) -> Self;
}
