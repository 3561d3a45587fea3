//! Simulates generated sequences of load and faults with three placement policies:
//! the planner, hash modulo the number of servers, and static ranges.
//!
//! `cargo run --release -p sequoiayoke-placement --example compare -- [seed]`
//!
//! The sequence is simulated for every service of a deployment on its own
//! servers. The figures are means over the services; within a service, keys are
//! weighted by their rates.

#[path = "compare/sequence.rs"]
mod sequence;
#[path = "compare/world.rs"]
mod world;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::table;
use sequoiayoke_placement::action;
use sequoiayoke_placement::config;
use sequoiayoke_placement::load;
use sequoiayoke_placement::planner;
use sequoiayoke_placement::server;
use sequoiayoke_placement::service;

/// Lease and drift margin after which a lost server's slices are vacant.
const LEASE_MS: u64 = 735;
/// Time for the commit and delivery of a decision.
const COMMIT_MS: u64 = 30;
/// Time for which a planned move makes a key unavailable.
const MOVE_MS: u64 = 20;
const SERVICE: id::Service = id::Service(1);

/// Placement policy; `now` is in milliseconds.
trait Policy {
    fn event(&mut self, world: &mut world::World, now: u64, event: &sequence::Event);
    fn step(&mut self, world: &mut world::World, now: u64);
}

/// Equal ranges of the hash space, one for each server, that never change.
struct Static;

impl Policy for Static {
    fn event(&mut self, world: &mut world::World, now: u64, event: &sequence::Event) {
        if let sequence::Event::Rejoin(_) = event {
            self.step(world, now);
        }
    }

    fn step(&mut self, world: &mut world::World, now: u64) {
        let servers = world.servers.len();
        for key in 0..world.keys.len() {
            let server = (u128::from(world.keys[key].hash.0) * servers as u128) >> 64;
            if world.keys[key].owner.is_none() && world.servers[server as usize].is_up {
                world.place(key, server as usize, now, 0);
            }
        }
    }
}

/// Hash modulo the number of available servers.
#[derive(Default)]
struct Modulo {
    due: Option<u64>,
}

impl Policy for Modulo {
    fn event(&mut self, _: &mut world::World, now: u64, event: &sequence::Event) {
        let wait = match event {
            sequence::Event::Lost(_) => LEASE_MS + COMMIT_MS,
            _ => COMMIT_MS,
        };
        self.due = Some(now + wait);
    }

    fn step(&mut self, world: &mut world::World, now: u64) {
        if now != 0 && self.due.is_none_or(|due| now < due) {
            return;
        }
        self.due = None;
        let servers = world.available_servers();
        for key in 0..world.keys.len() {
            let pick = world.keys[key].hash.0 % servers.len() as u64;
            world.place(key, servers[pick as usize], now, MOVE_MS);
        }
    }
}

/// The planner, with a simplified control leader.
struct Planned {
    planner: planner::Planner,
    table: table::Table,
    slots: u32,
    epoch: u64,
    lost_servers: Vec<(u64, usize)>,
    running: std::collections::VecDeque<(u64, action::Action)>,
}

fn instant(now: u64) -> clock::Instant {
    clock::Instant::from_micros(now * 1_000)
}

impl Planned {
    fn new(servers: usize, deployment: &sequence::Deployment) -> Self {
        let mut planner = planner::Planner::new(config::Config::default());
        let weights: service::Weights = deployment.weights;
        planner.service_changed(SERVICE, &weights);
        let table = table::Table::with_slices(servers as u32 * 8);
        planner.table_loaded(instant(0), SERVICE, &table);
        Self {
            planner,
            table,
            slots: deployment.slots,
            epoch: 0,
            lost_servers: Vec::new(),
            running: std::collections::VecDeque::new(),
        }
    }

    fn announce(&mut self, world: &world::World, index: usize, state: server::State) {
        let server = &world.servers[index];
        self.planner.server_changed(&server::Server {
            id: id::Server(index as u32),
            incarnation: id::Incarnation(server.incarnation),
            services: &[SERVICE],
            failure_domain: ["a", "b", "c"][server.domain],
            slots: self.slots,
            state,
            health: server::Health::GOOD,
        });
    }

    fn remove_server(&mut self, now: u64, index: usize) {
        self.planner.server_removed(id::Server(index as u32));
        let slices: Vec<_> = self.table.slices().to_vec();
        for slice in slices {
            let is_on_server = |holder: table::Holder| holder.server.0 as usize == index;
            if slice.holder.is_some_and(is_on_server) {
                self.table.set_holder(slice.start, None);
                self.report_slice(now, slice.start);
            }
        }
    }

    fn report_slice(&mut self, now: u64, start: sequoiayoke_model::key::Hash) {
        if let Some(slice) = self.table.get(start) {
            self.planner.slice_changed(instant(now), SERVICE, slice);
        }
    }

    fn execute(&mut self, world: &mut world::World, now: u64, action: &action::Action) {
        let position = action.position();
        let (to, unavailable_ms) = match action {
            action::Action::Split { .. } => {
                if self.table.split(position).is_ok() {
                    self.report_slice(now, position);
                }
                return;
            }
            action::Action::Merge { .. } => {
                if self.table.merge(position).is_ok() {
                    self.planner.slice_merged(SERVICE, position);
                }
                return;
            }
            action::Action::Assign { to, .. } => (*to, 0),
            action::Action::Move { to, .. } => (*to, MOVE_MS),
        };
        let index = to.server.0 as usize;
        let is_same_incarnation = world.servers[index].incarnation == to.incarnation.0;
        let expected = match action {
            action::Action::Move { from, .. } => Some(*from),
            _ => None,
        };
        let current = self.table.get(position).map(|slice| slice.holder);
        if current != Some(expected) || !is_same_incarnation || !world.servers[index].is_up {
            self.planner.action_failed(instant(now), action);
            return;
        }
        self.epoch += 1;
        let holder = table::Holder {
            server: to.server,
            incarnation: to.incarnation,
            epoch: id::Epoch(self.epoch),
        };
        self.table.set_holder(position, Some(holder));
        self.report_slice(now, position);
        let (_, range) = self.table.find(position);
        for key in world.keys_in(range) {
            world.place(key, index, now, unavailable_ms);
        }
    }

    fn report_loads(&mut self, world: &world::World) {
        let slices: Vec<_> = self.table.iter().map(|(_, range)| range).collect();
        for range in slices {
            let mut keys: Vec<_> = world
                .keys_in(range)
                .map(|key| load::Key {
                    hash: world.keys[key].hash,
                    rate: (world.keys[key].reported_rate * 1_000.0) as u64,
                })
                .collect();
            let rate = keys.iter().map(|key| key.rate).sum();
            keys.sort_by_key(|key| std::cmp::Reverse(key.rate));
            keys.truncate(load::MAX_KEYS);
            let load = load::Load { rate, keys: &keys };
            self.planner.load_changed(SERVICE, range.first, &load);
        }
    }
}

impl Policy for Planned {
    fn event(&mut self, world: &mut world::World, now: u64, event: &sequence::Event) {
        match event {
            sequence::Event::Lost(server) => self.lost_servers.push((now + LEASE_MS, *server)),
            sequence::Event::Drain(server) => {
                self.announce(world, *server, server::State::Draining);
            }
            sequence::Event::Stop(server) => self.remove_server(now, *server),
            sequence::Event::Rejoin(server) => {
                let since = instant(now);
                self.announce(world, *server, server::State::Joining { since });
            }
        }
    }

    fn step(&mut self, world: &mut world::World, now: u64) {
        if now == 0 {
            for server in 0..world.servers.len() {
                self.announce(world, server, server::State::Serving);
            }
        }
        for (due, server) in std::mem::take(&mut self.lost_servers) {
            if due <= now {
                self.remove_server(now, server);
            } else {
                self.lost_servers.push((due, server));
            }
        }
        while self.running.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, action)) = self.running.pop_front() {
                self.execute(world, now, &action);
            }
        }
        if now.is_multiple_of(world::REPORT_MS) {
            self.report_loads(world);
        }
        for action in self.planner.plan(instant(now)) {
            self.running.push_back((now + COMMIT_MS, action));
        }
    }
}

fn replay<P>(
    mut policy: P,
    mut world: world::World,
    sequence: &sequence::Sequence,
) -> world::Measures
where
    P: Policy,
{
    let mut events = sequence.events.iter().peekable();
    for now in (0..sequence.end).step_by(world::STEP_MS as usize) {
        while let Some((_, event)) = events.next_if(|(due, _)| *due <= now) {
            world.apply_event(now, event);
            policy.event(&mut world, now, event);
        }
        world.update_rates(now, sequence);
        policy.step(&mut world, now);
        world.sample(now);
    }
    world.finish(sequence.end)
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed: u64 = seed.unwrap_or(1);
    println!(
        "seed {seed}; lease {LEASE_MS} ms, commit and delivery {COMMIT_MS} ms, move {MOVE_MS} ms"
    );
    println!(
        "{:<12} {:<16} {:<9} {:>9} {:>9} {:>9} {:>12}",
        "deployment", "sequence", "placement", "imbalance", "p99", "churn", "unavailable"
    );
    for deployment in sequence::DEPLOYMENTS {
        for kind in sequence::KINDS {
            let mut totals = [world::Measures::default(); 3];
            for (number, servers) in deployment.servers.into_iter().enumerate() {
                let sequence = sequence::Sequence::new(kind, servers);
                let new_world = || world::World::new(seed + number as u64, servers, kind);
                let planned = Planned::new(servers, &deployment);
                totals[0].add(&replay(planned, new_world(), &sequence));
                totals[1].add(&replay(Modulo::default(), new_world(), &sequence));
                totals[2].add(&replay(Static, new_world(), &sequence));
            }
            for (name, total) in ["planner", "modulo", "static"].iter().zip(totals) {
                total.print(deployment.name, kind.name(), name);
            }
        }
    }
}
