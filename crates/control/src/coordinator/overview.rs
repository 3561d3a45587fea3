//! The part of the status that every replica knows.

use sequoiayoke_api::status;
use sequoiayoke_consensus::position;
use sequoiayoke_model::id;

use super::{Coordinator, Driver};

impl Coordinator {
    /// Returns the part of the status that every replica knows.
    pub(super) fn status(&self) -> status::Status {
        let replica = self.driver.as_ref().map(Driver::replica);
        let term = replica.map_or(position::Term(0), |replica| replica.role().term);
        let commit = replica.map_or(position::Index(0), |replica| replica.commit());
        let replicas = self.config.peers.iter().map(|peer| {
            let driver = self.driver.as_ref();
            let id = match &peer.outgoing {
                Some(_) => self.announced.get(&peer.name).copied(),
                None => driver.map(|driver| driver.replica().id()),
            };
            let voting = id.is_some_and(|id| {
                driver.is_some_and(|driver| driver.replica().members().is_voter(id))
            });
            let matched = driver.and_then(|driver| match &peer.outgoing {
                None => Some(driver.replica().last().index.0),
                Some(_) => {
                    let mut matched = driver.replica().matched();
                    matched
                        .find(|(replica, _)| Some(*replica) == id)
                        .map(|(_, index)| index.0)
                }
            });
            status::Replica {
                name: peer.name.clone(),
                address: peer.operator.to_string(),
                voting,
                matched: matched.unwrap_or(0),
            }
        });
        status::Status {
            region: self.config.leader.region.clone(),
            leader: self.leader_peer().map(|peer| peer.name.clone()),
            term: term.0,
            commit: commit.0,
            version: id::Version(0),
            next_ticket: id::Ticket(0),
            replicas: replicas.collect(),
            servers: Vec::new(),
            services: Vec::new(),
        }
    }
}
