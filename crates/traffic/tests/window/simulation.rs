//! A simulation of a log of grants, nodes that apply it late, and callers that retry.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng, rngs};
use sequoiayoke_model::outcome::{Outcome, Reason};
use sequoiayoke_model::table::Holder;
use sequoiayoke_model::{id, key, range, request, table};
use sequoiayoke_traffic::window::{Answer, End, Export, Limits, Verdict, Window};

const NODES: u32 = 3;
const LIMITS: Limits = Limits {
    entries: 4,
    answer_bytes: 20,
};

/// How often the simulation reached each situation.
pub(crate) type Reached = BTreeMap<&'static str, u64>;

#[derive(Clone)]
enum Entry {
    Assign(key::Hash, Holder, Option<Export>),
    Leave(id::Server, id::Incarnation),
    Split(key::Hash),
    Merge(key::Hash),
}

#[derive(Default)]
struct Node {
    table: table::Table,
    applied: usize,
    windows: BTreeMap<key::Hash, Window>,
    incarnation: id::Incarnation,
    lease: bool,
    skew: u64,
}

impl Node {
    /// Applies the next entry of the log and returns the situation that it led to.
    fn apply(&mut self, index: usize, entry: Entry) -> &'static str {
        self.applied += 1;
        apply_to_table(&mut self.table, &entry);
        match entry {
            Entry::Assign(start, holder, export) if self.is_holder(index, &holder) => {
                let moved = export.map(|export| Window::import(export, holder.epoch, LIMITS));
                let situation = if moved.is_some() { "import" } else { "grant" };
                let window = moved.unwrap_or_else(|| Ok(Window::new(holder.epoch, LIMITS)));
                self.windows.insert(start, window.expect("a later grant"));
                return situation;
            }
            Entry::Split(at) => {
                let before = self.table.find(key::Hash(at.0 - 1)).1.first;
                if let Some(window) = self.windows.get_mut(&before) {
                    let upper = window.split(at);
                    self.windows.insert(at, upper);
                    return "split";
                }
            }
            Entry::Merge(at) => {
                let start = self.table.find(at).1.first;
                let neighbours = (self.windows.remove(&start), self.windows.remove(&at));
                if let (Some(mut lower), Some(upper)) = neighbours {
                    lower.merge(upper);
                    self.windows.insert(start, lower);
                    return "merge";
                }
            }
            _ => {}
        }
        "change elsewhere"
    }

    fn is_holder(&self, index: usize, holder: &Holder) -> bool {
        (holder.server.0 as usize, holder.incarnation) == (index, self.incarnation)
    }
}

/// An attempt that was dispatched to a backend server.
struct Dispatch {
    id: request::Id,
    attempt: usize,
    server: u32,
    incarnation: id::Incarnation,
    executed: bool,
    reported: bool,
}

/// The outcome reported for an attempt, and whether it ran.
#[derive(Default)]
struct Attempt {
    outcome: Option<Outcome>,
    ran: bool,
}

impl Attempt {
    fn check(&self, seed: u64, id: request::Id) {
        let not_run = matches!(self.outcome, Some(Outcome::NotRun(_)));
        let is_false = self.ran && not_run;
        assert!(
            !is_false,
            "seed {seed}: {id} ran, but got {:?}",
            self.outcome
        );
    }
}

pub(crate) struct Simulation {
    seed: u64,
    random: rngs::SmallRng,
    clock: u64,
    table: table::Table,
    log: Vec<Entry>,
    nodes: Vec<Node>,
    released: VecDeque<(range::Range, Holder, Export)>,
    ids: Vec<(request::Id, key::Hash)>,
    attempts: Vec<Attempt>,
    dispatches: Vec<Dispatch>,
    runs: BTreeMap<request::Id, u32>,
    pub(crate) reached: Reached,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|_| Node {
            lease: true,
            skew: random.random_range(0..20),
            ..Node::default()
        });
        Self {
            nodes: nodes.collect(),
            seed,
            random,
            clock: 100,
            table: table::Table::new(),
            log: Vec::new(),
            released: VecDeque::new(),
            ids: Vec::new(),
            attempts: Vec::new(),
            dispatches: Vec::new(),
            runs: BTreeMap::new(),
            reached: Reached::new(),
        }
    }

    pub(crate) fn step(&mut self) {
        self.clock += self.random.random_range(0..3);
        match self.random.random_range(0..100) {
            0..14 => self.issue(),
            14..44 => self.send(),
            44..66 => self.advance_dispatch(),
            66..84 => self.apply_some(),
            84..90 => self.release(),
            90..94 => self.assign(),
            94 => {
                let node = self.random_node();
                self.end_lease(node);
                if self.random.random_bool(0.5) {
                    self.restart(node);
                }
            }
            95..97 => self.split(),
            _ => self.merge(),
        }
    }

    /// Runs everything in flight, then checks that a new id is dispatched by its owner.
    pub(crate) fn run_to_completion(&mut self) {
        for index in 0..self.dispatches.len() {
            self.execute(index);
        }
        for node in 0..NODES {
            self.end_lease(node as usize);
            self.restart(node as usize);
        }
        while self.table.slices().iter().any(|s| s.holder.is_none()) {
            self.assign();
        }
        for node in 0..NODES as usize {
            while self.nodes[node].applied < self.log.len() {
                self.apply_next(node);
            }
        }
        self.dispatches.clear();
        self.clock += 1_000;
        self.issue();
        let (id, hash) = *self.ids.last().expect("all slices are granted");
        let owner = self.table.find(hash).0.holder.map(|h| h.server.0);
        self.send_to(self.ids.len() - 1, owner);
        assert_eq!(
            self.dispatches.len(),
            1,
            "seed {}: {id} is refused",
            self.seed
        );
    }

    fn random_hash(&mut self) -> key::Hash {
        key::Hash(self.random.random_range(0..8_u64) << 61)
    }

    fn random_node(&mut self) -> usize {
        self.random.random_range(0..NODES as usize)
    }

    fn issue(&mut self) {
        let (hash, node) = (self.random_hash(), self.random_node());
        let (slice, _) = self.nodes[node].table.find(hash);
        if let Some(holder) = slice.holder {
            let issued = self.clock + self.nodes[node].skew;
            let id = request::Id::new(holder.epoch, issued, self.random.random());
            self.ids.push((id, hash));
        }
    }

    fn send(&mut self) {
        if self.ids.is_empty() {
            return;
        }
        // Mostly a recent id, sometimes an old one.
        let recent = self.ids.len().saturating_sub(6);
        let old = self.random.random_bool(0.2);
        let from = if old { 0 } else { recent };
        let index = self.random.random_range(from..self.ids.len());
        let entry = self.random_node();
        let holder = self.nodes[entry].table.find(self.ids[index].1).0.holder;
        // Some callers use an outdated owner.
        let server = match self.random.random_bool(0.2) {
            true => Some(self.random_node() as u32),
            false => holder.map(|holder| holder.server.0),
        };
        self.send_to(index, server);
    }

    fn send_to(&mut self, index: usize, server: Option<u32>) {
        let (id, hash) = self.ids[index];
        let attempt = self.attempts.len();
        self.attempts.push(Attempt::default());
        let outcome = match server {
            Some(server) => self.arrive(server, id, hash, attempt),
            None => Some(Outcome::NotRun(Reason::Vacant)),
        };
        self.attempts[attempt].outcome = outcome;
    }

    /// Handles a request at its owner; `None` if it was dispatched.
    fn arrive(
        &mut self,
        server: u32,
        id: request::Id,
        hash: key::Hash,
        attempt: usize,
    ) -> Option<Outcome> {
        let node = &mut self.nodes[server as usize];
        let (slice, range) = node.table.find(hash);
        let is_owner = slice
            .holder
            .is_some_and(|h| node.is_holder(server as usize, &h));
        let window = node.windows.get_mut(&range.first).filter(|_| is_owner);
        let Some(window) = window else {
            return Some(Outcome::NotRun(Reason::NotOwner));
        };
        let verdict = window.begin(id, hash);
        if let Verdict::Replay(answer) = &verdict {
            let expected = id.random().to_be_bytes();
            assert_eq!(
                answer.body, expected,
                "seed {}: answer of another id",
                self.seed
            );
        }
        let outcome = verdict.outcome();
        let situation = outcome.map_or("run", |outcome| {
            outcome.reason().map_or(outcome.as_str(), Reason::as_str)
        });
        *self.reached.entry(situation).or_default() += 1;
        if outcome.is_some() {
            return outcome;
        }
        if !node.lease {
            window.finish(id, End::NotRun);
            return Some(Outcome::NotRun(Reason::LeaseExpired));
        }
        self.dispatches.push(Dispatch {
            id,
            attempt,
            server,
            incarnation: node.incarnation,
            executed: false,
            reported: false,
        });
        None
    }

    fn advance_dispatch(&mut self) {
        if self.dispatches.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.dispatches.len());
        let dispatch = &self.dispatches[index];
        match (self.random.random_range(0..6), dispatch.executed) {
            (0 | 1, false) => self.execute(index),
            (2, false) if !dispatch.reported => {
                let refused = Outcome::NotRun(Reason::RefusedByServer);
                self.report(index, refused, End::NotRun);
                self.dispatches.swap_remove(index);
            }
            (3, false) if dispatch.reported => {
                self.dispatches.swap_remove(index);
            }
            (4, _) if !dispatch.reported => {
                let reason = Reason::ConnectionLost;
                self.report(index, Outcome::Unknown(reason), End::Unknown(reason));
            }
            (0..4, true) => {
                let answer = Answer {
                    status: 200,
                    headers: Vec::new(),
                    body: dispatch.id.random().to_be_bytes().to_vec(),
                };
                self.report(index, Outcome::Answered(200), End::Answered(Some(answer)));
                self.dispatches.swap_remove(index);
            }
            _ => {}
        }
    }

    fn execute(&mut self, index: usize) {
        let dispatch = &mut self.dispatches[index];
        if std::mem::replace(&mut dispatch.executed, true) {
            return;
        }
        let late = dispatch.reported;
        let (seed, id) = (self.seed, dispatch.id);
        let attempt = &mut self.attempts[dispatch.attempt];
        attempt.ran = true;
        attempt.check(seed, id);
        let runs = self.runs.entry(id).or_default();
        *runs += 1;
        assert!(*runs <= 1, "seed {seed}: {id} ran {runs} times");
        if late {
            self.count_situation("late run");
        }
    }

    fn count_situation(&mut self, situation: &'static str) {
        *self.reached.entry(situation).or_default() += 1;
    }

    fn report(&mut self, index: usize, outcome: Outcome, end: End) {
        let dispatch = &mut self.dispatches[index];
        let node = &mut self.nodes[dispatch.server as usize];
        if node.incarnation == dispatch.incarnation {
            // A split or merge may have moved the id to another window.
            for window in node.windows.values_mut() {
                window.finish(dispatch.id, end.clone());
            }
        }
        if !dispatch.reported {
            dispatch.reported = true;
            let attempt = &mut self.attempts[dispatch.attempt];
            attempt.outcome = Some(outcome);
            attempt.check(self.seed, dispatch.id);
        }
    }

    fn apply_some(&mut self) {
        let node = self.random_node();
        for _ in 0..self.random.random_range(1..4) {
            if self.nodes[node].applied < self.log.len() {
                self.apply_next(node);
            }
        }
    }

    fn apply_next(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let situation = node.apply(index, self.log[node.applied].clone());
        self.count_situation(situation);
    }

    fn commit(&mut self, entry: Entry) {
        apply_to_table(&mut self.table, &entry);
        self.log.push(entry);
    }

    fn release(&mut self) {
        let index = self.random_node();
        let hash = self.random_hash();
        let node = &mut self.nodes[index];
        let start = node.table.find(hash).1.first;
        let (slice, range) = node.table.find(start);
        let holder = slice.holder.filter(|holder| node.is_holder(index, holder));
        if let (Some(window), Some(holder)) = (node.windows.remove(&start), holder) {
            self.released.push_back((range, holder, window.export()));
        }
    }

    /// Grants a released or a vacant slice.
    fn assign(&mut self) {
        let target = self.random_node();
        let holder = Holder {
            server: id::Server(target as u32),
            incarnation: self.nodes[target].incarnation,
            epoch: id::Epoch(self.log.len() as u64 + 1),
        };
        if !self.nodes[target].lease {
            self.restart(target);
        } else if let Some((range, old, export)) = self.released.pop_front() {
            let (slice, present) = self.table.find(range.first);
            if present == range && slice.holder == Some(old) {
                self.commit(Entry::Assign(range.first, holder, Some(export)));
            }
        } else {
            let hash = self.random_hash();
            let (slice, range) = self.table.find(hash);
            if self.has_released(slice.holder, range) {
                self.commit(Entry::Assign(range.first, holder, None));
            }
        }
    }

    /// Returns whether the holder serves no part of the slice any more.
    fn has_released(&self, holder: Option<Holder>, range: range::Range) -> bool {
        holder.is_none_or(|holder| {
            let node = &self.nodes[holder.server.0 as usize];
            let start = node.table.find(range.first).1.first;
            let windows = node.windows.range(start..=range.last).next().is_some();
            node.applied == self.log.len() && !windows
        })
    }

    /// Ends a lease, as if the node was killed, or suspended until later.
    fn end_lease(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.nodes[index].lease = false;
        self.commit(Entry::Leave(id::Server(index as u32), incarnation));
        self.count_situation("loss");
    }

    fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.windows.clear();
        node.incarnation = id::Incarnation(node.incarnation.0 + 1);
        node.lease = true;
        // A wall clock may be set back while the node is down.
        node.skew = self.random.random_range(0..20);
        let lost = self.dispatches.iter_mut();
        for dispatch in lost.filter(|f| f.server == index as u32 && !f.reported) {
            dispatch.reported = true;
            let reason = Reason::ConnectionLost;
            self.attempts[dispatch.attempt].outcome = Some(Outcome::Unknown(reason));
        }
    }

    fn split(&mut self) {
        let at = self.random_hash();
        if self.table.get(at).is_none() {
            self.commit(Entry::Split(at));
        }
    }

    fn merge(&mut self) {
        let at = self.random_hash();
        if self.table.clone().merge(at).is_ok() {
            self.commit(Entry::Merge(at));
        }
    }
}

fn apply_to_table(table: &mut table::Table, entry: &Entry) {
    match entry {
        Entry::Assign(start, holder, _) => {
            table.set_holder(*start, Some(*holder));
        }
        Entry::Leave(server, incarnation) => {
            let is_removed =
                |holder: &Holder| holder.server == *server && holder.incarnation == *incarnation;
            let slices = table.slices().iter();
            let vacated = slices.filter(|slice| slice.holder.as_ref().is_some_and(is_removed));
            let starts: Vec<key::Hash> = vacated.map(|slice| slice.start).collect();
            for start in starts {
                table.set_holder(start, None);
            }
        }
        Entry::Split(at) => table
            .split(*at)
            .expect("the change was checked before it was committed"),
        Entry::Merge(at) => table
            .merge(*at)
            .expect("the change was checked before it was committed"),
    }
}
