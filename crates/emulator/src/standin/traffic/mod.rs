//! The traffic threads: sockets, commands and requests.

mod commands;
mod connections;
pub mod counts;
mod endpoint;
pub mod ledger;
mod listener;
mod requests;
pub mod slots;
pub mod store;

use std::net;
use std::sync;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::standin;
use crate::standin::board;
use crate::standin::settings;

/// Everything that the traffic threads share.
#[derive(Debug)]
pub struct Traffic {
    settings: sync::Arc<settings::Settings>,
    board: sync::Arc<board::Board>,
    commands: mpsc::Sender<standin::Envelope>,
    counts: sync::Arc<counts::Counts>,
    connections: sync::Arc<connections::Connections>,
    ledger: ledger::Ledger,
    store: store::Store,
    slots: slots::Slots,
}

impl Traffic {
    /// Makes the traffic side of a server.
    pub fn new(
        settings: sync::Arc<settings::Settings>,
        board: sync::Arc<board::Board>,
        commands: mpsc::Sender<standin::Envelope>,
    ) -> Self {
        Self {
            ledger: ledger::Ledger::new(settings.records),
            store: store::Store::new(settings.records),
            slots: slots::Slots::new(settings.slots, settings.queue),
            counts: sync::Arc::default(),
            connections: sync::Arc::default(),
            settings,
            board,
            commands,
        }
    }

    /// Serves connections until `stop`.
    pub async fn run(self, listener: net::TcpListener, stop: CancellationToken) {
        let listener = match listener::Listener::new(listener, &self) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(%error, "could not listen");
                return;
            }
        };
        let server = poem::Server::new_with_acceptor(listener);
        let endpoint = endpoint::Endpoint::new(sync::Arc::new(self));
        tokio::select! {
            () = stop.cancelled() => {}
            result = server.run(endpoint) => {
                if let Err(error) = result {
                    tracing::error!(%error, "the server ended");
                }
            }
        }
    }
}
