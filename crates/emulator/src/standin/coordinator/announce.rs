//! Announcements of the server to its node.

use std::net;
use std::sync;
use std::time::Duration;

use serde::Serialize;

use crate::standin::settings;
use crate::standin::view;

/// Timeout of an announcement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize)]
struct Announcement<'a> {
    name: &'a str,
    instance: &'a str,
    services: &'a [String],
    address: net::SocketAddr,
    slots: usize,
    connections: usize,
    checks_fencing: bool,
    checks_sender: bool,
}

/// Sends the announcement at the start and then at a fixed interval.
pub(super) struct Announcer {
    interval: Duration,
    target: Option<(reqwest::Client, String, Vec<u8>)>,
    publisher: sync::Arc<view::Publisher>,
}

impl Announcer {
    pub(super) fn new(
        settings: &settings::Settings,
        publisher: &sync::Arc<view::Publisher>,
        address: net::SocketAddr,
    ) -> Self {
        let announcement = Announcement {
            name: &settings.name,
            instance: &settings.instance,
            services: &settings.services,
            address,
            slots: settings.slots,
            connections: settings.connections,
            checks_fencing: settings.checks_fencing,
            checks_sender: settings.token.is_some(),
        };
        let body =
            serde_json::to_vec(&announcement).expect("the announcement has only plain fields");
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(RESPONSE_TIMEOUT)
            .build()
            .expect("a client without TLS has no settings that can fail");
        let target = settings
            .node
            .map(|node| (client, format!("http://{node}/v1/announce"), body));
        Self {
            interval: settings.announce_interval,
            target,
            publisher: publisher.clone(),
        }
    }

    /// Sends announcements until the future is dropped.
    pub(super) async fn run(self) {
        let Some((client, url, body)) = &self.target else {
            return std::future::pending().await;
        };
        let mut ticks = tokio::time::interval(self.interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.publisher.wait_while_frozen().await;
            if self.publisher.current().faults.announcements_paused {
                continue;
            }
            let request = client
                .post(url)
                .header("content-type", "application/json")
                .body(body.clone());
            match request.send().await {
                Ok(reply) if reply.status().is_success() => {}
                Ok(reply) => tracing::warn!(status = %reply.status(), "announcement refused"),
                Err(error) => tracing::debug!(%error, "announcement failed"),
            }
        }
    }
}
