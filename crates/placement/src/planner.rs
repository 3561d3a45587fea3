//! The planner itself.
//!
//! Notes of changes keep the indexes up to date; a round looks at what
//! changed, at the ends of the ordered pools and at a bounded number of
//! slices. The children are the slices of a service (`book`), the servers
//! (`fleet` with one `pool` for each service), the actions in progress
//! (`ledger`) and the steps of a round (`assign`, `balance`, `shape`).

mod assign;
mod balance;
mod book;
mod fleet;
mod ledger;
mod pool;
mod shape;

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
/// action that was returned is not returned again until its outcome was
/// reported (as a change of the slice, or by [`Planner::action_failed`]) or it has
/// timed out.
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
    books: collections::BTreeMap<id::Service, book::Book>,
    fleet: fleet::Fleet,
    ledger: ledger::Ledger,
    pins: collections::BTreeMap<ledger::Place, pin::Pin>,
    /// Pins whose range may not be on their server; the starts of their ranges.
    loose: collections::BTreeSet<ledger::Place>,
    // Invariant: the slices without a holder for which no action is in progress.
    vacant: collections::BTreeSet<ledger::Place>,
    /// Slices whose load was reported since the last round.
    loaded: collections::BTreeSet<ledger::Place>,
    /// When to look again for a reason that the indexes do not show.
    retry: Option<clock::Instant>,
}

impl Planner {
    /// Makes a planner that knows no service and no server.
    pub fn new(config: config::Config) -> Self {
        Self {
            config,
            books: collections::BTreeMap::new(),
            fleet: fleet::Fleet::default(),
            ledger: ledger::Ledger::default(),
            pins: collections::BTreeMap::new(),
            loose: collections::BTreeSet::new(),
            vacant: collections::BTreeSet::new(),
            loaded: collections::BTreeSet::new(),
            retry: None,
        }
    }

    /// Returns the settings.
    pub const fn config(&self) -> &config::Config {
        &self.config
    }

    /// Reports a new service, or new weights of a service.
    pub fn service_changed(&mut self, service: id::Service, weights: &service::Weights) {
        self.add_service(service);
        if let Some(book) = self.books.get_mut(&service) {
            book.weights = *weights;
        }
        self.fleet.pool_mut(service).is_touched = true;
    }

    /// Reports a server that came or changed in any respect.
    pub fn server_changed(&mut self, server: &server::Server<'_>) {
        self.fleet.set(server);
        self.drop_void(server.id);
        self.loosen(server.id);
    }

    /// Reports that no incarnation of the server is in the state any more.
    pub fn server_removed(&mut self, server: id::Server) {
        self.fleet.remove(server);
        self.drop_void(server);
    }

    /// Reports the whole table of a service, for example to a new leader.
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
        let Some(book) = self.books.get(&service) else {
            return;
        };
        let starts = book.iter().map(|(start, _)| start);
        let stale: Vec<_> = starts.filter(|start| table.get(*start).is_none()).collect();
        for start in stale {
            self.slice_merged(service, start);
        }
    }

    /// Reports a slice that was made, split off or that changed hands.
    pub fn slice_changed(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        slice: &table::Slice,
    ) {
        self.add_service(service);
        self.cut(service, slice.start);
        let place = (service, slice.start);
        let Some(book) = self.books.get_mut(&service) else {
            return;
        };
        let Some(known) = book.get_mut(slice.start) else {
            return;
        };
        if known.holder == slice.holder {
            return;
        }
        let holder = slice
            .holder
            .map(|holder| (holder.server, holder.incarnation));
        if known
            .holder
            .map(|holder| (holder.server, holder.incarnation))
            != holder
        {
            known.changed = now;
        }
        let was_held = std::mem::replace(&mut known.holder, slice.holder).is_some();
        book.held = book.held + usize::from(slice.holder.is_some()) - usize::from(was_held);
        self.end(place);
        if let Some(pin) = self.pin_of(place) {
            self.loose.insert((service, pin.range.first));
        }
    }

    /// Reports that the slice at `start` was merged into the one before it.
    pub fn slice_merged(&mut self, service: id::Service, start: key::Hash) {
        let Some(book) = self.books.get(&service) else {
            return;
        };
        let (Some(before), Some(_)) = (book.before(start), book.get(start)) else {
            return;
        };
        self.end((service, start));
        self.count((service, start), None);
        self.vacant.remove(&(service, start));
        self.loaded.remove(&(service, start));
        // What is in progress for the slice before it goes on with the larger one.
        let left = (service, before);
        let counted = self.slice(left).and_then(|slice| slice.counted);
        self.count(left, None);
        if let Some(book) = self.books.get_mut(&service) {
            book.join(start);
        }
        self.count(left, counted);
    }

    /// Reports the load of a slice; no effect if there is no such slice.
    pub fn load_changed(&mut self, service: id::Service, start: key::Hash, load: &load::Load<'_>) {
        let place = (service, start);
        let Some(counted) = self.slice(place).map(|slice| slice.counted) else {
            return;
        };
        self.count(place, None);
        if let Some(book) = self.books.get_mut(&service)
            && let Some(slice) = book.get_mut(start)
        {
            let rate = load.rate.min(load::MAX_RATE);
            let former = std::mem::replace(&mut slice.part.rate, rate);
            let top = load.keys.iter().take(load::MAX_KEYS);
            let bounded = top.map(|key| load::Key {
                rate: key.rate.min(rate),
                ..*key
            });
            slice.set_keys(bounded.collect());
            book.rate = book.rate + rate - former;
            self.fleet.set_base(service, book.base());
        }
        self.count(place, counted);
        self.loaded.insert(place);
    }

    /// Reports a new pin, or another server for the same range.
    pub fn pin_changed(&mut self, pin: &pin::Pin) {
        let place = (pin.service, pin.range.first);
        self.pins.insert(place, *pin);
        self.loose.insert(place);
    }

    /// Reports that the pin of the range that starts at `start` is gone.
    pub fn pin_removed(&mut self, service: id::Service, start: key::Hash) {
        self.pins.remove(&(service, start));
        self.loose.remove(&(service, start));
    }

    /// Reports that an action was refused, failed or was given up.
    ///
    /// It has no effect if the planner has given up the action itself, since
    /// its target left or it timed out.
    pub fn action_failed(&mut self, now: clock::Instant, action: &action::Action) {
        let (service, position) = (action.service(), action.position());
        let Some(book) = self.books.get(&service) else {
            return;
        };
        let place = (service, book.find(position));
        let is_split = matches!(action, action::Action::Split { .. });
        let kind = self.ledger.get(place);
        let fits = kind.is_some_and(|kind| kind.fits(action));
        // Only a split has its position inside of a slice.
        if fits && is_split != (place.1 == position) {
            self.end(place);
            self.vacant.remove(&place);
            self.ledger.back_off(now, place);
        }
    }

    /// Returns the actions that are due.
    pub fn plan(&mut self, now: clock::Instant) -> Vec<action::Action> {
        self.retry = None;
        for place in self.ledger.expired(now) {
            self.end(place);
        }
        self.fleet.refresh(now, &self.config);
        let mut actions = Vec::new();
        self.refine(now, &mut actions);
        self.assign(now, &mut actions);
        self.pin(now, &mut actions);
        self.evacuate(now, &mut actions);
        let places = self.examined(now);
        self.isolate(now, &places, &mut actions);
        self.balance(now, &mut actions);
        self.merge(now, &places, &mut actions);
        self.fleet.refresh(now, &self.config);
        actions
    }

    /// Returns when [`Planner::plan`] should be called though nothing was reported.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        let known = [
            self.ledger.next_deadline(),
            self.fleet.next_wake(),
            self.retry,
        ];
        known.into_iter().flatten().min()
    }

    fn add_service(&mut self, service: id::Service) {
        if self.books.contains_key(&service) {
            return;
        }
        let book = book::Book::new(service::Weights::default());
        self.fleet.set_base(service, book.base());
        self.books.insert(service, book);
        self.vacant.insert((service, key::Hash::MIN));
    }

    fn slice(&self, (service, start): ledger::Place) -> Option<&book::Slice> {
        self.books.get(&service)?.get(start)
    }

    fn weight(&self, place: ledger::Place) -> u64 {
        let base = self.fleet.pool(place.0).map_or(0, |pool| pool.base);
        self.slice(place).map_or(0, |slice| slice.part.load(base))
    }

    /// Counts a slice on another server, or on none.
    fn count(&mut self, place: ledger::Place, server: Option<id::Server>) {
        let Some(book) = self.books.get_mut(&place.0) else {
            return;
        };
        let Some(slice) = book.get_mut(place.1) else {
            return;
        };
        if let Some(former) = std::mem::replace(&mut slice.counted, server) {
            self.fleet.discount(former, place, slice.part);
        }
        if let Some(server) = server {
            self.fleet.count(server, place, slice.part);
        }
    }

    fn count_holder(&mut self, place: ledger::Place) {
        let holder = self.slice(place).and_then(|slice| slice.holder);
        self.count(place, holder.map(|holder| holder.server));
    }

    /// Ends the action in progress for a slice, if any, and has it count as
    /// what the table says.
    fn end(&mut self, place: ledger::Place) {
        let merged = match self.ledger.remove(place) {
            Some(ledger::Kind::Merge { with }) => Some((place.0, with)),
            _ => None,
        };
        for place in merged.into_iter().chain([place]) {
            self.count_holder(place);
            let holder = self.slice(place).map(|slice| slice.holder);
            if holder == Some(None) {
                self.vacant.insert(place);
            } else {
                self.vacant.remove(&place);
            }
        }
    }

    fn cut(&mut self, service: id::Service, at: key::Hash) {
        let Some(book) = self.books.get(&service) else {
            return;
        };
        let start = book.find(at);
        if start == at {
            return;
        }
        let place = (service, start);
        let Some(counted) = self.slice(place).map(|slice| slice.counted) else {
            return;
        };
        self.count(place, None);
        if let Some(book) = self.books.get_mut(&service) {
            book.cut(at);
        }
        self.count(place, counted);
        // An earlier position than the last one awaited takes that one out of
        // the slice, so its split would never be seen here.
        let kind = self.ledger.get(place);
        if kind.is_some_and(|kind| matches!(kind, ledger::Kind::Split { last } if at <= last)) {
            self.end(place);
        }
        self.end((service, at));
        self.loaded.extend([place, (service, at)]);
    }

    /// Ends the actions towards a run of the server that is no more.
    fn drop_void(&mut self, server: id::Server) {
        let incarnation = self.fleet.incarnation(server);
        for place in self.ledger.void(server, incarnation) {
            self.end(place);
        }
    }

    fn loosen(&mut self, server: id::Server) {
        let pins = self.pins.iter();
        let pins = pins.filter(|(_, pin)| pin.server == server);
        self.loose.extend(pins.map(|(place, _)| *place));
    }

    fn pin_of(&self, (service, start): ledger::Place) -> Option<&pin::Pin> {
        let (_, pin) = self.pins.range(..=(service, start)).next_back()?;
        let holds = pin.service == service && pin.range.contains(start);
        holds.then_some(pin)
    }

    fn look_again(&mut self, at: clock::Instant) {
        self.retry = Some(self.retry.map_or(at, |retry| retry.min(at)));
    }

    fn start(&mut self, now: clock::Instant, place: ledger::Place, kind: ledger::Kind) {
        let until = now + self.config.action_timeout;
        self.ledger.insert(place, kind, until);
        self.vacant.remove(&place);
        if let Some(target) = kind.target() {
            self.count(place, Some(target.server));
        }
    }
}
