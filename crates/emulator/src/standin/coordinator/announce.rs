//! Announces the server to its node.

use std::net;
use std::sync;
use std::time::Duration;

use serde::Serialize;

use crate::standin::board;
use crate::standin::settings;

/// Time after which an announcement without an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

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
    every: Duration,
    target: Option<(reqwest::Client, String, Vec<u8>)>,
    board: sync::Arc<board::Board>,
}

impl Announcer {
    pub(super) fn new(
        settings: &settings::Settings,
        board: &sync::Arc<board::Board>,
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
            .timeout(ANSWER_TIMEOUT)
            .build()
            .expect("a client without TLS has no settings that can fail");
        let target = settings
            .node
            .map(|node| (client, format!("http://{node}/v1/announce"), body));
        Self {
            every: settings.announce_every,
            target,
            board: board.clone(),
        }
    }

    /// Announces until dropped.
    pub(super) async fn run(self) {
        let Some((client, url, body)) = &self.target else {
            return std::future::pending().await;
        };
        let mut ticks = tokio::time::interval(self.every);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.board.thawed().await;
            if self.board.view().faults.silent {
                continue;
            }
            let request = client
                .post(url)
                .header("content-type", "application/json")
                .body(body.clone());
            match request.send().await {
                Ok(answer) if answer.status().is_success() => {}
                Ok(answer) => tracing::warn!(status = %answer.status(), "announcement refused"),
                Err(error) => tracing::debug!(%error, "announcement not answered"),
            }
        }
    }
}
