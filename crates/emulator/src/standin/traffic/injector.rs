//! Injection of faults into a limited number of responses and connections.

use std::sync::atomic;

use crate::standin::coordinator::fault;

/// Change to the bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mangle {
    /// Close the connection in the middle of the body.
    Truncate,
    /// Send the response twice.
    Twice,
    /// Reset the connection instead of sending the response.
    Reset,
}

impl Mangle {
    /// Returns the value of the header that passes the change from the endpoint to the connection.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Truncate => "truncate",
            Self::Twice => "twice",
            Self::Reset => "reset",
        }
    }
}

/// Remaining numbers of responses and connections to inject faults into.
#[derive(Debug, Default)]
pub struct Injector {
    truncate: atomic::AtomicU64,
    twice: atomic::AtomicU64,
    late: atomic::AtomicU64,
    reset_accept: atomic::AtomicU64,
    reset_request: atomic::AtomicU64,
    reset_answer: atomic::AtomicU64,
    // Set by the first fault command with a count. Until then, responses are not searched for
    // the header.
    armed: atomic::AtomicBool,
}

impl Injector {
    /// Stores the count of a fault command.
    pub fn apply(&self, command: &fault::Command) {
        match command {
            fault::Command::Truncate { count } => set(&self.truncate, *count),
            fault::Command::Twice { count } => set(&self.twice, *count),
            fault::Command::Late { count } => set(&self.late, *count),
            fault::Command::Reset { count, at } => match at {
                fault::Stage::Accept => set(&self.reset_accept, *count),
                fault::Stage::Request => set(&self.reset_request, *count),
                fault::Stage::Answer => set(&self.reset_answer, *count),
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

    /// Returns whether a response may have to be mangled.
    pub fn is_armed(&self) -> bool {
        self.armed.load(atomic::Ordering::Acquire)
    }

    /// Returns whether to reset the connection that was just accepted, and decrements the count.
    pub fn take_reset_accept(&self) -> bool {
        decrement(&self.reset_accept)
    }

    /// Returns whether to reset the connection of the request that was just received without
    /// running it, and decrements the count.
    pub fn take_reset_request(&self) -> bool {
        decrement(&self.reset_request)
    }

    /// Returns whether to send the response after the deadline, and decrements the count.
    pub fn take_late(&self) -> bool {
        decrement(&self.late)
    }

    /// Returns the change to the bytes of the next response, if any, and decrements the count.
    pub fn take_mangle(&self) -> Option<Mangle> {
        if decrement(&self.reset_answer) {
            Some(Mangle::Reset)
        } else if decrement(&self.truncate) {
            Some(Mangle::Truncate)
        } else if decrement(&self.twice) {
            Some(Mangle::Twice)
        } else {
            None
        }
    }
}

fn set(count: &atomic::AtomicU64, value: u64) {
    count.store(value, atomic::Ordering::Release);
}

fn decrement(count: &atomic::AtomicU64) -> bool {
    count
        .fetch_update(
            atomic::Ordering::AcqRel,
            atomic::Ordering::Acquire,
            |remaining| remaining.checked_sub(1),
        )
        .is_ok()
}
