//! Pace of a backend server that is cold, or may be.
//!
//! It takes effect only in services whose configuration states what a cold backend server bears.

use std::cell;
use std::rc;
use std::time::Duration;

use sequoiayoke_catalog::{config, server};
use sequoiayoke_dispatch::{admission, pace, warmth};
use sequoiayoke_model::clock;
use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use super::{Backend, Context, Error};
use crate::frontend;
use crate::view;

/// Time between two looks at the requests that wait for the pace.
const PACE_TICK: Duration = Duration::from_millis(20);
/// Time between two health checks of a backend server that is in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Warmth of the backend server.
#[derive(Debug)]
pub(super) struct Cold {
    warmth: cell::Cell<warmth::Warmth>,
    /// Notified when the backend server may be paced.
    doubted: Notify,
    is_checking: cell::Cell<bool>,
}

impl Default for Cold {
    fn default() -> Self {
        Self {
            warmth: cell::Cell::new(warmth::Warmth::new(clock::Instant::now())),
            doubted: Notify::new(),
            is_checking: cell::Cell::new(false),
        }
    }
}

impl Backend {
    /// Returns whether the starts of requests are limited now.
    pub(in crate::traffic) fn is_paced(&self, now: clock::Instant) -> bool {
        let has_window = self.gate.borrow_mut().window_mut().is_some();
        has_window && self.cold.warmth.get().is_cold(now)
    }

    /// Applies what the configuration states about cold backend servers of the service.
    pub(in crate::traffic) fn set_cold_start(
        &self,
        cold_start: Option<config::ColdStart>,
        factor: f64,
    ) {
        let now = clock::Instant::now();
        let limit = cold_start.map(|cold| (cold.rate_per_s * factor).floor().max(1.0) as u32);
        let mut gate = self.gate.borrow_mut();
        match (gate.window_mut(), limit) {
            (Some(window), Some(limit)) => window.set_limit(limit),
            // What the former process of the node has started in the last second is unknown.
            (None, Some(limit)) => gate.set_window(Some(pace::Window::full(limit, now))),
            (_, None) => gate.set_window(None),
        }
        drop(gate);
        self.update_pace(now);
    }

    /// Records an event after which the backend server may be cold.
    pub(in crate::traffic) fn doubt(&self, doubt: warmth::Doubt) {
        let now = clock::Instant::now();
        let is_new = self.with_warmth(|warmth| warmth.record_doubt(now, doubt));
        self.update_pace(now);
        if is_new && self.is_paced(now) {
            tracing::info!(doubt = doubt.as_str(), "the backend server may be cold");
        }
    }

    /// Doubts a backend server that has been silent, before it gets the next request.
    pub(super) fn doubt_if_silent(&self, now: clock::Instant) {
        if self.cold.warmth.get().is_silent(now) && !self.is_paced(now) {
            self.doubt(warmth::Doubt::Silent);
        }
    }

    /// Doubts a backend server after an error that shows that it was down.
    pub(super) fn doubt_after(&self, error: &Error) {
        if matches!(error, Error::Refused | Error::Connect(_)) {
            // Connections to a backend server that was down are gone, even if none was reset.
            self.idle.borrow_mut().clear();
        }
        if matches!(error, Error::Refused | Error::Connect(_) | Error::Timeout) {
            self.doubt(warmth::Doubt::Silent);
        }
    }

    /// Records an answer to a request.
    pub(super) fn record_answer(&self, now: clock::Instant, metadata: &frontend::Metadata<'_>) {
        self.with_warmth(|warmth| warmth.record_answer(now));
        if let Some(slowness) = metadata.slowness {
            self.gate.borrow_mut().record_slowness(now, slowness);
        }
    }

    /// Records the statement in an announcement that the backend server stays cold for `left`.
    pub(in crate::traffic) fn record_announced_cold(&self, left: Duration) {
        if left.is_zero() {
            return;
        }
        let now = clock::Instant::now();
        self.with_warmth(|warmth| warmth.record_announced(now, left));
        self.update_pace(now);
    }

    /// Records the answer to a health check that was sent at `sent`.
    pub(super) fn record_health(&self, sent: clock::Instant, health: &frontend::Health<'_>) {
        let now = clock::Instant::now();
        let was_paced = self.is_paced(now);
        let doubt = self.cold.warmth.get().doubt();
        self.with_warmth(|warmth| warmth.record_check(now, sent, health.cold_left));
        self.update_pace(now);
        if was_paced && doubt.is_some() {
            let cold_left_ms = health.cold_left.as_millis() as u64;
            let doubt = doubt.map(warmth::Doubt::as_str);
            tracing::info!(
                doubt,
                cold_left_ms,
                "the backend server has said whether it is cold"
            );
        }
    }

    fn with_warmth<Change, T>(&self, change: Change) -> T
    where
        Change: FnOnce(&mut warmth::Warmth) -> T,
    {
        let mut warmth = self.cold.warmth.get();
        let result = change(&mut warmth);
        self.cold.warmth.set(warmth);
        result
    }

    fn update_pace(&self, now: clock::Instant) {
        let is_paced = self.is_paced(now);
        self.gate.borrow_mut().set_paced(is_paced);
        match is_paced {
            true => self.cold.doubted.notify_one(),
            false => self.release_waiting(now),
        }
    }

    fn release_waiting(&self, now: clock::Instant) {
        let releases = self.gate.borrow_mut().release(now);
        self.apply_releases(releases);
    }

    /// Starts the requests that wait for the pace, and checks a backend server that is in doubt.
    pub(in crate::traffic) async fn keep_pace<Frontend>(context: rc::Rc<Context<Frontend>>)
    where
        Frontend: frontend::Frontend,
    {
        let backend = &context.backend;
        let mut last_check: Option<clock::Instant> = None;
        loop {
            backend.cold.doubted.notified().await;
            while backend.is_paced(clock::Instant::now()) {
                let now = clock::Instant::now();
                backend.release_waiting(now);
                let is_due = last_check.is_none_or(|at| now.saturating_since(at) >= CHECK_INTERVAL);
                let is_in_doubt = backend.cold.warmth.get().doubt().is_some();
                if is_in_doubt && is_due && !backend.cold.is_checking.replace(true) {
                    last_check = Some(now);
                    let context = rc::Rc::clone(&context);
                    task::spawn_local(async move {
                        context.backend.check_health(&context).await;
                        context.backend.cold.is_checking.set(false);
                    });
                }
                time::sleep(PACE_TICK).await;
            }
            backend.update_pace(clock::Instant::now());
        }
    }

    /// Asks the backend server whether it is cold, over a new connection: those that were open may
    /// lead to an earlier process.
    async fn check_health<Frontend>(&self, context: &Context<Frontend>)
    where
        Frontend: frontend::Frontend,
    {
        let view = context.view();
        let announced = view.backend.as_ref().map(|backend| &backend.announcement);
        let Some(announced) = announced else {
            return;
        };
        if let Err(error) = self.ask_health(context, &view, announced).await {
            let instance = &announced.instance.name;
            tracing::debug!(instance, %error, "a health check was not answered");
        }
    }

    async fn ask_health<Frontend>(
        &self,
        context: &Context<Frontend>,
        view: &view::View,
        announced: &server::Announcement,
    ) -> Result<(), Error>
    where
        Frontend: frontend::Frontend,
    {
        let Some(service) = view.service(&announced.service) else {
            return Ok(());
        };
        let sent = clock::Instant::now();
        let response = self.request_health(context, &service.health_path).await?;
        let health = context.frontend.health(&response);
        // Another instance at the address announces itself.
        if health.instance == Some(&announced.instance.name) {
            self.record_health(sent, &health);
        }
        Ok(())
    }

    /// Returns the load that other nodes see.
    pub(in crate::traffic) fn load(&self) -> admission::Load {
        self.gate.borrow().load(clock::Instant::now())
    }
}
