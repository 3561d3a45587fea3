//! Simplified control leader for tests: keeps the table of one service and
//! executes the planner's actions.

#![allow(dead_code, unreachable_pub)]

use std::collections;
use std::fmt::Write;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::table;
use sequoiayoke_placement::action;
use sequoiayoke_placement::config;
use sequoiayoke_placement::load;
use sequoiayoke_placement::planner;
use sequoiayoke_placement::server;

pub const SERVICE: id::Service = id::Service(1);

#[derive(Clone)]
pub struct Server {
    pub incarnation: u64,
    pub domain: &'static str,
    pub slots: u32,
    pub state: server::State,
    pub health: server::Health,
}

pub struct Control {
    pub planner: planner::Planner,
    pub table: table::Table,
    pub servers: collections::BTreeMap<u32, Server>,
    pub loads: collections::BTreeMap<key::Hash, u64>,
    pub running: Vec<action::Action>,
    pub now: clock::Instant,
    index: u64,
}

impl Control {
    pub fn new(config: config::Config, slices: u32) -> Self {
        let mut planner = planner::Planner::new(config);
        let table = table::Table::with_slices(slices);
        planner.table_loaded(clock::Instant::default(), SERVICE, &table);
        Self {
            planner,
            table,
            servers: collections::BTreeMap::new(),
            loads: collections::BTreeMap::new(),
            running: Vec::new(),
            now: clock::Instant::default(),
            index: 0,
        }
    }

    /// Changes a server and reports it to the planner; a server that is not
    /// known yet gets a new incarnation.
    pub fn announce(&mut self, number: u32, change: impl FnOnce(&mut Server)) {
        self.index += 1;
        let index = self.index;
        let server = self.servers.entry(number).or_insert_with(|| Server {
            incarnation: index,
            domain: ["a", "b", "c"][number as usize % 3],
            slots: 10,
            state: server::State::Serving,
            health: server::Health::GOOD,
        });
        change(server);
        self.planner.server_changed(&server::Server {
            id: id::Server(number),
            incarnation: id::Incarnation(server.incarnation),
            services: &[SERVICE],
            failure_domain: server.domain,
            slots: server.slots,
            state: server.state,
            health: server.health,
        });
    }

    pub fn lose_server(&mut self, number: u32) {
        self.servers.remove(&number);
        self.planner.server_removed(id::Server(number));
        for slice in self.table.clone().slices() {
            if slice.holder.is_some_and(|holder| holder.server.0 == number) {
                self.set_holder(slice.start, None);
            }
        }
    }

    pub fn report(&mut self, start: key::Hash, rate: u64, keys: &[load::Key]) {
        self.loads.insert(start, rate);
        let load = load::Load { rate, keys };
        self.planner.load_changed(SERVICE, start, &load);
    }

    pub fn plan(&mut self) -> Vec<action::Action> {
        let actions = self.planner.plan(self.now);
        self.running.extend(&actions);
        actions
    }

    /// Executes an action in progress and reports the outcome to the planner;
    /// returns whether it succeeded.
    pub fn finish(&mut self, action: &action::Action) -> bool {
        let position = action.position();
        let (expected, to) = match action {
            action::Action::Split { .. } => {
                let is_done = self.table.split(position).is_ok();
                if is_done {
                    self.notify(position);
                } else {
                    self.planner.action_failed(self.now, action);
                }
                return is_done;
            }
            action::Action::Merge { .. } => {
                let is_done = self.table.merge(position).is_ok();
                if is_done {
                    self.planner.slice_merged(SERVICE, position);
                } else {
                    self.planner.action_failed(self.now, action);
                }
                return is_done;
            }
            action::Action::Assign { to, .. } => (None, *to),
            action::Action::Move { from, to, .. } => (Some(*from), *to),
        };
        let current = self.table.get(position).map(|slice| slice.holder);
        let target = self.servers.get(&to.server.0);
        let is_same_incarnation =
            target.is_some_and(|server| server.incarnation == to.incarnation.0);
        if current != Some(expected) || !is_same_incarnation {
            self.planner.action_failed(self.now, action);
            return false;
        }
        self.index += 1;
        let holder = table::Holder {
            server: to.server,
            incarnation: to.incarnation,
            epoch: id::Epoch(self.index),
        };
        self.set_holder(position, Some(holder));
        true
    }

    pub fn finish_all(&mut self) {
        for action in std::mem::take(&mut self.running) {
            assert!(self.finish(&action), "refused: {action}");
        }
    }

    pub fn set_holder(&mut self, start: key::Hash, holder: Option<table::Holder>) {
        self.table.set_holder(start, holder);
        self.notify(start);
    }

    fn notify(&mut self, start: key::Hash) {
        if let Some(slice) = self.table.get(start) {
            self.planner.slice_changed(self.now, SERVICE, slice);
        }
    }

    pub fn held_slices(&self, number: u32) -> usize {
        let slices = self.table.slices().iter();
        let held =
            slices.filter(|slice| slice.holder.is_some_and(|holder| holder.server.0 == number));
        held.count()
    }

    /// Returns the number of slices of each server as text.
    pub fn summary(&self) -> String {
        let slices = self.table.slices();
        let vacant = slices.iter().filter(|slice| slice.holder.is_none()).count();
        let mut text = format!("slices={} vacant={vacant}", slices.len());
        for (number, server) in &self.servers {
            let held = self.held_slices(*number);
            write!(text, " {number}{}={held}", server.domain).expect("a string takes text");
        }
        text
    }
}
