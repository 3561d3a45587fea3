//! The traffic threads, which handle connections, commands and requests.

mod commands;
mod connections;
mod endpoint;
pub mod injector;
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
use crate::standin::settings;
use crate::standin::view;

/// State that the traffic threads share.
#[derive(Debug)]
pub struct Traffic {
    settings: sync::Arc<settings::Settings>,
    publisher: sync::Arc<view::Publisher>,
    commands: mpsc::Sender<standin::Envelope>,
    injector: sync::Arc<injector::Injector>,
    connections: sync::Arc<connections::Connections>,
    ledger: ledger::Ledger,
    store: store::Store,
    slots: slots::Slots,
}

impl Traffic {
    /// Creates the shared state of a server.
    pub fn new(
        settings: sync::Arc<settings::Settings>,
        publisher: sync::Arc<view::Publisher>,
        commands: mpsc::Sender<standin::Envelope>,
    ) -> Self {
        Self {
            ledger: ledger::Ledger::new(settings.max_records),
            store: store::Store::new(settings.max_records),
            slots: slots::Slots::new(settings.slots, settings.queue),
            injector: sync::Arc::default(),
            connections: sync::Arc::default(),
            settings,
            publisher,
            commands,
        }
    }

    /// Serves connections until `stop` is cancelled.
    pub async fn run(self, listener: net::TcpListener, stop: CancellationToken) {
        let listener = match listener::Listener::new(listener, &self) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(%error, "failed to register the listener with the runtime");
                return;
            }
        };
        let server = poem::Server::new_with_acceptor(listener);
        let endpoint = endpoint::Endpoint::new(sync::Arc::new(self));
        tokio::select! {
            () = stop.cancelled() => {}
            result = server.run(endpoint) => {
                if let Err(error) = result {
                    tracing::error!(%error, "the HTTP server ended with an error");
                }
            }
        }
    }
}
