//! Choice of a backend server where any of a service will do.

use crate::admission;

/// Time that a request to another failure domain costs, in seconds.
const CROSS_DOMAIN_S: f64 = 0.004;
/// Time that each kibibyte to another failure domain counts for, in seconds.
/// Bytes between domains are charged; an upload should stay in its domain
/// unless that means a real wait.
const CROSS_DOMAIN_PER_KIB_S: f64 = 0.001;

/// A backend server that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How busy it was when it last said so.
    pub load: admission::Load,
    /// Requests sent to it from here since then that have not ended.
    pub outstanding: u32,
    /// Whether it is in the caller's failure domain.
    pub is_near: bool,
    /// Expected share of failures lately, from 0 to 1.
    pub failing: f64,
}

impl Candidate {
    /// Returns the expected time until this backend server has answered, in
    /// seconds; a request of `body_bytes` is sent to it.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_dispatch::{admission, choice};
    ///
    /// let load = admission::Load { running: 2, waiting: 0, slots: 4, service_s: 0.1 };
    /// let near = choice::Candidate { load, outstanding: 0, is_near: true, failing: 0.0 };
    /// let far = choice::Candidate { is_near: false, ..near };
    /// assert!(near.cost(1_000) < far.cost(1_000));
    /// ```
    pub fn cost(&self, body_bytes: usize) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let known = f64::from(self.load.running + self.load.waiting);
        let busy = known.max(f64::from(self.outstanding)) + 1.0;
        // A backend server slows down before all of its slots are taken.
        let wait = (busy / slots).powi(2) * self.load.service_s * 0.5;
        let queue = (busy - slots).max(0.0) / slots * self.load.service_s;
        let distance = if self.is_near {
            0.0
        } else {
            CROSS_DOMAIN_S + body_bytes as f64 / 1_024.0 * CROSS_DOMAIN_PER_KIB_S
        };
        let answered = self.load.service_s + wait + queue + distance;
        answered / (1.0 - self.failing.clamp(0.0, 0.9))
    }
}

/// Returns the index of the candidate with the lowest cost.
pub fn best<I>(candidates: I, body_bytes: usize) -> Option<usize>
where
    I: IntoIterator<Item = Candidate>,
{
    candidates
        .into_iter()
        .enumerate()
        .map(|(index, candidate)| (index, candidate.cost(body_bytes)))
        .min_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(index, _)| index)
}
