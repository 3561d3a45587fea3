//! Helpers of the tests: a stand-in under test, and a node that records announcements.

use std::net;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::mpsc;

use sequoiayoke_emulator::standin;
use sequoiayoke_emulator::standin::settings;
use sequoiayoke_model::clock;

/// Longest wait for an event that must happen.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// Delay of requests that must still be running when the test checks them.
pub(crate) const LONG_DELAY: Duration = Duration::from_secs(50);

pub(crate) struct Server {
    pub(crate) standin: standin::Standin,
    pub(crate) http: reqwest::Client,
}

pub(crate) fn settings() -> settings::Settings {
    settings::Settings::new("ank-refunds-1").with_service("refunds")
}

impl Server {
    pub(crate) fn start(settings: settings::Settings) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(MAX_WAIT)
            .build();
        Self {
            standin: standin::Standin::start(settings).unwrap(),
            http: http.unwrap(),
        }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.standin.address())
    }

    pub(crate) fn get(&self, path: &str) -> reqwest::RequestBuilder {
        self.http.get(self.url(path))
    }

    pub(crate) fn post(&self, path: &str) -> reqwest::RequestBuilder {
        self.http.post(self.url(path))
    }

    /// Sends a command and checks that it is accepted.
    pub(crate) async fn command(&self, path: &str, body: Value) {
        let response = self.post(path).json(&body).send().await.unwrap();
        assert_eq!(
            response.status(),
            200,
            "{path}: {:?}",
            response.text().await
        );
    }

    pub(crate) async fn fault(&self, name: &str, body: Value) {
        self.command(&format!("/fault/v1/{name}"), body).await;
    }

    pub(crate) async fn json(&self, path: &str) -> Value {
        let response = self.get(path).send().await.unwrap();
        response.json().await.unwrap()
    }

    pub(crate) async fn executions(&self) -> Value {
        self.json("/fault/v1/executions").await
    }

    /// Polls the load until `field` has this value.
    pub(crate) async fn wait_for_load(&self, field: &str, value: u64) {
        let poll = async {
            while self.json("/v1/load").await[field] != value {
                tokio::task::yield_now().await;
            }
        };
        let result = tokio::time::timeout(MAX_WAIT, poll).await;
        result.expect("the load does not reach the value");
    }

    /// Starts a POST in the background; aborting the task closes its connection.
    pub(crate) fn start_post(&self, id: &str) -> tokio::task::JoinHandle<reqwest::Result<u16>> {
        let request = self
            .post("/s/refunds/kiosk-1")
            .header("sequoiayoke-deadline-ms", "60000")
            .header("sequoiayoke-request-id", id);
        tokio::spawn(async move { Ok(request.send().await?.status().as_u16()) })
    }

    pub(crate) async fn grant(&self, range: (&str, &str), epoch: u64) {
        let body = serde_json::json!({ "service": "refunds", "first": range.0, "last": range.1,
            "epoch": epoch, "lease_until_us": lease_end(LONG_DELAY) });
        self.command("/v1/grant", body).await;
    }

    pub(crate) async fn revoke(&self, range: (&str, &str), epoch: u64) {
        let body = serde_json::json!({ "service": "refunds", "first": range.0, "last": range.1,
            "epoch": epoch });
        self.command("/v1/revoke", body).await;
    }

    /// Sends a request with an epoch and a lease, and returns the status and the reason of a
    /// refusal.
    pub(crate) async fn post_fenced(
        &self,
        hash: &str,
        epoch: u64,
        lease_until_us: u64,
    ) -> (u16, String) {
        let request = self
            .post("/s/refunds/kiosk-1")
            .header("sequoiayoke-key-hash", hash)
            .header("sequoiayoke-epoch", epoch)
            .header("sequoiayoke-lease-until-us", lease_until_us);
        status_and_refusal(request).await
    }
}

/// Returns the end of a lease in microseconds of the boot-time clock.
pub(crate) fn lease_end(duration: Duration) -> u64 {
    (clock::Instant::now() + duration).as_micros()
}

/// Sends a request and returns its status and the reason of a refusal, or an empty reason.
pub(crate) async fn status_and_refusal(request: reqwest::RequestBuilder) -> (u16, String) {
    let response = request.send().await.unwrap();
    let refused = response.headers().get("sequoiayoke-refused");
    let refused = refused.map_or("", |value| value.to_str().unwrap());
    (response.status().as_u16(), refused.to_owned())
}

/// Starts a node that serves `POST /v1/announce`; the receiver gets the announcements.
pub(crate) async fn start_node() -> (net::SocketAddr, mpsc::Receiver<Value>) {
    let (sender, receiver) = mpsc::channel(100);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = poem::endpoint::make(move |request: poem::Request| {
        let sender = sender.clone();
        async move {
            assert_eq!(request.uri().path(), "/v1/announce");
            let body = request.into_body().into_bytes().await?;
            sender
                .send(serde_json::from_slice(&body).unwrap())
                .await
                .ok();
            Ok::<_, poem::Error>("{}")
        }
    });
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener).unwrap();
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(endpoint));
    (address, receiver)
}
