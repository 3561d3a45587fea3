//! Transfer of the leadership when a leader stops.

use sequoiayoke_consensus::effect;
use sequoiayoke_consensus::event as log;
use sequoiayoke_model::clock;
use sequoiayoke_supervise::supervisor;
use tokio::sync::mpsc;
use tokio::time;

use super::{Coordinator, event};

impl Coordinator {
    /// Completes what this leader has proposed, and transfers its leadership.
    ///
    /// The replica does not accept proposals during the transfer. Without a successor that has
    /// the whole log in time, the leadership ends with the process.
    pub(super) async fn transfer_leadership(
        &mut self,
        inbox: &mut mpsc::Receiver<event::Event>,
    ) -> supervisor::Outcome {
        if self.leader.is_none() {
            return Ok(());
        }
        tracing::info!("transferring leadership");
        let start = clock::Instant::now();
        let end = time::Instant::now() + self.config.log.election_max;
        if let Some(driver) = &mut self.driver {
            driver.step(start, log::Event::Transfer);
        }
        self.flush(start)?;
        while self.has_successor()
            && let Some(deadline) = self.leader_deadline()
        {
            let pause = clock::Instant::now().saturating_until(deadline);
            tokio::select! {
                Some(event) = inbox.recv() => self.handle(event)?,
                () = time::sleep(pause) => {}
                () = time::sleep_until(end) => break,
            }
            let now = clock::Instant::now();
            if let Some(driver) = &mut self.driver {
                driver.step(now, log::Event::Tick);
            }
            self.flush(now)?;
        }
        if let Some(leader) = self.leader.take() {
            leader.step_down();
        }
        Ok(())
    }

    fn has_successor(&self) -> bool {
        let mut peers = self.config.peers.iter();
        peers.any(|peer| peer.outgoing.is_some())
    }

    /// Returns the next deadline of the log while this replica leads.
    fn leader_deadline(&self) -> Option<clock::Instant> {
        let replica = self.driver.as_ref()?.replica();
        let leads = replica.role().kind == effect::Kind::Leader;
        leads.then(|| replica.next_deadline())
    }
}
