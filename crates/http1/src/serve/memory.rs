//! Memory for the requests that a server reads or handles at the same time.

use std::cell;
use std::rc;

/// Memory of one server.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    limit: usize,
    used: rc::Rc<cell::Cell<usize>>,
}

impl Budget {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: rc::Rc::default(),
        }
    }

    /// Creates the share of a connection that holds nothing.
    pub(super) fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Memory of one connection; it is returned when dropped.
#[derive(Debug)]
pub(super) struct Share {
    budget: Budget,
    bytes: usize,
}

impl Share {
    /// Changes the number of bytes; returns whether there is room for them.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        let others = self.budget.used.get() - self.bytes;
        if bytes > self.bytes && others + bytes > self.budget.limit {
            return false;
        }
        self.budget.used.set(others + bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
