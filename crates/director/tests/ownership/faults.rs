//! Faults and planned work: restarts, cuts, new leaders and moves of keys.

use std::time::Duration;

use rand::RngExt;
use sequoiayoke_catalog::slice;
use sequoiayoke_director::coordinator::leader;
use sequoiayoke_link::session;

use super::{Message, SERVERS, World, announcement};
use crate::backend::Backend;

impl World {
    /// Restarts processes, cuts sessions and asks for releases.
    pub(super) fn disturb(&mut self) {
        let now = self.now;
        let number = self.random.random_range(0..SERVERS);
        if self.random.random_bool(0.004) {
            let state = self.new_state(number);
            let node = &mut self.nodes[number];
            node.state = state;
            node.run += 1;
            node.restarted_at = now;
            let run = node.run;
            self.trace(&("restart", number, run));
            let node = &mut self.nodes[number];
            if let Some(session) = node.session.take() {
                self.leader.node_down(session);
            }
        }
        if self.random.random_bool(0.004)
            && let Some(session) = self.nodes[number].session.take()
        {
            self.leader.node_down(session);
            let is_long = self.random.random_bool(0.2);
            let ms = self
                .random
                .random_range(if is_long { 3_000..9_000 } else { 0..300 });
            self.nodes[number].cut_until = now + Duration::from_millis(ms);
        }
        if self.random.random_bool(0.002) {
            self.restart_backend(number);
        }
        if self.random.random_bool(0.001) {
            self.leave(number);
        }
        let exits_at = self.nodes[number].backend.exits_at;
        if exits_at.is_some_and(|at| now >= at) {
            self.restart_backend(number);
        }
        if self.random.random_bool(0.001) {
            self.replace_leader();
        }
        if self.random.random_bool(0.02) {
            self.ask_for_release();
        }
    }

    /// Ends a backend server; the next run starts under its name.
    fn restart_backend(&mut self, number: usize) {
        let is_long = self.random.random_bool(0.3);
        let ms = self
            .random
            .random_range(if is_long { 500..4_000 } else { 10..300 });
        let started = self.now + Duration::from_millis(ms);
        let drift = self.nodes[number].backend.drift;
        self.nodes[number].backend = Backend::new(started.as_micros() / 1_000, drift, started);
    }

    /// Lets a backend server say that it leaves; it serves for some seconds more. Its last
    /// announcement may arrive after that.
    fn leave(&mut self, number: usize) {
        let now = self.now;
        let backend = &mut self.nodes[number].backend;
        if backend.is_leaving || !backend.is_up(now) {
            return;
        }
        let born_ms = backend.born_ms;
        let (sequence, report) = backend.report(now);
        backend.is_leaving = true;
        let linger = Duration::from_millis(self.random.random_range(2_000..10_000));
        self.nodes[number].backend.exits_at = Some(now + linger);
        let late = now + Duration::from_millis(self.random.random_range(0..5_000));
        let announced = announcement(number, born_ms);
        let message = Message::Announcement(number, announced, sequence, now, report);
        self.messages.push((late, message));
        self.send(Message::Leaving(number, born_ms));
    }

    /// Makes another replica the leader; entries that are not committed are committed or lost.
    fn replace_leader(&mut self) {
        self.trace(&"new leader");
        if self.random.random_bool(0.5) {
            self.log.clear();
        }
        for (at, _) in &mut self.log {
            *at = self.now;
        }
        self.commit();
        self.leader = leader::Leader::new(self.lease, &self.machine, self.now);
        // What is on its way was sent on closed sessions, whose keys the new leader uses again.
        self.messages
            .retain(|(_, message)| !matches!(message, Message::ToLeader(..) | Message::ToNode(..)));
        for node in &mut self.nodes {
            node.session = None;
        }
    }

    /// Asks the owner of a random range to release it, as the planner does.
    fn ask_for_release(&mut self) {
        let key = self.random.random();
        let slice = self.machine.tables()["status"].find(key).clone();
        let Some(owner) = slice.owner.and_then(|id| self.machine.servers().get(&id)) else {
            return;
        };
        let number = usize::from(owner.announcement.address.port()) - 1;
        let last = key.saturating_add(self.random.random_range(0..4_000));
        let range = slice::Range::new(key, last.min(slice.range.last));
        if let Some(session) = self.nodes[number].session {
            let release = session::FromControl::Release {
                service: "status".to_owned(),
                range,
                fence: slice.fence,
            };
            self.send(Message::ToNode(number, session, release));
        }
    }
}
