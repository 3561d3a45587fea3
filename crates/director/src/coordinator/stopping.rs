//! The end of a replica.
//!
//! A replica that stops takes no new orders, answers those that wait for their commit, transfers its
//! leadership, tells the other replicas that it stops and sends the nodes to the new leader. It then still answers calls and takes part in
//! the log as a follower until the traffic thread has closed the connections.

use std::time::Duration;

use sequoiayoke_consensus::{effect, event as log};
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::{Coordinator, send, send_answer};
use crate::operator;

/// Longest time in which a replica answers pending orders and learns its successor. An order waits
/// for 0.9 s, and a transfer of the leadership is abandoned after 1 s.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(1);

/// Stage of the life of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It takes part in the group and may lead.
    Running,
    /// It gives up its leadership, until this time at the latest.
    Resigning(clock::Instant),
    /// It has no leadership, no sessions and no pending orders.
    Resigned,
}

impl Stage {
    /// Returns when the stage ends at the latest.
    pub(super) const fn deadline(self) -> Option<clock::Instant> {
        match self {
            Self::Resigning(until) => Some(until),
            Self::Running | Self::Resigned => None,
        }
    }
}

impl Coordinator {
    /// Begins to stop.
    pub(super) fn stop(&mut self) {
        if self.leader.is_some() {
            tracing::info!("transferring leadership");
            self.stage = Stage::Resigning(clock::Instant::now() + RESIGN_TIMEOUT);
        } else {
            self.resign();
        }
    }

    /// Returns whether the timers of the log run. A follower that stops starts no election.
    pub(super) fn has_timers(&self) -> bool {
        let role = self.driver.replica().role();
        self.stage == Stage::Running || role.kind == effect::Kind::Leader
    }

    /// Transfers the leadership, unless that is in progress, if this replica stops and leads.
    pub(super) fn transfer_leadership(&mut self, now: clock::Instant) {
        if self.stage != Stage::Running && self.driver.replica().is_authoritative(now) {
            self.driver.step(now, log::Event::Transfer);
        }
    }

    /// Resigns once the pending orders are answered and the successor is known, or the time is over.
    pub(super) fn check_resignation(&mut self, now: clock::Instant) {
        let Stage::Resigning(until) = self.stage else {
            return;
        };
        let replica = self.driver.replica();
        let is_alone = replica.members().voters().all(|id| id == replica.id());
        let is_done =
            self.pending_orders.is_empty() && (is_alone || self.other_leader_address().is_some());
        if is_done || now >= until {
            self.resign();
        }
    }

    fn resign(&mut self) {
        let successor = self.other_leader_address();
        let (nodes, orders) = (self.node_queues.len(), self.pending_orders.len());
        tracing::info!(?successor, nodes, orders, "gave up leadership and sessions");
        self.stage = Stage::Resigned;
        self.announce();
        self.leader = None;
        self.give_up_orders();
        let redirect = session::FromControl::Redirect(self.to_session_address(successor));
        for queue in self.node_queues.values() {
            send(queue, &redirect);
        }
        self.close_sessions();
    }

    /// Answers all pending orders. They may still be committed, so their outcome is unknown.
    pub(super) fn give_up_orders(&mut self) {
        for order in self.pending_orders.take_all() {
            send_answer(order.reply, operator::Answer::Unavailable);
        }
    }

    /// Closes the sessions, so that the nodes connect to the new leader.
    pub(super) fn close_sessions(&mut self) {
        // A session ends when its queue is dropped, after the queued messages are sent.
        self.node_queues.clear();
    }
}
