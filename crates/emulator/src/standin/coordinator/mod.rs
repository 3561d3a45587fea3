//! The control thread: the only writer of grants and faults.

mod announce;
pub mod fault;
pub mod grants;

use std::net;
use std::sync;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::range;

use crate::standin;
use crate::standin::board;
use crate::standin::settings;

/// A change of the control state.
#[derive(Clone, Debug)]
pub enum Command {
    /// Warm up for a range.
    Prepare(String, range::Range),
    /// Own a range under an epoch.
    Grant(String, range::Range, id::Epoch),
    /// Own a range no more.
    Revoke(String, range::Range, id::Epoch),
    /// Take no new work.
    Drain,
    /// Misbehave, or stop misbehaving.
    Fault(fault::Command),
}

/// Owner of the control state; runs on the control thread.
#[derive(Debug)]
pub struct Coordinator {
    settings: sync::Arc<settings::Settings>,
    board: sync::Arc<board::Board>,
    address: net::SocketAddr,
    view: board::View,
}

impl Coordinator {
    /// Makes the coordinator of a server that listens on `address`.
    pub fn new(
        settings: sync::Arc<settings::Settings>,
        board: sync::Arc<board::Board>,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            settings,
            board,
            address,
            view: board::View::default(),
        }
    }

    /// Handles commands and announces the server until `stop`.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<standin::Envelope>,
        stop: CancellationToken,
    ) {
        let announcer = announce::Announcer::new(&self.settings, &self.board, self.address);
        let announcer = announcer.run();
        tokio::pin!(announcer);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = &mut announcer => return,
                envelope = inbox.recv() => match envelope {
                    Some(envelope) => self.handle(envelope),
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, envelope: standin::Envelope) {
        let result = self.apply(envelope.command);
        self.board.publish(self.view.clone());
        // The sender of the command may have gone away.
        let _ = envelope.done.send(result);
    }

    fn apply(&mut self, command: Command) -> Result<(), grants::Full> {
        tracing::info!(server = self.settings.name, ?command, "command");
        match command {
            Command::Prepare(service, range) => self.view.grants.prepare(&service, range)?,
            Command::Grant(service, range, epoch) => {
                self.view.grants.grant(&service, range, epoch)?;
            }
            Command::Revoke(service, range, epoch) => {
                self.view.grants.revoke(&service, range, epoch)?;
            }
            Command::Drain => self.view.draining = true,
            Command::Fault(command) => {
                if command == fault::Command::Undrain {
                    self.view.draining = false;
                }
                self.view.faults.apply(&command, clock::Instant::now());
            }
        }
        Ok(())
    }
}
