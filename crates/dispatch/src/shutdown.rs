//! Phases of a graceful stop.
//!
//! The end of a process is a deadline of every request that it holds, whatever deadline its caller
//! has. The phases leave time for each request to get an outcome before that: one that has not
//! begun to run is refused while its answer can still be delivered, and one that runs is waited for
//! as long as possible.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Time for which callers may still connect after a node has reported that it is not ready: two
/// readiness checks a second apart, and the delay until callers use other nodes.
const CLOSE_DELAY: Duration = Duration::from_millis(2_300);
/// Time that a request which has begun to run has to end, several times the run time of ordinary
/// requests.
const RUN_TIME: Duration = Duration::from_millis(1_500);
/// Part of the grace period for the last answers to be written, and for the process to exit.
const END_MARGIN: Duration = Duration::from_millis(800);
/// Part of the grace period for connections to close and for the process to exit. A busy VM
/// delivers the signal late and needs some time for the exit.
const EXIT_MARGIN: Duration = Duration::from_millis(550);
/// Time before the end by which a request must have its outcome, so that its answer is written.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// What a node still does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves requests.
    #[default]
    Serving,
    /// It serves requests and reports that it is not ready.
    Leaving,
    /// It accepts no connections of callers and no requests for its backend server, and serves the
    /// requests of the callers that are connected.
    Closed,
    /// It refuses each request that has not begun to run.
    Withdrawing,
    /// It waits no longer for requests that run: their outcome is unknown.
    Ending,
    /// It ends, whatever is left.
    Exit,
}

/// Times of a graceful stop.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::shutdown;
/// use sequoiayoke_model::clock;
///
/// let start = clock::Instant::from_micros(0);
/// let schedule = shutdown::Schedule::new(start, Duration::from_secs(6));
/// assert_eq!(schedule.phase(start), shutdown::Phase::Leaving);
/// let end = start + Duration::from_millis(5_200);
/// assert_eq!(schedule.phase(end), shutdown::Phase::Ending);
/// assert!(schedule.latest_outcome() < end);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    close: clock::Instant,
    withdraw: clock::Instant,
    outcome: clock::Instant,
    end: clock::Instant,
    exit: clock::Instant,
}

impl Schedule {
    /// Creates the schedule of a stop that was requested at `start`, and that must be over within
    /// `grace`.
    ///
    /// A short grace period shortens the phases; their order stays.
    pub fn new(start: clock::Instant, grace: Duration) -> Self {
        let end = grace.saturating_sub(END_MARGIN);
        let withdraw = end - RUN_TIME.min(end / 3);
        Self {
            close: start + CLOSE_DELAY.min(withdraw),
            withdraw: start + withdraw,
            outcome: start + end.saturating_sub(ANSWER_MARGIN),
            end: start + end,
            exit: start + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: clock::Instant) -> Phase {
        let mut phase = Phase::Leaving;
        for (start, next) in self.changes() {
            if now >= start {
                phase = next;
            }
        }
        phase
    }

    /// Returns when the phase changes next, or `None` in the last phase.
    pub fn next_change(&self, now: clock::Instant) -> Option<clock::Instant> {
        let mut starts = self.changes().into_iter().map(|(start, _)| start);
        starts.find(|start| now < *start)
    }

    /// Returns the time by which a request that arrives now must have its outcome.
    pub const fn latest_outcome(&self) -> clock::Instant {
        self.outcome
    }

    const fn changes(&self) -> [(clock::Instant, Phase); 4] {
        [
            (self.close, Phase::Closed),
            (self.withdraw, Phase::Withdrawing),
            (self.end, Phase::Ending),
            (self.exit, Phase::Exit),
        ]
    }
}
