//! All servers, with the load that is counted on each.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::cause;
use crate::config;
use crate::planner::book;
use crate::planner::ledger;
use crate::planner::pool;
use crate::server;

/// Speed in thousandths below which a server counts as stalled: it would take
/// more than ten times as long as the others.
const STALLED: u32 = 100;

/// Steps in which a cold server reaches its full share; few, since each one
/// changes the order of the servers.
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
    ill_since: Option<clock::Instant>,
}

#[derive(Debug, Default)]
struct Entry {
    info: Option<Info>,
    parts: collections::BTreeMap<id::Service, book::Part>,
    slices: collections::BTreeSet<ledger::Place>,
    /// Services in whose pools the server has a vote.
    voted: Vec<id::Service>,
    // Invariant: exactly what the pools hold for this server.
    placed: Vec<(id::Service, pool::Domain, pool::Stand)>,
}

/// Where a slice goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) target: action::Target,
    /// Stand of the target before the slice comes.
    pub(super) stand: pool::Stand,
}

/// The servers and the pools that they form.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    servers: collections::BTreeMap<id::Server, Entry>,
    pools: collections::BTreeMap<id::Service, pool::Pool>,
    domains: collections::BTreeMap<String, pool::Domain>,
    /// Servers whose vote in the pools is out of date.
    unheard: collections::BTreeSet<id::Server>,
    /// Servers whose place in the pools is out of date.
    dirty: collections::BTreeSet<id::Server>,
    /// When a server changes by the mere passing of time.
    wakes: collections::BTreeSet<(clock::Instant, id::Server)>,
    /// Servers with slices that some pool no longer gives them.
    leaving: collections::BTreeSet<id::Server>,
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
        let ill_since = entry.info.as_ref().and_then(|info| info.ill_since);
        entry.info = Some(Info {
            incarnation: server.incarnation,
            services: server.services.to_vec(),
            domain,
            slots: server.slots,
            state: server.state,
            health: server.health,
            ill_since: ill_since.filter(|_| !server.health.reported),
        });
        self.unheard.insert(server.id);
        self.dirty.insert(server.id);
    }

    pub(super) fn remove(&mut self, server: id::Server) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.info = None;
            self.unheard.insert(server);
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

    /// Sets the load of all idle keys of a service, if it changed by more
    /// than a factor of two; each change touches all servers of the service.
    pub(super) fn set_base(&mut self, service: id::Service, base: u64) {
        let pool = self.pools.entry(service).or_default();
        if pool.base / 2 < base && base / 2 < pool.base {
            return;
        }
        pool.base = base;
        let servers = self.servers.iter();
        let holders = servers.filter(|(_, entry)| entry.parts.contains_key(&service));
        self.dirty.extend(holders.map(|(server, _)| *server));
    }

    pub(super) fn count(&mut self, server: id::Server, place: ledger::Place, part: book::Part) {
        let entry = self.servers.entry(server).or_default();
        entry.slices.insert(place);
        entry.parts.entry(place.0).or_default().add(part);
        self.dirty.insert(server);
    }

    pub(super) fn discount(&mut self, server: id::Server, place: ledger::Place, part: book::Part) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.slices.remove(&place);
            if let Some(sum) = entry.parts.get_mut(&place.0) {
                sum.subtract(part);
            }
            self.dirty.insert(server);
        }
    }

    /// Returns the slices of a service that are counted on the server.
    pub(super) fn slices(
        &self,
        server: id::Server,
        service: id::Service,
    ) -> impl Iterator<Item = ledger::Place> {
        let first = (service, key::Hash::MIN);
        let last = (service, key::Hash::MAX);
        let entry = self.servers.get(&server).into_iter();
        entry.flat_map(move |entry| entry.slices.range(first..=last).copied())
    }

    /// Returns all slices that are counted on the server.
    pub(super) fn all_slices(&self, server: id::Server) -> impl Iterator<Item = ledger::Place> {
        let entry = self.servers.get(&server).into_iter();
        entry.flat_map(|entry| entry.slices.iter().copied())
    }

    pub(super) fn stand(&self, server: id::Server, service: id::Service) -> Option<pool::Stand> {
        let entry = self.servers.get(&server)?;
        let placed = entry.placed.iter();
        let mut found = placed.filter(|(other, _, _)| *other == service);
        found.next().map(|(_, _, stand)| *stand)
    }

    pub(super) fn leaving(&self) -> impl Iterator<Item = id::Server> {
        self.leaving.iter().copied()
    }

    pub(super) fn next_wake(&self) -> Option<clock::Instant> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Returns why the server's slices of a service are to be moved away.
    pub(super) fn reason_to_leave(
        &self,
        now: clock::Instant,
        config: &config::Config,
        server: id::Server,
        service: id::Service,
    ) -> Option<cause::Cause> {
        let info = self.servers.get(&server)?.info.as_ref()?;
        if self.stand(server, service).is_some() {
            return None;
        }
        if info.state == server::State::Draining || !info.services.contains(&service) {
            return Some(cause::Cause::Draining);
        }
        if info.health.speed < STALLED {
            return Some(cause::Cause::Stalled);
        }
        let is_late = |since: clock::Instant| now >= since + config.unhealthy_time;
        info.ill_since
            .is_some_and(is_late)
            .then_some(cause::Cause::Unhealthy)
    }

    /// Returns the best server for a slice of this weight, other than `except`.
    pub(super) fn choose(
        &self,
        service: id::Service,
        weight: u64,
        except: Option<id::Server>,
    ) -> Option<Choice> {
        let pool = self.pools.get(&service)?;
        let candidates = pool.candidates();
        let others = candidates.filter(|(_, server)| Some(*server) != except);
        let ranked = others.filter_map(|(domain, server)| {
            let stand = self.stand(server, service)?;
            let after = stand.with(weight).score();
            Some((pool.step(after), domain, after, server, stand))
        });
        let best =
            ranked.min_by_key(|(step, domain, after, server, _)| (*step, *domain, *after, *server));
        let (_, _, _, server, stand) = best?;
        self.target(server).map(|target| Choice { target, stand })
    }

    /// Returns a certain server as a choice, if it may receive slices.
    pub(super) fn chosen(&self, server: id::Server, service: id::Service) -> Option<Choice> {
        let stand = self.stand(server, service)?;
        self.target(server).map(|target| Choice { target, stand })
    }

    fn target(&self, server: id::Server) -> Option<action::Target> {
        let incarnation = self.incarnation(server)?;
        Some(action::Target {
            server,
            incarnation,
        })
    }

    /// Brings the pools up to date with everything that changed.
    pub(super) fn refresh(&mut self, now: clock::Instant, config: &config::Config) {
        while let Some((at, server)) = self.wakes.first().copied() {
            if now < at {
                break;
            }
            self.wakes.pop_first();
            self.dirty.insert(server);
        }
        while let Some(server) = self.unheard.pop_first() {
            self.vote(now, config, server);
        }
        while let Some(server) = self.dirty.pop_first() {
            self.place(now, config, server);
        }
    }

    /// Counts what the server says about the pools that it belongs to; if a
    /// pool changes what it trusts, all its members are placed anew.
    fn vote(&mut self, now: clock::Instant, config: &config::Config, server: id::Server) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        let mut services = std::mem::take(&mut entry.voted);
        let mut vote = None;
        if let Some(info) = entry.info.as_mut() {
            if !info.health.reported && info.ill_since.is_none() {
                info.ill_since = Some(now);
                self.wakes.insert((now + config.unhealthy_time, server));
            }
            entry.voted.extend(&info.services);
            services.extend(&info.services);
            let answers = info.health.speed >= STALLED;
            vote = (info.state != server::State::Draining).then_some(pool::Vote {
                answers,
                healthy: answers && info.health.reported,
            });
        }
        services.sort_unstable();
        services.dedup();
        for service in services {
            let offers = entry.info.as_ref();
            let offers = offers.is_some_and(|info| info.services.contains(&service));
            let pool = self.pools.entry(service).or_default();
            let before = pool.trust();
            pool.set_vote(server, vote.filter(|_| offers));
            if pool.trust() != before {
                self.dirty.extend(pool.members());
            }
        }
    }

    fn place(&mut self, now: clock::Instant, config: &config::Config, server: id::Server) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        for (service, domain, stand) in entry.placed.drain(..) {
            self.pools
                .entry(service)
                .or_default()
                .remove(domain, server, stand);
        }
        let slices = &entry.slices;
        entry.parts.retain(|service, _| {
            let all = (*service, key::Hash::MIN)..=(*service, key::Hash::MAX);
            slices.range(all).next().is_some()
        });
        let Some(info) = entry.info.as_ref() else {
            self.leaving.remove(&server);
            if entry.slices.is_empty() {
                self.servers.remove(&server);
            }
            return;
        };
        let base = |pools: &collections::BTreeMap<id::Service, pool::Pool>, service| {
            pools.get(service).map_or(0, |pool| pool.base)
        };
        let loads = entry.parts.iter();
        let total: u64 = loads
            .map(|(service, part)| part.load(base(&self.pools, service)))
            .sum();
        let (capacity, wake) = capacity(now, config, info);
        self.wakes.extend(wake.map(|at| (at, server)));
        for service in &info.services {
            let pool = self.pools.entry(*service).or_default();
            if is_ready(info, pool.trust()) {
                let own = entry.parts.get(service).copied().unwrap_or_default();
                let load = total + own.load(pool.base);
                let stand = pool::Stand { load, capacity };
                pool.insert(info.domain, server, stand);
                entry.placed.push((*service, info.domain, stand));
            }
        }
        let placed = &entry.placed;
        let is_given = |service| placed.iter().any(|(other, _, _)| other == service);
        if entry.parts.keys().all(is_given) {
            self.leaving.remove(&server);
        } else {
            self.leaving.insert(server);
        }
    }
}

fn is_ready(info: &Info, trust: pool::Trust) -> bool {
    let answers = info.health.speed >= STALLED || trust == pool::Trust::Nothing;
    let healthy = info.health.reported || trust != pool::Trust::Full;
    info.state != server::State::Draining && answers && healthy
}

/// Returns the capacity and when it grows next.
fn capacity(
    now: clock::Instant,
    config: &config::Config,
    info: &Info,
) -> (u64, Option<clock::Instant>) {
    let speed = info.health.speed.clamp(STALLED, 1_000);
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
