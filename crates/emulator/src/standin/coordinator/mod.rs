//! The control thread, which is the only writer of grants and faults.

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
use crate::standin::settings;
use crate::standin::view;

/// A change of the control state.
#[derive(Clone, Debug)]
pub enum Command {
    /// Prepare for the ownership of a range.
    Prepare(String, range::Range),
    /// Grant the ownership of a range under an epoch.
    Grant(String, range::Range, id::Epoch),
    /// Revoke the ownership of a range under an epoch.
    Revoke(String, range::Range, id::Epoch),
    /// Refuse new requests.
    Drain,
    /// Start or end a fault.
    Fault(fault::Command),
}

/// Owner of the control state; runs on the control thread.
#[derive(Debug)]
pub struct Coordinator {
    settings: sync::Arc<settings::Settings>,
    publisher: sync::Arc<view::Publisher>,
    address: net::SocketAddr,
    view: view::View,
}

impl Coordinator {
    /// Creates the coordinator of a server that listens on `address`.
    pub fn new(
        settings: sync::Arc<settings::Settings>,
        publisher: sync::Arc<view::Publisher>,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            settings,
            publisher,
            address,
            view: view::View::default(),
        }
    }

    /// Handles commands and announces the server until `stop` is cancelled.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<standin::Envelope>,
        stop: CancellationToken,
    ) {
        let announcer = announce::Announcer::new(&self.settings, &self.publisher, self.address);
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
        self.publisher.publish(self.view.clone());
        // The request that sent the command may have been cancelled.
        let _ = envelope.reply.send(result);
    }

    fn apply(&mut self, command: Command) -> Result<(), grants::Overflow> {
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
