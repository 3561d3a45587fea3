//! The planner itself.

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::table;

use crate::action;
use crate::config;
use crate::load;
use crate::pin;
use crate::server;
use crate::service;

/// Decides which slice is assigned to which server.
///
/// The caller reports each change once and then calls [`Planner::plan`]. An
/// action that was returned is not returned again until its outcome was
/// reported (as a change of the slice, or by [`Planner::failed`]) or it has
/// timed out.
#[derive(Debug)]
pub struct Planner {
    config: config::Config,
}

impl Planner {
    /// Makes a planner that knows no service and no server.
    pub fn new(config: config::Config) -> Self {
        Self { config }
    }

    /// Returns the settings.
    pub const fn config(&self) -> &config::Config {
        &self.config
    }

    /// Reports a new service, or new weights of a service.
    pub fn service_changed(&mut self, _service: id::Service, _weights: &service::Weights) {}

    /// Reports a server that came or changed in any respect.
    pub fn server_changed(&mut self, _server: &server::Server<'_>) {}

    /// Reports that no incarnation of the server is in the state any more.
    pub fn server_removed(&mut self, _server: id::Server) {}

    /// Reports the whole table of a service, for example to a new leader.
    pub fn table_loaded(
        &mut self,
        _now: clock::Instant,
        _service: id::Service,
        _table: &table::Table,
    ) {
    }

    /// Reports a slice that was made, split off or that changed hands.
    pub fn slice_changed(
        &mut self,
        _now: clock::Instant,
        _service: id::Service,
        _slice: &table::Slice,
    ) {
    }

    /// Reports that the slice at `start` was merged into the one before it.
    pub fn slice_merged(&mut self, _service: id::Service, _start: key::Hash) {}

    /// Reports the load of a slice; no effect if there is no such slice.
    pub fn load_changed(
        &mut self,
        _service: id::Service,
        _start: key::Hash,
        _load: &load::Load<'_>,
    ) {
    }

    /// Reports a new pin, or another server for the same range.
    pub fn pin_changed(&mut self, _pin: &pin::Pin) {}

    /// Reports that the pin of this range, which starts at `start`, is gone.
    pub fn pin_removed(&mut self, _service: id::Service, _start: key::Hash) {}

    /// Reports that the action at this position was refused, failed or was given up.
    pub fn failed(&mut self, _now: clock::Instant, _service: id::Service, _position: key::Hash) {}

    /// Returns the actions that are due.
    pub fn plan(&mut self, _now: clock::Instant) -> Vec<action::Action> {
        Vec::new()
    }

    /// Returns when [`Planner::plan`] should be called though nothing was reported.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        None
    }
}
