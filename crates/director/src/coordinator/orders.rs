//! Calls of operators.

use bytes::Bytes;
use sequoiayoke_catalog::machine;
use sequoiayoke_consensus::position;
use sequoiayoke_model::clock;
use tokio::sync::oneshot;

use super::{Coordinator, Order, answer_to};
use crate::operator;

impl Coordinator {
    pub(super) fn operator(
        &mut self,
        now: clock::Instant,
        call: operator::Call,
        reply: oneshot::Sender<operator::Answer>,
    ) {
        let leads = self.leader.is_some() && self.driver.replica().is_authoritative(now);
        let answer = match (leads, call) {
            (false, _) => match self.leader_address() {
                Some(leader) if leader != self.operator => operator::Answer::Redirect(leader),
                _ => operator::Answer::Unavailable,
            },
            (true, operator::Call::Read) => match self.driver.machine().order() {
                Some(order) => operator::Answer::Document(Bytes::copy_from_slice(&order.document)),
                None => operator::Answer::Unavailable,
            },
            (true, operator::Call::Configure(order)) => match self.driver.machine().check(&order) {
                Ok(()) => return self.configure(now, order, reply),
                Err(refusal) => operator::Answer::Refused(refusal),
            },
        };
        answer_to(reply, answer);
    }

    pub(super) fn configure(
        &mut self,
        now: clock::Instant,
        order: machine::Order,
        reply: oneshot::Sender<operator::Answer>,
    ) {
        let version = order.config.version.0;
        let command = machine::Command::Configure(order);
        match self.driver.propose(now, &command) {
            Some(position) => {
                tracing::info!(version, %position, "an order entered the log");
                let since = now;
                self.orders.push(Order {
                    position,
                    since,
                    reply,
                });
            }
            None => answer_to(reply, operator::Answer::Unavailable),
        }
    }

    pub(super) fn answer_order(&mut self, position: position::Position, output: &machine::Output) {
        let found = self
            .orders
            .iter()
            .position(|order| order.position.index == position.index);
        let Some(at) = found else {
            return;
        };
        let order = self.orders.swap_remove(at);
        let answer = match output {
            // Another leader's entry took the place of the order.
            _ if order.position != position => operator::Answer::Unavailable,
            machine::Output::Refused(refusal) => operator::Answer::Refused(refusal.clone()),
            _ => operator::Answer::Accepted,
        };
        self.outputs.measure.order(match answer {
            operator::Answer::Accepted => "accepted",
            operator::Answer::Refused(_) => "refused",
            _ => "unknown",
        });
        answer_to(order.reply, answer);
    }
}
