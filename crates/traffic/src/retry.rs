//! Whether and when a request is sent again.
//!
//! A request that may have run is sent again only if it is idempotent. Retries
//! take tokens from a budget, so that a failing owner sees at most a tenth more
//! requests, not several times as many.

use std::collections;
use std::time::Duration;

use rand::RngExt;
use sequoiayoke_model::{clock, id, outcome};

/// Share of a token that each first sending adds: one retry per ten requests.
const DEPOSIT: f64 = 0.1;
/// Tokens that a caller can save up for one service.
const TOKENS_MAX: f64 = 10.0;
/// Tokens of a new entry, so that the first failure after a start can be retried.
const TOKENS_START: f64 = 1.0;
/// Pairs of caller and service with a budget of their own; the rest share one.
const BUDGETS_MAX: usize = 1024;
/// Time without requests after which a budget is dropped. A full budget
/// cannot be regained by waiting, since a new entry starts with one token.
const IDLE: Duration = Duration::from_secs(60);
/// Longest back-off before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Longest back-off before any retry.
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Time that a hop keeps for itself, so that it can still respond in time: there and
/// back between two failure domains, 1.5 ms each.
const HOP_MARGIN: Duration = Duration::from_millis(3);

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It may be sent again, if the budget has a token.
    Retry,
    /// It has an answer, or a retry cannot change the outcome.
    Final,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// Not enough time is left.
    Deadline,
}

/// Decides whether a request with this outcome may be sent again.
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

/// Tells whether another sending can end differently within the deadline.
///
/// `Overload` is final here: the key has one owner, so a retry by the node
/// would only lengthen that owner's queue. The caller learns when to come back.
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
    left.checked_sub(HOP_MARGIN).filter(|rest| !rest.is_zero())
}

/// Returns a random wait before retry number `attempt` (from 0), with full jitter.
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
    left: f64,
    used: clock::Instant,
}

impl Tokens {
    const fn new(now: clock::Instant) -> Self {
        Self {
            left: TOKENS_START,
            used: now,
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
    swept: clock::Instant,
}

impl Budget {
    /// Makes an empty table of budgets.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            tokens: collections::HashMap::new(),
            shared: Tokens::new(now),
            swept: now,
        }
    }

    /// Counts the first sending of a request.
    pub fn deposit(&mut self, now: clock::Instant, caller: id::Caller, service: id::Service) {
        let tokens = self.entry(now, caller, service);
        tokens.left = (tokens.left + DEPOSIT).min(TOKENS_MAX);
    }

    /// Takes a token for a retry; `false` if none is left.
    pub fn withdraw(
        &mut self,
        now: clock::Instant,
        caller: id::Caller,
        service: id::Service,
    ) -> bool {
        let tokens = self.entry(now, caller, service);
        let enough = tokens.left >= 1.0;
        if enough {
            tokens.left -= 1.0;
        }
        enough
    }

    fn entry(
        &mut self,
        now: clock::Instant,
        caller: id::Caller,
        service: id::Service,
    ) -> &mut Tokens {
        let key = (caller, service);
        let full = self.tokens.len() >= BUDGETS_MAX && !self.tokens.contains_key(&key);
        if full && now.saturating_since(self.swept) >= IDLE {
            self.swept = now;
            self.tokens
                .retain(|_, tokens| now.saturating_since(tokens.used) < IDLE);
        }
        let full = self.tokens.len() >= BUDGETS_MAX && !self.tokens.contains_key(&key);
        let tokens = match full {
            true => &mut self.shared,
            false => self.tokens.entry(key).or_insert(Tokens::new(now)),
        };
        tokens.used = now;
        tokens
    }
}
