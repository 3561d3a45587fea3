//! Faults that concern the next answers or connections only.

use std::sync::atomic;

use crate::standin::coordinator::fault;

/// What is done to the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mangle {
    /// Close the connection half way through the body.
    Truncate,
    /// Send the answer twice.
    Twice,
    /// Reset the connection in place of the answer.
    Reset,
}

impl Mangle {
    /// Returns the word by which the endpoint tells the connection what to do.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Truncate => "truncate",
            Self::Twice => "twice",
            Self::Reset => "reset",
        }
    }
}

/// Remaining numbers of answers and connections to break.
#[derive(Debug, Default)]
pub struct Counts {
    truncate: atomic::AtomicU64,
    twice: atomic::AtomicU64,
    late: atomic::AtomicU64,
    reset_accept: atomic::AtomicU64,
    reset_request: atomic::AtomicU64,
    reset_answer: atomic::AtomicU64,
    // Set once any answer was to be mangled; spares the search in normal runs.
    armed: atomic::AtomicBool,
}

impl Counts {
    /// Takes over the counts of a fault command.
    pub fn apply(&self, command: &fault::Command) {
        match command {
            fault::Command::Truncate { count } => set(&self.truncate, *count),
            fault::Command::Twice { count } => set(&self.twice, *count),
            fault::Command::Late { count } => set(&self.late, *count),
            fault::Command::Reset { count, at } => match at {
                fault::Moment::Accept => set(&self.reset_accept, *count),
                fault::Moment::Request => set(&self.reset_request, *count),
                fault::Moment::Answer => set(&self.reset_answer, *count),
            },
            fault::Command::Clear => self.clear(),
            _ => return,
        }
        self.armed.store(true, atomic::Ordering::Release);
    }

    fn clear(&self) {
        for count in [
            &self.truncate,
            &self.twice,
            &self.late,
            &self.reset_accept,
            &self.reset_request,
            &self.reset_answer,
        ] {
            set(count, 0);
        }
    }

    /// Tells whether any answer may carry a mark to mangle it.
    pub fn is_armed(&self) -> bool {
        self.armed.load(atomic::Ordering::Acquire)
    }

    /// Tells whether the connection just accepted is to be reset.
    pub fn take_reset_accept(&self) -> bool {
        take(&self.reset_accept)
    }

    /// Tells whether the request just received is to be reset unrun.
    pub fn take_reset_request(&self) -> bool {
        take(&self.reset_request)
    }

    /// Tells whether the answer is to be sent after the deadline.
    pub fn take_late(&self) -> bool {
        take(&self.late)
    }

    /// Returns what to do to the bytes of the next answer.
    pub fn take_mangle(&self) -> Option<Mangle> {
        if take(&self.reset_answer) {
            Some(Mangle::Reset)
        } else if take(&self.truncate) {
            Some(Mangle::Truncate)
        } else if take(&self.twice) {
            Some(Mangle::Twice)
        } else {
            None
        }
    }
}

fn set(count: &atomic::AtomicU64, value: u64) {
    count.store(value, atomic::Ordering::Release);
}

fn take(count: &atomic::AtomicU64) -> bool {
    count
        .fetch_update(
            atomic::Ordering::AcqRel,
            atomic::Ordering::Acquire,
            |left| left.checked_sub(1),
        )
        .is_ok()
}
