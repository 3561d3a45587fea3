//! Health of the backend server as its own node sees it.
//!
//! The health endpoint lags and is sometimes wrong, so what happens to real
//! requests weighs more than what the endpoint says.

use std::time::Duration;

use sequoiayoke_model::clock;

/// What happened to one request at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sample {
    /// It was answered after this time.
    Answered(Duration),
    /// It was not answered in time.
    TimedOut,
    /// The connection failed.
    Failed,
}

/// What the health endpoint said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Probe {
    /// It said that the server is healthy.
    Healthy,
    /// It said that the server is not healthy.
    Unhealthy,
    /// It did not respond.
    Silent,
}

/// Judgement about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It serves.
    Healthy,
    /// It should get no additional slices.
    Suspect,
    /// Its slices should move away.
    Failing,
}

/// What control learns about the backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The judgement.
    pub state: State,
    /// Weighed share of failures, from 0 to 1.
    pub score: f64,
    /// Share of failures among recent requests, or `None` without recent ones.
    pub path: Option<f64>,
    /// What the health endpoint said last, if recently.
    pub probe: Option<Probe>,
    /// Mean latency of recent answers.
    pub latency: Duration,
}

/// Evidence about one backend server.
#[derive(Clone, Debug)]
pub struct Monitor {
    started: clock::Instant,
}

impl Monitor {
    /// Makes a monitor of a server that is taken as healthy.
    pub fn new(now: clock::Instant) -> Self {
        Self { started: now }
    }

    /// Takes what happened to one request.
    pub fn observe(&mut self, now: clock::Instant, sample: Sample) {
        let _ = (now, sample);
    }

    /// Takes what the health endpoint said.
    pub fn probed(&mut self, now: clock::Instant, probe: Probe) {
        let _ = (now, probe);
    }

    /// Judges the evidence up to `now`.
    pub fn report(&mut self, now: clock::Instant) -> Report {
        let _ = now.saturating_since(self.started);
        Report {
            state: State::Healthy,
            score: 0.0,
            path: None,
            probe: None,
            latency: Duration::ZERO,
        }
    }
}
