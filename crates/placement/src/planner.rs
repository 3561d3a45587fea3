//! The planner.
//!
//! Reported changes update the indexes. A planning round examines only what
//! changed, the most and least loaded servers of each pool, and a bounded
//! number of slices. The submodules hold the slices of a service (`slices`),
//! the servers (`fleet`, with one `pool` for each service), the actions in
//! progress (`pending`) and the steps of a round (`assign`, `balance`, `resize`).

mod assign;
mod balance;
mod fleet;
mod pending;
mod pool;
mod resize;
mod slices;

use std::collections;

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
/// action is not returned again until its outcome is reported (as a change of
/// the slice, or by [`Planner::action_failed`]) or the action times out.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{clock, id};
/// use sequoiayoke_placement::{action, config, planner, server, service};
///
/// let config = config::Config {
///     min_slices_per_server: 1,
///     ..config::Config::default()
/// };
/// let mut planner = planner::Planner::new(config);
/// planner.service_changed(id::Service(1), &service::Weights::default());
/// planner.server_changed(&server::Server {
///     id: id::Server(1),
///     incarnation: id::Incarnation(7),
///     services: &[id::Service(1)],
///     failure_domain: "north",
///     slots: 12,
///     state: server::State::Serving,
///     health: server::Health::GOOD,
/// });
/// let actions = planner.plan(clock::Instant::from_micros(0));
/// assert!(matches!(actions[..], [action::Action::Assign { .. }]));
/// assert!(planner.plan(clock::Instant::from_micros(1)).is_empty());
/// ```
#[derive(Debug)]
pub struct Planner {
    config: config::Config,
    slice_maps: collections::BTreeMap<id::Service, slices::Map>,
    fleet: fleet::Fleet,
    pending: pending::Actions,
    pins: collections::BTreeMap<pending::Place, pin::Pin>,
    /// Pins, by the start of their range, whose slices may be on another server.
    unsettled_pins: collections::BTreeSet<pending::Place>,
    // Invariant: exactly the slices that have no holder and no action in progress.
    vacant: collections::BTreeSet<pending::Place>,
    /// Slices whose load was reported since the last round.
    load_reported: collections::BTreeSet<pending::Place>,
    /// When to plan again for work that neither `pending` nor `fleet` has a deadline for.
    recheck_at: Option<clock::Instant>,
}

impl Planner {
    /// Creates a planner without services and servers.
    pub fn new(config: config::Config) -> Self {
        Self {
            config,
            slice_maps: collections::BTreeMap::new(),
            fleet: fleet::Fleet::default(),
            pending: pending::Actions::default(),
            pins: collections::BTreeMap::new(),
            unsettled_pins: collections::BTreeSet::new(),
            vacant: collections::BTreeSet::new(),
            load_reported: collections::BTreeSet::new(),
            recheck_at: None,
        }
    }

    /// Returns the settings.
    pub const fn config(&self) -> &config::Config {
        &self.config
    }

    /// Reports a new service, or new weights of a known one.
    pub fn service_changed(&mut self, service: id::Service, weights: &service::Weights) {
        self.add_service(service);
        if let Some(slice_map) = self.slice_maps.get_mut(&service) {
            slice_map.weights = *weights;
        }
        self.fleet.pool_mut(service).is_changed = true;
    }

    /// Reports a server that is new or has changed.
    pub fn server_changed(&mut self, server: &server::Server<'_>) {
        self.fleet.set(server);
        self.end_stale_actions(server.id);
        self.recheck_pins(server.id);
    }

    /// Reports that the control state no longer contains the server.
    pub fn server_removed(&mut self, server: id::Server) {
        self.fleet.remove(server);
        self.end_stale_actions(server);
    }

    /// Reports the whole table of a service, for example after a leader change.
    pub fn table_loaded(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        table: &table::Table,
    ) {
        self.add_service(service);
        for slice in table.slices() {
            self.slice_changed(now, service, slice);
        }
        let Some(slice_map) = self.slice_maps.get(&service) else {
            return;
        };
        let starts = slice_map.iter().map(|(start, _)| start);
        let stale: Vec<_> = starts.filter(|start| table.get(*start).is_none()).collect();
        for start in stale {
            self.slice_merged(service, start);
        }
    }

    /// Reports a slice that was created, split off or given another holder.
    pub fn slice_changed(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        slice: &table::Slice,
    ) {
        self.add_service(service);
        self.split_slice(service, slice.start);
        let place = (service, slice.start);
        let Some(slice_map) = self.slice_maps.get_mut(&service) else {
            return;
        };
        let Some(current) = slice_map.get_mut(slice.start) else {
            return;
        };
        if current.holder == slice.holder {
            return;
        }
        let holder = slice
            .holder
            .map(|holder| (holder.server, holder.incarnation));
        if current
            .holder
            .map(|holder| (holder.server, holder.incarnation))
            != holder
        {
            current.holder_changed_at = now;
        }
        let was_held = std::mem::replace(&mut current.holder, slice.holder).is_some();
        slice_map.held =
            slice_map.held + usize::from(slice.holder.is_some()) - usize::from(was_held);
        self.end_action(place);
        if let Some(pin) = self.find_pin(place) {
            self.unsettled_pins.insert((service, pin.range.first));
        }
    }

    /// Reports that the slice at `start` was merged into the one before it.
    pub fn slice_merged(&mut self, service: id::Service, start: key::Hash) {
        let Some(slice_map) = self.slice_maps.get(&service) else {
            return;
        };
        let (Some(before), Some(_)) = (slice_map.before(start), slice_map.get(start)) else {
            return;
        };
        self.end_action((service, start));
        self.attribute((service, start), None);
        self.vacant.remove(&(service, start));
        self.load_reported.remove(&(service, start));
        // An action in progress for the slice before continues with the merged slice.
        let merged_into = (service, before);
        let attributed_to = self
            .slice(merged_into)
            .and_then(|slice| slice.attributed_to);
        self.attribute(merged_into, None);
        if let Some(slice_map) = self.slice_maps.get_mut(&service) {
            slice_map.merge(start);
        }
        self.attribute(merged_into, attributed_to);
    }

    /// Reports the load of a slice; has no effect if there is no such slice.
    pub fn load_changed(&mut self, service: id::Service, start: key::Hash, load: &load::Load<'_>) {
        let place = (service, start);
        let Some(attributed_to) = self.slice(place).map(|slice| slice.attributed_to) else {
            return;
        };
        self.attribute(place, None);
        if let Some(slice_map) = self.slice_maps.get_mut(&service)
            && let Some(slice) = slice_map.get_mut(start)
        {
            let rate = load.rate.min(load::MAX_RATE);
            let previous = std::mem::replace(&mut slice.demand.rate, rate);
            let hottest = load.keys.iter().take(load::MAX_KEYS);
            let bounded = hottest.map(|key| load::Key {
                rate: key.rate.min(rate),
                ..*key
            });
            slice.set_keys(bounded.collect());
            slice_map.rate = slice_map.rate + rate - previous;
            self.fleet.set_idle_rate(service, slice_map.idle_rate());
        }
        self.attribute(place, attributed_to);
        self.load_reported.insert(place);
    }

    /// Reports a new pin, or a pin whose server changed.
    pub fn pin_changed(&mut self, pin: &pin::Pin) {
        let place = (pin.service, pin.range.first);
        self.pins.insert(place, *pin);
        self.unsettled_pins.insert(place);
    }

    /// Reports that the pin of the range that starts at `start` was removed.
    pub fn pin_removed(&mut self, service: id::Service, start: key::Hash) {
        self.pins.remove(&(service, start));
        self.unsettled_pins.remove(&(service, start));
    }

    /// Reports that an action was refused, failed or was abandoned.
    ///
    /// Has no effect if the planner has already abandoned the action because
    /// its target was removed or the action timed out.
    pub fn action_failed(&mut self, now: clock::Instant, action: &action::Action) {
        let (service, position) = (action.service(), action.position());
        let Some(slice_map) = self.slice_maps.get(&service) else {
            return;
        };
        let place = (service, slice_map.find(position));
        let is_split = matches!(action, action::Action::Split { .. });
        let kind = self.pending.get(place);
        let is_pending = kind.is_some_and(|kind| kind.is_for(action));
        // Only a split has its position inside a slice; the others have it at the start.
        if is_pending && is_split != (place.1 == position) {
            self.end_action(place);
            self.vacant.remove(&place);
            self.pending.back_off(now, place);
        }
    }

    /// Returns the actions that are due.
    pub fn plan(&mut self, now: clock::Instant) -> Vec<action::Action> {
        self.recheck_at = None;
        for place in self.pending.expired(now) {
            self.end_action(place);
        }
        self.fleet.refresh(now, &self.config);
        let mut actions = Vec::new();
        self.split_coarse(now, &mut actions);
        self.assign_vacant(now, &mut actions);
        self.apply_pins(now, &mut actions);
        self.evacuate(now, &mut actions);
        let places = self.take_reported(now);
        self.isolate_hot_keys(now, &places, &mut actions);
        self.balance(now, &mut actions);
        self.merge_cold(now, &places, &mut actions);
        self.fleet.refresh(now, &self.config);
        actions
    }

    /// Returns when [`Planner::plan`] should be called even if nothing is reported.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        let deadlines = [
            self.pending.next_deadline(),
            self.fleet.next_timer(),
            self.recheck_at,
        ];
        deadlines.into_iter().flatten().min()
    }

    fn add_service(&mut self, service: id::Service) {
        if self.slice_maps.contains_key(&service) {
            return;
        }
        let slice_map = slices::Map::new(service::Weights::default());
        self.fleet.set_idle_rate(service, slice_map.idle_rate());
        self.slice_maps.insert(service, slice_map);
        self.vacant.insert((service, key::Hash::MIN));
    }

    fn slice(&self, (service, start): pending::Place) -> Option<&slices::Slice> {
        self.slice_maps.get(&service)?.get(start)
    }

    fn slice_load(&self, place: pending::Place) -> u64 {
        let idle_rate = self.fleet.pool(place.0).map_or(0, |pool| pool.idle_rate);
        self.slice(place)
            .map_or(0, |slice| slice.demand.load(idle_rate))
    }

    /// Attributes the load of a slice to `server`, or to no server.
    fn attribute(&mut self, place: pending::Place, server: Option<id::Server>) {
        let Some(slice_map) = self.slice_maps.get_mut(&place.0) else {
            return;
        };
        let Some(slice) = slice_map.get_mut(place.1) else {
            return;
        };
        if let Some(previous) = std::mem::replace(&mut slice.attributed_to, server) {
            self.fleet.remove_slice(previous, place, slice.demand);
        }
        if let Some(server) = server {
            self.fleet.add_slice(server, place, slice.demand);
        }
    }

    fn attribute_to_holder(&mut self, place: pending::Place) {
        let holder = self.slice(place).and_then(|slice| slice.holder);
        self.attribute(place, holder.map(|holder| holder.server));
    }

    /// Ends the action in progress for a slice, if any, and attributes the
    /// slice's load to the holder in the table.
    fn end_action(&mut self, place: pending::Place) {
        let merged = match self.pending.remove(place) {
            Some(pending::Kind::Merge { with }) => Some((place.0, with)),
            _ => None,
        };
        for place in merged.into_iter().chain([place]) {
            self.attribute_to_holder(place);
            let holder = self.slice(place).map(|slice| slice.holder);
            if holder == Some(None) {
                self.vacant.insert(place);
            } else {
                self.vacant.remove(&place);
            }
        }
    }

    fn split_slice(&mut self, service: id::Service, at: key::Hash) {
        let Some(slice_map) = self.slice_maps.get(&service) else {
            return;
        };
        let start = slice_map.find(at);
        if start == at {
            return;
        }
        let place = (service, start);
        let Some(attributed_to) = self.slice(place).map(|slice| slice.attributed_to) else {
            return;
        };
        self.attribute(place, None);
        if let Some(slice_map) = self.slice_maps.get_mut(&service) {
            slice_map.split(at);
        }
        self.attribute(place, attributed_to);
        // A split before `last` moves the awaited position into the new slice,
        // so the split at `last` would no longer end this action.
        let kind = self.pending.get(place);
        if kind.is_some_and(|kind| matches!(kind, pending::Kind::Split { last } if at <= last)) {
            self.end_action(place);
        }
        self.end_action((service, at));
        self.load_reported.extend([place, (service, at)]);
    }

    /// Ends the actions whose target is an incarnation of the server that no longer runs.
    fn end_stale_actions(&mut self, server: id::Server) {
        let incarnation = self.fleet.incarnation(server);
        for place in self.pending.with_stale_target(server, incarnation) {
            self.end_action(place);
        }
    }

    fn recheck_pins(&mut self, server: id::Server) {
        let pins = self.pins.iter();
        let pins = pins.filter(|(_, pin)| pin.server == server);
        self.unsettled_pins.extend(pins.map(|(place, _)| *place));
    }

    fn find_pin(&self, (service, start): pending::Place) -> Option<&pin::Pin> {
        let (_, pin) = self.pins.range(..=(service, start)).next_back()?;
        let is_covered = pin.service == service && pin.range.contains(start);
        is_covered.then_some(pin)
    }

    fn schedule_recheck(&mut self, at: clock::Instant) {
        self.recheck_at = Some(self.recheck_at.map_or(at, |recheck_at| recheck_at.min(at)));
    }

    fn start_action(&mut self, now: clock::Instant, place: pending::Place, kind: pending::Kind) {
        let deadline = now + self.config.action_timeout;
        self.pending.insert(place, kind, deadline);
        self.vacant.remove(&place);
        if let Some(target) = kind.target() {
            self.attribute(place, Some(target.server));
        }
    }
}
