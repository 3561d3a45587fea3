//! HTTP for operators.
//!
//! This front end only translates between HTTP and the coordinator's requests.

use std::sync;
use std::time::Duration;

use poem::http::{Method, StatusCode};
use sequoiayoke_api::{error, path, ticket};
use sequoiayoke_model::id;
use sequoiayoke_telemetry::metrics;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::coordinator::event;
use crate::measure;

/// Longest wait for the coordinator's answer; after it the outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Endpoint for operators.
#[derive(Clone, Debug)]
pub struct Operators {
    events: mpsc::Sender<event::Event>,
    measure: sync::Arc<measure::Measure>,
}

type Answer = Result<poem::Response, error::Error>;

impl Operators {
    /// Creates the endpoint; `events` leads to the coordinator.
    pub const fn new(
        events: mpsc::Sender<event::Event>,
        measure: sync::Arc<measure::Measure>,
    ) -> Self {
        Self { events, measure }
    }

    async fn answer(&self, mut http: poem::Request) -> Answer {
        let method = http.method().clone();
        let uri = http.uri().clone();
        match (&method, uri.path()) {
            (&Method::POST, path::TICKETS) => {
                let ticket = read_ticket(&mut http).await?;
                self.ask(|reply| event::Request::Submit(ticket, reply))
                    .await
            }
            (&Method::POST, path::CHECK) => {
                let ticket = read_ticket(&mut http).await?;
                self.ask(|reply| event::Request::Check(ticket, reply)).await
            }
            (&Method::GET, path::TICKETS) => self.ask(event::Request::List).await,
            (&Method::GET, path::METRICS) => self.metrics().await,
            (&Method::GET, path::STATUS) => self.ask(event::Request::Status).await,
            (&Method::GET, path) => self.get(path, uri.query().unwrap_or("")).await,
            _ => Err(not_found(uri.path())),
        }
    }

    async fn get(&self, path: &str, query: &str) -> Answer {
        if let Some(number) = path.strip_prefix(path::TICKETS).and_then(strip_slash) {
            let number = number.parse().map_err(|_| error::Error::Malformed {
                detail: format!("{number:?} is no ticket number"),
            })?;
            let number = id::Ticket(number);
            return self.ask(|reply| event::Request::Show(number, reply)).await;
        }
        let subject = path.strip_prefix(path::EXPLAIN).and_then(strip_slash);
        let Some((service, key)) = subject.and_then(|rest| rest.split_once('/')) else {
            return Err(not_found(path));
        };
        let (service, key) = (decode(service)?, decode(key)?);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let scope = pairs.find(|(name, _)| *name == "scope");
        let scope = scope.map_or(Ok(String::new()), |(_, value)| decode(value))?;
        let ask = |reply| event::Request::Explain {
            service,
            scope,
            key,
            reply,
        };
        self.ask(ask).await
    }

    async fn metrics(&self) -> Answer {
        let unknown = |detail: &str| error::Error::Unknown {
            detail: detail.to_owned(),
        };
        let (reply, figures) = oneshot::channel();
        let sent = self.events.send(event::Event::Figures(reply)).await;
        sent.map_err(|_| unknown("the replica ends"))?;
        let figures = tokio::time::timeout(CALL_TIMEOUT, figures).await;
        let figures = figures.map_err(|_| unknown("no figures in time"))?;
        let figures = figures.map_err(|_| unknown("the replica ends"))?;
        let text = self.measure.render(&figures).map_err(|report| {
            tracing::error!(?report, "the metrics could not be rendered");
            unknown("the metrics could not be rendered")
        })?;
        Ok(poem::Response::builder()
            .content_type(metrics::Metrics::CONTENT_TYPE)
            .body(text))
    }

    async fn ask<F, T>(&self, request: F) -> Answer
    where
        F: FnOnce(event::Reply<T>) -> event::Request,
        T: serde::Serialize,
    {
        let unknown = || error::Error::Unknown {
            detail: "no answer in time; submit the same ticket again".to_owned(),
        };
        let (reply, answer) = oneshot::channel();
        let event = event::Event::Operator(request(reply));
        self.events.send(event).await.map_err(|_| unknown())?;
        let answer = tokio::time::timeout(CALL_TIMEOUT, answer).await;
        let answer = answer.map_err(|_| unknown())?.map_err(|_| unknown())??;
        json(StatusCode::OK, &answer)
    }
}

fn strip_slash(rest: &str) -> Option<&str> {
    rest.strip_prefix('/').filter(|rest| !rest.is_empty())
}

fn not_found(path: &str) -> error::Error {
    error::Error::NotFound {
        detail: format!("no such path: {path}"),
    }
}

fn malformed<E>(problem: E) -> error::Error
where
    E: std::fmt::Display,
{
    error::Error::Malformed {
        detail: problem.to_string(),
    }
}

async fn read_ticket(http: &mut poem::Request) -> Result<ticket::Ticket, error::Error> {
    let bytes = http.take_body().into_bytes_limit(ticket::MAX_BYTES).await;
    let bytes = bytes.map_err(malformed)?;
    ticket::parse(&bytes).map_err(malformed)
}

fn decode(text: &str) -> Result<String, error::Error> {
    let decoded = percent_encoding::percent_decode_str(text).decode_utf8();
    decoded.map(Into::into).map_err(malformed)
}

fn json<T>(status: StatusCode, body: &T) -> Answer
where
    T: serde::Serialize,
{
    let body = serde_json::to_vec(body).map_err(malformed)?;
    Ok(poem::Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body))
}

impl poem::Endpoint for Operators {
    type Output = poem::Response;

    async fn call(&self, http: poem::Request) -> poem::Result<poem::Response> {
        let answer = self.answer(http).await.or_else(|error| {
            let status = StatusCode::from_u16(error.status());
            json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &error)
        });
        answer.map_err(|error| {
            poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}
