//! Positions of the entries in the log, kept in memory without the content of the entries.

use std::collections::VecDeque;

use sequoiayoke_consensus::position;

/// Positions of the entries in the log.
#[derive(Debug)]
pub(crate) struct Positions {
    base: position::Position,
    terms: VecDeque<position::Term>,
}

impl Positions {
    pub(crate) fn new(base: position::Position) -> Self {
        Self {
            base,
            terms: VecDeque::new(),
        }
    }

    pub(crate) fn last(&self) -> position::Position {
        let term = self.terms.back().copied().unwrap_or(self.base.term);
        let index = position::Index(self.base.index.0 + self.terms.len() as u64);
        position::Position { term, index }
    }

    pub(crate) fn contains(&self, position: position::Position) -> bool {
        let Some(offset) = position.index.0.checked_sub(self.base.index.0) else {
            return false;
        };
        match offset {
            0 => position.term == self.base.term,
            _ => self.terms.get(offset as usize - 1) == Some(&position.term),
        }
    }

    pub(crate) fn extend<I>(&mut self, terms: I)
    where
        I: IntoIterator<Item = position::Term>,
    {
        self.terms.extend(terms);
    }

    pub(crate) fn truncate(&mut self, after: position::Index) {
        let keep = after.0.saturating_sub(self.base.index.0);
        self.terms.truncate(keep as usize);
    }

    /// Removes the positions before `index`.
    pub(crate) fn trim(&mut self, index: position::Index) {
        while self.base.index < index {
            let Some(term) = self.terms.pop_front() else {
                break;
            };
            self.base = position::Position {
                term,
                index: self.base.index.next(),
            };
        }
    }
}
