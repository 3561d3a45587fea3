//! Choice of a backend server where any of a service will do.
//!
//! What a node knows of the load of another VM is old by the time it is used. A node
//! that trusts it sends all its requests to whoever was idle a second ago, and so do all
//! other nodes. Old knowledge therefore counts less, a large service is sampled, and the
//! node of the chosen backend server refuses while another one may have a free slot.

use std::time::Duration;

use crate::{admission, transfer};

/// Time that a request to another failure domain costs, in seconds: the way there and
/// back, and what the bytes between domains are charged.
const CROSS_DOMAIN_S: f64 = 0.012;
/// Time that each kibibyte to another failure domain counts for, in seconds.
/// Bytes between domains are charged; an upload should stay in its domain
/// unless that means a real wait.
const CROSS_DOMAIN_PER_KIB_S: f64 = 0.001;
/// Age at which knowledge of a load counts for a third: about the time that requests run.
const LOAD_AGE: Duration = Duration::from_millis(400);
/// Backend servers in the caller's failure domain that are compared, if there are more.
const NEAR_SAMPLE: usize = 3;
/// Backend servers in other failure domains that are compared, if there are more.
const FAR_SAMPLE: usize = 2;

/// A backend server that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How busy it was when it last said so.
    pub load: admission::Load,
    /// Bodies on their way to it when it last said so.
    pub link: transfer::Load,
    /// Time since then.
    pub age: Duration,
    /// Requests sent to it from here since then that have not ended.
    pub outstanding: u32,
    /// Whether it is in the caller's failure domain.
    pub is_same_domain: bool,
    /// Expected share of failures lately, from 0 to 1.
    pub failure_rate: f64,
}

impl Candidate {
    /// Returns the expected time until this backend server has answered, in
    /// seconds; a request of `body_bytes` is sent to it. `mean_busy` is the part of the
    /// slots that is taken in the whole service, as far as it is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_dispatch::{admission, choice, transfer};
    ///
    /// let load = admission::Load { running: 2, waiting: 0, slots: 4, service_s: 0.1 };
    /// let near = choice::Candidate {
    ///     load,
    ///     link: transfer::Load::default(),
    ///     age: Duration::ZERO,
    ///     outstanding: 0,
    ///     is_same_domain: true,
    ///     failure_rate: 0.0,
    /// };
    /// let far = choice::Candidate { is_same_domain: false, ..near };
    /// assert!(near.cost(1_000, 0.5) < far.cost(1_000, 0.5));
    /// ```
    pub fn cost(&self, body_bytes: usize, mean_busy: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let trust = self.trust();
        let known = trust * self.known() + (1.0 - trust) * mean_busy * slots;
        let busy = known.max(f64::from(self.outstanding)) + 1.0;
        // A backend server slows down before all of its slots are taken.
        let wait = (busy / slots).powi(2) * self.load.service_s * 0.5;
        let queue = (busy - slots).max(0.0) / slots * self.load.service_s;
        let distance = if self.is_same_domain {
            0.0
        } else {
            CROSS_DOMAIN_S + body_bytes as f64 / 1_024.0 * CROSS_DOMAIN_PER_KIB_S
        };
        let transfer = match body_bytes {
            0 => 0.0,
            bytes => self.link.expected_time(bytes).as_secs_f64() * trust,
        };
        let answered = self.load.service_s + wait + queue + distance + transfer;
        answered / (1.0 - self.failure_rate.clamp(0.0, 0.9))
    }

    /// Returns how much the last word about the load still counts, from 0 to 1.
    fn trust(&self) -> f64 {
        (-self.age.div_duration_f64(LOAD_AGE)).exp()
    }

    /// Returns the requests that ran and waited when the backend server last said so.
    fn known(&self) -> f64 {
        f64::from(self.load.running + self.load.waiting)
    }
}

/// Returns the index of the candidate with the lowest cost, out of all of them or, if
/// there are many, out of a sample that follows from `seed`.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::choice;
///
/// assert_eq!(choice::best(&[], 0, 7), None);
/// ```
pub fn best(candidates: &[Candidate], body_bytes: usize, seed: u64) -> Option<usize> {
    let (mut busy, mut weight) = (0.0, 0.0);
    for candidate in candidates {
        let trust = candidate.trust();
        busy += trust * candidate.known() / f64::from(candidate.load.slots.max(1));
        weight += trust;
    }
    let mean_busy = if weight > 0.0 { busy / weight } else { 0.0 };
    let indices = |is_same_domain: bool| {
        let all = candidates.iter().enumerate();
        all.filter(move |(_, candidate)| candidate.is_same_domain == is_same_domain)
            .map(|(index, _)| index)
    };
    let mut seed = seed;
    let mut compared = sample(indices(true).collect(), NEAR_SAMPLE, &mut seed);
    compared.extend(sample(indices(false).collect(), FAR_SAMPLE, &mut seed));
    compared
        .into_iter()
        .map(|index| (index, candidates[index].cost(body_bytes, mean_busy)))
        .min_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(index, _)| index)
}

/// Returns `count` of the indices, or all of them if there are fewer.
fn sample(mut indices: Vec<usize>, count: usize, seed: &mut u64) -> Vec<usize> {
    if indices.len() <= count {
        return indices;
    }
    for place in 0..count {
        // A step of the splitmix64 generator.
        *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = *seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let left = (indices.len() - place) as u64;
        indices.swap(place, place + (mixed % left) as usize);
    }
    indices.truncate(count);
    indices
}
