//! Load balancing for requests that any backend server of a service can run.
//!
//! A load report from another VM is stale by the time it is used. If all nodes relied on such
//! reports, they would all send to the backend server that was last reported idle. The weight of
//! a report therefore decays with its age, only a sample of a large service is compared, and the
//! node of the chosen backend server refuses a request while another one may have a free slot.

use std::time::Duration;

use crate::{admission, transfer};

/// Cost of a request to another failure domain, in seconds: the round trip, and the charge for
/// traffic between domains.
const CROSS_DOMAIN_S: f64 = 0.012;
/// Cost of each kibibyte that crosses to another failure domain or back, in seconds. Traffic between
/// domains is charged, so a request leaves its domain only to avoid a considerable wait.
const CROSS_DOMAIN_PER_KIB_S: f64 = 0.04;
/// Largest such cost, as a part of the time left until the target of the request: the traffic must
/// not make it late.
const MAX_CROSS_DOMAIN_FRACTION: f64 = 0.3;
/// Time constant of the decay of load reports, after which one has about a third of its weight;
/// close to the service time of requests.
const LOAD_DECAY_TIME: Duration = Duration::from_millis(400);
/// Maximum number of backend servers that are compared in the caller's failure domain.
const SAME_DOMAIN_SAMPLE: usize = 3;
/// Maximum number of backend servers that are compared in other failure domains.
const CROSS_DOMAIN_SAMPLE: usize = 2;

/// What the cost of a request depends on, apart from the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Length of its body, in bytes.
    pub bytes: usize,
    /// Expected length of the body of its response, in bytes.
    pub response_bytes: usize,
    /// Time left until its target.
    pub useful: Duration,
}

impl Request {
    /// Returns the cost of sending it to another failure domain, in seconds.
    fn cross_domain_cost(&self) -> f64 {
        let kib = (self.bytes + self.response_bytes) as f64 / 1_024.0;
        let limit = self.useful.as_secs_f64() * MAX_CROSS_DOMAIN_FRACTION;
        CROSS_DOMAIN_S + (kib * CROSS_DOMAIN_PER_KIB_S).min(limit)
    }
}

/// A backend server that the request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Last reported load.
    pub load: admission::Load,
    /// Last reported load of the link to its VM.
    pub link: transfer::Load,
    /// Time since the last report.
    pub age: Duration,
    /// Number of requests from this node to it that have not finished.
    pub outstanding: u32,
    /// Whether the backend server is in the caller's failure domain.
    pub is_same_domain: bool,
    /// Recent share of failed requests, from 0 to 1.
    pub failure_rate: f64,
}

impl Candidate {
    /// Returns the cost of sending a request to this backend server: its expected response time in
    /// seconds, raised by its failure rate.
    ///
    /// `mean_busy` is the estimated share of occupied slots in the whole service.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_dispatch::{admission, choice, transfer};
    ///
    /// let load = admission::Load { running: 2, waiting: 0, slots: 4, service_s: 0.1, usual_s: 0.1 };
    /// let same_domain = choice::Candidate {
    ///     load,
    ///     link: transfer::Load::default(),
    ///     age: Duration::ZERO,
    ///     outstanding: 0,
    ///     is_same_domain: true,
    ///     failure_rate: 0.0,
    /// };
    /// let cross_domain = choice::Candidate { is_same_domain: false, ..same_domain };
    /// let request = choice::Request {
    ///     bytes: 1_000,
    ///     response_bytes: 200,
    ///     useful: Duration::from_millis(500),
    /// };
    /// assert!(same_domain.cost(&request, 0.5) < cross_domain.cost(&request, 0.5));
    /// ```
    pub fn cost(&self, request: &Request, mean_busy: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let freshness = self.freshness();
        let occupied = freshness * self.reported_requests() + (1.0 - freshness) * mean_busy * slots;
        let busy = occupied.max(f64::from(self.outstanding)) + 1.0;
        // A backend server slows down before all of its slots are occupied.
        let service_s = freshness * self.load.service_s + (1.0 - freshness) * self.load.usual_s;
        let wait = (busy / slots).powi(2) * service_s * 0.5;
        let queue = (busy - slots).max(0.0) / slots * service_s;
        let domain_cost = if self.is_same_domain {
            0.0
        } else {
            request.cross_domain_cost()
        };
        let transfer = match request.bytes {
            0 => 0.0,
            bytes => self.link.expected_time(bytes).as_secs_f64() * freshness,
        };
        let response_time = service_s + wait + queue + domain_cost + transfer;
        response_time / (1.0 - self.failure_rate.clamp(0.0, 0.9))
    }

    /// Returns the weight of the last load report, which decays from 1 to 0 with its age.
    fn freshness(&self) -> f64 {
        (-self.age.div_duration_f64(LOAD_DECAY_TIME)).exp()
    }

    /// Returns the last reported number of running and waiting requests.
    fn reported_requests(&self) -> f64 {
        f64::from(self.load.running + self.load.waiting)
    }
}

/// Returns the index of the candidate with the lowest cost.
///
/// If there are many candidates, a sample determined by `seed` is compared.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::choice;
///
/// assert_eq!(choice::best(&[], &choice::Request::default(), 7), None);
/// ```
pub fn best(candidates: &[Candidate], request: &Request, seed: u64) -> Option<usize> {
    let (mut busy, mut weight) = (0.0, 0.0);
    for candidate in candidates {
        let freshness = candidate.freshness();
        busy += freshness * candidate.reported_requests() / f64::from(candidate.load.slots.max(1));
        weight += freshness;
    }
    let mean_busy = if weight > 0.0 { busy / weight } else { 0.0 };
    let indices = |is_same_domain: bool| {
        let indexed = candidates.iter().enumerate();
        indexed
            .filter(move |(_, candidate)| candidate.is_same_domain == is_same_domain)
            .map(|(index, _)| index)
    };
    let mut seed = seed;
    let mut compared = sample(indices(true).collect(), SAME_DOMAIN_SAMPLE, &mut seed);
    compared.extend(sample(
        indices(false).collect(),
        CROSS_DOMAIN_SAMPLE,
        &mut seed,
    ));
    compared
        .into_iter()
        .map(|index| (index, candidates[index].cost(request, mean_busy)))
        .min_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(index, _)| index)
}

/// Returns a sample of `count` indices, or all of them if there are fewer.
fn sample(mut indices: Vec<usize>, count: usize, seed: &mut u64) -> Vec<usize> {
    if indices.len() <= count {
        return indices;
    }
    for position in 0..count {
        // A step of the splitmix64 generator.
        *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = *seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let remaining = (indices.len() - position) as u64;
        indices.swap(position, position + (mixed % remaining) as usize);
    }
    indices.truncate(count);
    indices
}
