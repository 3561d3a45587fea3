//! Calls from operators on the control thread.

use bytes::Bytes;
use sequoiayoke_catalog::machine;
use sequoiayoke_consensus::position;
use sequoiayoke_model::clock;
use sequoiayoke_replication::driver;
use tokio::sync::oneshot;

use super::stopping::Stage;
use super::{Coordinator, send_answer};
use crate::operator;

impl Coordinator {
    /// Answers a call at once, or proposes its order and answers once that is committed.
    pub(super) fn handle_operator(
        &mut self,
        now: clock::Instant,
        call: operator::Call,
        reply: oneshot::Sender<operator::Answer>,
    ) {
        let is_leader = self.leader.is_some() && self.driver.replica().is_authoritative(now);
        let answer = match (is_leader, call) {
            (false, _) => match self.other_leader_address() {
                Some(leader) => operator::Answer::Redirect(leader),
                None => operator::Answer::Unavailable,
            },
            (true, operator::Call::Read) => match self.driver.machine().order() {
                Some(order) => operator::Answer::Document(Bytes::copy_from_slice(&order.document)),
                None => operator::Answer::Unavailable,
            },
            (true, operator::Call::Configure(order)) => match self.driver.machine().check(&order) {
                // An order that is not in the log when the leadership is transferred has no effect.
                Ok(()) if self.stage != Stage::Running => operator::Answer::Unavailable,
                Ok(()) => {
                    let version = order.config.version.0;
                    let command = machine::Command::Configure(order);
                    let position = self.propose_order(now, &command, reply);
                    tracing::info!(version, position, "an order entered the log");
                    return;
                }
                Err(refusal) => operator::Answer::Refused(refusal),
            },
            (true, operator::Call::Evacuate(_)) if self.stage != Stage::Running => {
                operator::Answer::Unavailable
            }
            (true, operator::Call::Evacuate(evacuation)) => {
                if !self.is_domain(&evacuation.domain) {
                    let refusal = machine::Refusal::UnknownDomain(evacuation.domain);
                    return send_answer(reply, operator::Answer::Refused(refusal));
                }
                let machine::Evacuation {
                    domain,
                    is_evacuated,
                } = evacuation.clone();
                let command = machine::Command::Evacuate(evacuation);
                let position = self.propose_order(now, &command, reply);
                tracing::info!(
                    domain,
                    is_evacuated,
                    position,
                    "an evacuation entered the log"
                );
                return;
            }
        };
        send_answer(reply, answer);
    }

    /// Returns whether a failure domain exists. One whose backend servers are all lost is known from
    /// the settings.
    fn is_domain(&self, domain: &str) -> bool {
        let mut servers = self.driver.machine().servers().values();
        self.domains.iter().any(|known| known == domain)
            || servers.any(|server| server.announcement.domain == domain)
            || self.driver.machine().evacuated().contains(domain)
    }

    /// Proposes an order to the log; the operator is answered once it is committed. Returns the
    /// position in the log, if it was proposed, as text.
    fn propose_order(
        &mut self,
        now: clock::Instant,
        command: &machine::Command,
        reply: oneshot::Sender<operator::Answer>,
    ) -> Option<String> {
        let Some(position) = self.driver.propose(now, command) else {
            send_answer(reply, operator::Answer::Unavailable);
            return None;
        };
        self.pending_orders.push(now, position, reply);
        Some(position.to_string())
    }

    /// Answers the operator whose order was at the index of a committed entry.
    pub(super) fn answer_order(&mut self, position: position::Position, output: &machine::Output) {
        let Some(order) = self.pending_orders.take(position.index) else {
            return;
        };
        let answer = match output {
            // Another leader's entry was committed at the index of the order.
            _ if order.position != position => operator::Answer::Unavailable,
            machine::Output::Refused(refusal) => operator::Answer::Refused(refusal.clone()),
            _ => operator::Answer::Accepted,
        };
        self.outputs.measure.record_order(match answer {
            operator::Answer::Accepted => "accepted",
            operator::Answer::Refused(_) => "refused",
            _ => "unknown",
        });
        send_answer(order.reply, answer);
    }
}

/// Logs an operator's order that was applied.
pub(super) fn log_applied(applied: &driver::Applied<machine::Command, machine::Output>) {
    let position = applied.position;
    match &applied.command {
        machine::Command::Configure(order) => {
            let (version, outcome) = (order.config.version.0, &applied.result);
            tracing::info!(version, %position, ?outcome, "an order was applied");
        }
        machine::Command::Evacuate(evacuation) => {
            let machine::Evacuation {
                domain,
                is_evacuated,
            } = evacuation;
            tracing::info!(domain, is_evacuated, %position, "an evacuation was applied");
        }
        _ => {}
    }
}
