//! Retries of requests.
//!
//! A request that may have run is retried only if it is idempotent. Retries take
//! tokens from a budget, which limits the additional load on a failing owner to a
//! tenth of the requests.

use std::collections;
use std::time::Duration;

use rand::RngExt;
use sequoiayoke_model::{clock, id, outcome};

/// Share of a token that the first attempt of a request adds: one retry per ten requests.
const DEPOSIT: f64 = 0.1;
/// Largest number of tokens of a caller for one service.
const TOKENS_MAX: f64 = 10.0;
/// Tokens of a new budget, so that the first failure after a start can be retried.
const TOKENS_START: f64 = 1.0;
/// Largest number of pairs of caller and service with their own budget; the rest share one.
const BUDGETS_MAX: usize = 1024;
/// Time without requests after which a budget is removed. Being idle does not refill a
/// budget, since a new one starts with one token.
const BUDGET_IDLE_MAX: Duration = Duration::from_secs(60);
/// Longest backoff before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Longest backoff before any retry.
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Time that a hop reserves, so that it can still respond in time: a round trip between
/// two failure domains at 1.5 ms each way.
const HOP_MARGIN: Duration = Duration::from_millis(3);

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It may be retried, if the budget has a token.
    Retry,
    /// It was answered, or a retry cannot change the outcome.
    Final,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// Not enough time is left.
    Deadline,
}

/// Decides whether a request with this outcome may be retried.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_model::outcome::{Outcome, Reason};
/// use sequoiayoke_traffic::retry;
///
/// let lost = Outcome::Unknown(Reason::ConnectionLost);
/// let left = Duration::from_secs(1);
/// assert_eq!(retry::may_retry(lost, true, left), retry::Decision::Retry);
/// assert_eq!(retry::may_retry(lost, false, left), retry::Decision::MayHaveRun);
/// ```
pub fn may_retry(outcome: outcome::Outcome, idempotent: bool, left: Duration) -> Decision {
    let reason = match outcome {
        outcome::Outcome::Answered(_) => return Decision::Final,
        outcome::Outcome::Unknown(_) if !idempotent => return Decision::MayHaveRun,
        outcome::Outcome::Unknown(reason) | outcome::Outcome::NotRun(reason) => reason,
    };
    if !is_transient(reason) {
        Decision::Final
    } else if left <= HOP_MARGIN {
        Decision::Deadline
    } else {
        Decision::Retry
    }
}

/// Returns whether a retry can have a different outcome within the deadline.
///
/// `Overload` is final here: the key has one owner, so a retry by the node
/// would only lengthen that owner's queue. The caller is told when to retry.
fn is_transient(reason: outcome::Reason) -> bool {
    use outcome::Reason as R;
    match reason {
        R::Vacant
        | R::NotOwner
        | R::LeaseExpired
        | R::StaleView
        | R::Draining
        | R::Unreachable
        | R::ConnectionLost
        | R::RefusedByServer
        | R::Protocol => true,
        R::BadRequest
        | R::UnknownService
        | R::Unauthorized
        | R::Overload
        | R::Deadline
        | R::DuplicateRunning
        | R::IdTooOld
        | R::AnswerNotKept
        | R::Cancelled => false,
    }
}

/// Returns the time that the next hop may use, or `None` if nothing is left.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_traffic::retry;
///
/// let left = retry::hop_timeout(Duration::from_millis(100)).expect("time is left");
/// assert!(left < Duration::from_millis(100));
/// assert_eq!(retry::hop_timeout(Duration::from_millis(1)), None);
/// ```
pub fn hop_timeout(left: Duration) -> Option<Duration> {
    left.checked_sub(HOP_MARGIN)
        .filter(|remaining| !remaining.is_zero())
}

/// Returns the random backoff before retry number `attempt` (from 0), with full jitter.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rand::SeedableRng;
/// use sequoiayoke_traffic::retry;
///
/// let mut random = rand::rngs::SmallRng::seed_from_u64(1);
/// assert!(retry::backoff(0, &mut random) <= Duration::from_millis(20));
/// ```
pub fn backoff<R>(attempt: u32, random: &mut R) -> Duration
where
    R: rand::Rng,
{
    let ceiling = BACKOFF_BASE
        .saturating_mul(1 << attempt.min(16))
        .min(BACKOFF_MAX);
    Duration::from_micros(random.random_range(0..=ceiling.as_micros() as u64))
}

#[derive(Clone, Copy, Debug)]
struct Tokens {
    available: f64,
    last_used: clock::Instant,
}

impl Tokens {
    const fn new(now: clock::Instant) -> Self {
        Self {
            available: TOKENS_START,
            last_used: now,
        }
    }
}

/// Retry budgets per caller and service.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{clock, id};
/// use sequoiayoke_traffic::retry;
///
/// let now = clock::Instant::from_micros(0);
/// let (caller, service) = (id::Caller(1), id::Service(1));
/// let mut budget = retry::Budget::new(now);
/// budget.deposit(now, caller, service);
/// assert!(budget.withdraw(now, caller, service));
/// assert!(!budget.withdraw(now, caller, service));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: collections::HashMap<(id::Caller, id::Service), Tokens>,
    shared: Tokens,
    last_sweep: clock::Instant,
}

impl Budget {
    /// Creates an empty table of budgets.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            tokens: collections::HashMap::new(),
            shared: Tokens::new(now),
            last_sweep: now,
        }
    }

    /// Adds to the budget for the first attempt of a request.
    pub fn deposit(&mut self, now: clock::Instant, caller: id::Caller, service: id::Service) {
        let tokens = self.entry(now, caller, service);
        tokens.available = (tokens.available + DEPOSIT).min(TOKENS_MAX);
    }

    /// Takes a token for a retry; returns `false` if none is left.
    pub fn withdraw(
        &mut self,
        now: clock::Instant,
        caller: id::Caller,
        service: id::Service,
    ) -> bool {
        let tokens = self.entry(now, caller, service);
        let has_token = tokens.available >= 1.0;
        if has_token {
            tokens.available -= 1.0;
        }
        has_token
    }

    fn entry(
        &mut self,
        now: clock::Instant,
        caller: id::Caller,
        service: id::Service,
    ) -> &mut Tokens {
        let key = (caller, service);
        let is_full = self.tokens.len() >= BUDGETS_MAX && !self.tokens.contains_key(&key);
        if is_full && now.saturating_since(self.last_sweep) >= BUDGET_IDLE_MAX {
            self.last_sweep = now;
            self.tokens
                .retain(|_, tokens| now.saturating_since(tokens.last_used) < BUDGET_IDLE_MAX);
        }
        let is_full = self.tokens.len() >= BUDGETS_MAX && !self.tokens.contains_key(&key);
        let tokens = match is_full {
            true => &mut self.shared,
            false => self.tokens.entry(key).or_insert(Tokens::new(now)),
        };
        tokens.last_used = now;
        tokens
    }
}
