//! A backend server that holds keys under grants with fences.

use std::time::Duration;

use sequoiayoke_catalog::slice;
use sequoiayoke_gateway::holdings;
use sequoiayoke_model::clock;

/// Longest wait for the response to an announcement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a backend server gets its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// As commands.
    Push,
    /// In the responses to its announcements.
    Collect,
}

/// Keys that are held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) range: slice::Range,
    pub(crate) fence: slice::Fence,
    /// End of the grant, on the clock of the backend server.
    pub(crate) until: clock::Instant,
    /// End of the work on keys that are being released.
    pub(crate) releasing_until: Option<clock::Instant>,
}

/// One run of a backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    /// How much slower its clock is, in parts per thousand.
    pub(crate) drift: u32,
    /// Start of the run; until then no process listens.
    started: clock::Instant,
    pub(crate) born_ms: u64,
    pub(crate) sequence: u64,
    pub(crate) next_announcement: clock::Instant,
    /// Whether it has said that it leaves; it announces itself no more.
    pub(crate) is_leaving: bool,
    pub(crate) exits_at: Option<clock::Instant>,
    held: Vec<Held>,
    /// Fences that it has seen.
    seen: Vec<(slice::Range, slice::Fence)>,
    released: Vec<holdings::Released>,
    /// Sequence number of the latest announcement with a response.
    acknowledged: u64,
}

impl Backend {
    pub(crate) fn new(born_ms: u64, drift: u32, started: clock::Instant) -> Self {
        Self {
            drift,
            started,
            born_ms,
            sequence: 0,
            next_announcement: started,
            is_leaving: false,
            exits_at: None,
            held: Vec::new(),
            seen: Vec::new(),
            released: Vec::new(),
            acknowledged: 0,
        }
    }

    /// Returns whether the process listens.
    pub(crate) fn is_up(&self, now: clock::Instant) -> bool {
        now >= self.started
    }

    fn end(&self, from: clock::Instant, hold: Duration) -> clock::Instant {
        from + hold + hold * self.drift / 1_000
    }

    fn has_seen_above(&self, range: slice::Range, fence: slice::Fence) -> bool {
        let mut seen = self.seen.iter();
        seen.any(|(known, above)| known.overlaps(range) && *above > fence)
    }

    /// Removes keys from what is held, and returns what remains of the ranges.
    fn remove(&mut self, range: slice::Range) {
        let held = std::mem::take(&mut self.held);
        for part in held {
            if !part.range.overlaps(range) {
                self.held.push(part);
                continue;
            }
            if part.range.first < range.first {
                let range = slice::Range::new(part.range.first, range.first - 1);
                self.held.push(Held { range, ..part });
            }
            if part.range.last > range.last {
                let range = slice::Range::new(range.last + 1, part.range.last);
                self.held.push(Held { range, ..part });
            }
        }
    }

    /// Carries out a grant; returns whether it is accepted.
    pub(crate) fn grant(
        &mut self,
        range: slice::Range,
        fence: slice::Fence,
        from: clock::Instant,
        hold: Duration,
    ) -> bool {
        if self.has_seen_above(range, fence) {
            return false;
        }
        self.seen.push((range, fence));
        self.remove(range);
        self.held.push(Held {
            range,
            fence,
            until: self.end(from, hold),
            releasing_until: None,
        });
        true
    }

    /// Carries out a release at once.
    pub(crate) fn release(&mut self, range: slice::Range) {
        self.remove(range);
    }

    /// Returns the ranges that are held at `now`.
    pub(crate) fn held(&self, now: clock::Instant) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(move |held| now < held.until)
    }

    /// Returns the next announcement and its sequence number.
    pub(crate) fn report(&mut self, now: clock::Instant) -> (u64, holdings::Report) {
        self.sequence += 1;
        self.held.retain(|held| now < held.until);
        let done = |held: &Held| held.releasing_until.is_some_and(|until| now >= until);
        let released = self.held.iter().filter(|held| done(held));
        self.released
            .extend(released.map(|held| holdings::Released {
                range: held.range,
                handover: Some("value".to_owned()),
            }));
        self.held.retain(|held| !done(held));
        let is_releasing = self.held.iter().any(|held| held.releasing_until.is_some());
        let interval = if is_releasing { 100 } else { 870 };
        self.next_announcement = now + Duration::from_millis(interval);
        let held = self.held.iter().map(|held| holdings::Holding {
            range: held.range,
            fence: held.fence,
        });
        let report = holdings::Report {
            held: held.collect(),
            released: self.released.clone(),
        };
        (self.sequence, report)
    }

    /// Handles the response to the announcement with this number, which was sent at `sent`.
    pub(crate) fn respond(
        &mut self,
        now: clock::Instant,
        work: Duration,
        (sequence, sent): (u64, clock::Instant),
        assignment: Option<&holdings::Assignment>,
    ) {
        if now.saturating_since(sent) > RESPONSE_TIMEOUT || sequence <= self.acknowledged {
            return;
        }
        self.acknowledged = sequence;
        self.released.clear();
        let Some(assignment) = assignment else {
            return;
        };
        let previous = std::mem::take(&mut self.held);
        for grant in &assignment.grants {
            self.grant(grant.range, grant.fence, sent, assignment.hold);
        }
        let granted = std::mem::take(&mut self.held);
        // What is left out is released when the work on it has ended.
        self.held = previous;
        for held in &granted {
            self.remove(held.range);
        }
        for held in &mut self.held {
            held.releasing_until.get_or_insert(now + work);
        }
        if !self.held.is_empty() {
            let soon = now + Duration::from_millis(100);
            self.next_announcement = self.next_announcement.min(soon);
        }
        self.held.extend(granted);
    }
}
