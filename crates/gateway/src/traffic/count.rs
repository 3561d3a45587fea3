//! Numbers of things that are open, which a stopping node waits for.

use std::cell;
use std::rc;

/// Number of members that exist.
#[derive(Clone, Debug, Default)]
pub(super) struct Count(rc::Rc<cell::Cell<usize>>);

impl Count {
    /// Returns the number of members.
    pub(super) fn get(&self) -> usize {
        self.0.get()
    }

    /// Adds a member, which counts until it is dropped.
    pub(super) fn enter(&self) -> Member {
        self.0.set(self.0.get() + 1);
        Member(self.clone())
    }
}

/// A member of a count.
#[derive(Debug)]
pub(super) struct Member(Count);

impl Drop for Member {
    fn drop(&mut self) {
        let Count(number) = &self.0;
        number.set(number.get() - 1);
    }
}
