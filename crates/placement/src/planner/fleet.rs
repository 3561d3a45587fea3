//! All servers, with the load attributed to each.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::cause;
use crate::config;
use crate::planner::pending;
use crate::planner::pool;
use crate::planner::slices;
use crate::server;

/// Speed in thousandths below which a server counts as stalled: it takes more
/// than ten times as long as the others.
const STALLED_SPEED: u32 = 100;

/// Steps in which a cold server reaches its full capacity. Each step changes
/// the order of the servers in the pools, so there are only a few.
const RAMP_STEPS: u64 = 8;

/// Observed speeds are rounded to this many thousandths, so that noise does
/// not change the order of the servers.
const SPEED_STEP: u32 = 50;

#[derive(Debug)]
struct Info {
    incarnation: id::Incarnation,
    services: Vec<id::Service>,
    domain: pool::Domain,
    slots: u32,
    state: server::State,
    health: server::Health,
    unhealthy_since: Option<clock::Instant>,
}

#[derive(Debug, Default)]
struct Entry {
    info: Option<Info>,
    demands: collections::BTreeMap<id::Service, slices::Demand>,
    slices: collections::BTreeSet<pending::Place>,
    /// Services whose pools count the server as a member.
    member_of: Vec<id::Service>,
    // Invariant: exactly the entries of the pools for this server.
    pool_entries: Vec<(id::Service, pool::Domain, pool::Utilization)>,
}

/// The target chosen for a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) target: action::Target,
    /// Utilization of the target without the slice.
    pub(super) utilization: pool::Utilization,
}

/// The servers, and one pool of servers for each service.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    servers: collections::BTreeMap<id::Server, Entry>,
    pools: collections::BTreeMap<id::Service, pool::Pool>,
    domains: collections::BTreeMap<String, pool::Domain>,
    /// Servers whose membership in the pools is out of date.
    stale_members: collections::BTreeSet<id::Server>,
    /// Servers whose entries in the ordered pools are out of date.
    dirty: collections::BTreeSet<id::Server>,
    /// When the capacity or the health of a server changes without a report.
    timers: collections::BTreeSet<(clock::Instant, id::Server)>,
    /// Servers with slices of a service whose pool no longer contains them.
    evacuating: collections::BTreeSet<id::Server>,
}

impl Fleet {
    pub(super) fn set(&mut self, server: &server::Server<'_>) {
        let next = self.domains.len() as pool::Domain;
        let name = server.failure_domain;
        let domain = match self.domains.get(name) {
            Some(domain) => *domain,
            None => *self.domains.entry(name.to_owned()).or_insert(next),
        };
        let entry = self.servers.entry(server.id).or_default();
        let unhealthy_since = entry.info.as_ref().and_then(|info| info.unhealthy_since);
        entry.info = Some(Info {
            incarnation: server.incarnation,
            services: server.services.to_vec(),
            domain,
            slots: server.slots,
            state: server.state,
            health: server.health,
            unhealthy_since: unhealthy_since.filter(|_| !server.health.reported),
        });
        self.stale_members.insert(server.id);
        self.dirty.insert(server.id);
    }

    pub(super) fn remove(&mut self, server: id::Server) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.info = None;
            self.stale_members.insert(server);
            self.dirty.insert(server);
        }
    }

    pub(super) fn incarnation(&self, server: id::Server) -> Option<id::Incarnation> {
        let info = self.servers.get(&server)?.info.as_ref()?;
        Some(info.incarnation)
    }

    pub(super) fn pool(&self, service: id::Service) -> Option<&pool::Pool> {
        self.pools.get(&service)
    }

    pub(super) fn pool_mut(&mut self, service: id::Service) -> &mut pool::Pool {
        self.pools.entry(service).or_default()
    }

    /// Sets the rate attributed to all idle keys of a service, if it changed by
    /// a factor of two or more. Each change updates all servers of the service.
    pub(super) fn set_idle_rate(&mut self, service: id::Service, idle_rate: u64) {
        let pool = self.pools.entry(service).or_default();
        if pool.idle_rate / 2 < idle_rate && idle_rate / 2 < pool.idle_rate {
            return;
        }
        pool.idle_rate = idle_rate;
        let servers = self.servers.iter();
        let holders = servers.filter(|(_, entry)| entry.demands.contains_key(&service));
        self.dirty.extend(holders.map(|(server, _)| *server));
    }

    pub(super) fn add_slice(
        &mut self,
        server: id::Server,
        place: pending::Place,
        demand: slices::Demand,
    ) {
        let entry = self.servers.entry(server).or_default();
        entry.slices.insert(place);
        entry.demands.entry(place.0).or_default().add(demand);
        self.dirty.insert(server);
    }

    pub(super) fn remove_slice(
        &mut self,
        server: id::Server,
        place: pending::Place,
        demand: slices::Demand,
    ) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.slices.remove(&place);
            if let Some(sum) = entry.demands.get_mut(&place.0) {
                sum.subtract(demand);
            }
            self.dirty.insert(server);
        }
    }

    /// Returns the slices of a service whose load is attributed to the server.
    pub(super) fn slices(
        &self,
        server: id::Server,
        service: id::Service,
    ) -> impl Iterator<Item = pending::Place> {
        let first = (service, key::Hash::MIN);
        let last = (service, key::Hash::MAX);
        let entry = self.servers.get(&server).into_iter();
        entry.flat_map(move |entry| entry.slices.range(first..=last).copied())
    }

    /// Returns all slices whose load is attributed to the server.
    pub(super) fn all_slices(&self, server: id::Server) -> impl Iterator<Item = pending::Place> {
        let entry = self.servers.get(&server).into_iter();
        entry.flat_map(|entry| entry.slices.iter().copied())
    }

    pub(super) fn utilization(
        &self,
        server: id::Server,
        service: id::Service,
    ) -> Option<pool::Utilization> {
        let entry = self.servers.get(&server)?;
        let pool_entries = entry.pool_entries.iter();
        let mut matching = pool_entries.filter(|(pooled, _, _)| *pooled == service);
        matching.next().map(|(_, _, utilization)| *utilization)
    }

    pub(super) fn evacuating(&self) -> impl Iterator<Item = id::Server> {
        self.evacuating.iter().copied()
    }

    pub(super) fn next_timer(&self) -> Option<clock::Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns why the server's slices of a service must be moved away, if they must.
    pub(super) fn evacuation_cause(
        &self,
        now: clock::Instant,
        config: &config::Config,
        server: id::Server,
        service: id::Service,
    ) -> Option<cause::Cause> {
        let info = self.servers.get(&server)?.info.as_ref()?;
        if self.utilization(server, service).is_some() {
            return None;
        }
        if info.state == server::State::Draining || !info.services.contains(&service) {
            return Some(cause::Cause::Draining);
        }
        if info.health.speed < STALLED_SPEED {
            return Some(cause::Cause::Stalled);
        }
        let is_overdue = |since: clock::Instant| now >= since + config.unhealthy_time;
        info.unhealthy_since
            .is_some_and(is_overdue)
            .then_some(cause::Cause::Unhealthy)
    }

    /// Returns the best server, other than `except`, for a slice with this load.
    pub(super) fn choose(
        &self,
        service: id::Service,
        slice_load: u64,
        except: Option<id::Server>,
    ) -> Option<Choice> {
        let pool = self.pools.get(&service)?;
        let candidates = pool.candidates();
        let eligible = candidates.filter(|(_, server)| Some(*server) != except);
        let ranked = eligible.filter_map(|(domain, server)| {
            let utilization = self.utilization(server, service)?;
            let after = utilization.with(slice_load).score();
            Some((pool.bucket(after), domain, after, server, utilization))
        });
        let best = ranked
            .min_by_key(|(bucket, domain, after, server, _)| (*bucket, *domain, *after, *server));
        let (_, _, _, server, utilization) = best?;
        self.target(server).map(|target| Choice {
            target,
            utilization,
        })
    }

    /// Returns the given server as the target, if it may receive slices.
    pub(super) fn choice_of(&self, server: id::Server, service: id::Service) -> Option<Choice> {
        let utilization = self.utilization(server, service)?;
        self.target(server).map(|target| Choice {
            target,
            utilization,
        })
    }

    fn target(&self, server: id::Server) -> Option<action::Target> {
        let incarnation = self.incarnation(server)?;
        Some(action::Target {
            server,
            incarnation,
        })
    }

    /// Updates the pools after changes of servers and the expiry of timers.
    pub(super) fn refresh(&mut self, now: clock::Instant, config: &config::Config) {
        while let Some((at, server)) = self.timers.first().copied() {
            if now < at {
                break;
            }
            self.timers.pop_first();
            self.dirty.insert(server);
        }
        while let Some(server) = self.stale_members.pop_first() {
            self.update_membership(now, config, server);
        }
        while let Some(server) = self.dirty.pop_first() {
            self.update_pool_entries(now, config, server);
        }
    }

    /// Updates the server's membership in the pools of its services; if the
    /// trust of a pool changes, the entries of all its members are updated.
    fn update_membership(
        &mut self,
        now: clock::Instant,
        config: &config::Config,
        server: id::Server,
    ) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        let mut services = std::mem::take(&mut entry.member_of);
        let mut member = None;
        if let Some(info) = entry.info.as_mut() {
            if !info.health.reported && info.unhealthy_since.is_none() {
                info.unhealthy_since = Some(now);
                self.timers.insert((now + config.unhealthy_time, server));
            }
            entry.member_of.extend(&info.services);
            services.extend(&info.services);
            let is_responsive = info.health.speed >= STALLED_SPEED;
            member = (info.state != server::State::Draining).then_some(pool::Member {
                is_responsive,
                is_healthy: is_responsive && info.health.reported,
            });
        }
        services.sort_unstable();
        services.dedup();
        for service in services {
            let info = entry.info.as_ref();
            let is_offered = info.is_some_and(|info| info.services.contains(&service));
            let pool = self.pools.entry(service).or_default();
            let before = pool.trust();
            pool.set_member(server, member.filter(|_| is_offered));
            if pool.trust() != before {
                self.dirty.extend(pool.members());
            }
        }
    }

    fn update_pool_entries(
        &mut self,
        now: clock::Instant,
        config: &config::Config,
        server: id::Server,
    ) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        for (service, domain, utilization) in entry.pool_entries.drain(..) {
            self.pools
                .entry(service)
                .or_default()
                .remove(domain, server, utilization);
        }
        let slices = &entry.slices;
        entry.demands.retain(|service, _| {
            let range = (*service, key::Hash::MIN)..=(*service, key::Hash::MAX);
            slices.range(range).next().is_some()
        });
        let Some(info) = entry.info.as_ref() else {
            self.evacuating.remove(&server);
            if entry.slices.is_empty() {
                self.servers.remove(&server);
            }
            return;
        };
        let idle_rate = |pools: &collections::BTreeMap<id::Service, pool::Pool>, service| {
            pools.get(service).map_or(0, |pool| pool.idle_rate)
        };
        let loads = entry.demands.iter();
        let total: u64 = loads
            .map(|(service, demand)| demand.load(idle_rate(&self.pools, service)))
            .sum();
        let (capacity, timer) = capacity(now, config, info);
        self.timers.extend(timer.map(|at| (at, server)));
        for service in &info.services {
            let pool = self.pools.entry(*service).or_default();
            if is_ready(info, pool.trust()) {
                let demand = entry.demands.get(service).copied().unwrap_or_default();
                let load = total + demand.load(pool.idle_rate);
                let utilization = pool::Utilization { load, capacity };
                pool.insert(info.domain, server, utilization);
                entry
                    .pool_entries
                    .push((*service, info.domain, utilization));
            }
        }
        let entries = &entry.pool_entries;
        let is_in_pool = |service| entries.iter().any(|(pooled, _, _)| pooled == service);
        if entry.demands.keys().all(is_in_pool) {
            self.evacuating.remove(&server);
        } else {
            self.evacuating.insert(server);
        }
    }
}

fn is_ready(info: &Info, trust: pool::Trust) -> bool {
    let is_responsive = info.health.speed >= STALLED_SPEED || trust == pool::Trust::Nothing;
    let is_healthy = info.health.reported || trust != pool::Trust::Full;
    info.state != server::State::Draining && is_responsive && is_healthy
}

/// Returns the capacity and the time of its next increase, if any.
fn capacity(
    now: clock::Instant,
    config: &config::Config,
    info: &Info,
) -> (u64, Option<clock::Instant>) {
    let speed = info.health.speed.clamp(STALLED_SPEED, 1_000);
    let speed = u64::from(speed.next_multiple_of(SPEED_STEP));
    let full = u64::from(info.slots.max(1)) * speed;
    let server::State::Joining { since } = info.state else {
        return (full * RAMP_STEPS, None);
    };
    let step_micros = (config.ramp.as_micros() as u64 / RAMP_STEPS).max(1);
    let steps = now.saturating_since(since).as_micros() as u64 / step_micros + 1;
    if steps >= RAMP_STEPS {
        return (full * RAMP_STEPS, None);
    }
    let next = clock::Instant::from_micros(since.as_micros() + steps * step_micros);
    (full * steps, Some(next))
}
