//! Compares the responses of a run with the executions that stand-ins counted.

use std::collections;
use std::net;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::load::tally;
use crate::standin::traffic::ledger;

/// Timeout of a request to a stand-in, after which it counts as unreachable.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of ids of each kind of fault that are reported.
const MAX_EXAMPLES: usize = 20;

#[derive(Debug, Deserialize)]
struct Identity {
    instance: String,
}

/// Request ids that have one kind of fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Number of ids.
    pub count: u64,
    /// The first ids.
    pub examples: Vec<String>,
}

/// Result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Result {
    /// Number of request ids compared.
    pub ids: u64,
    /// Ids that were executed more than once.
    pub doubled: Finding,
    /// Ids that were executed although every response reported them as not run.
    pub false_not_run: Finding,
    /// Ids that were answered although no stand-in executed them.
    pub never_run: Finding,
    /// Reasons why the counts are incomplete. If there are any, `never_run` stays empty.
    pub gaps: Vec<String>,
}

/// Number of executions of each id over all stand-ins.
pub type Counts = collections::HashMap<String, u64>;

impl Finding {
    fn add(&mut self, id: &str) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(id.to_owned());
        }
    }
}

impl Result {
    /// Compares the reported statuses with the executions that were started.
    pub fn new(
        statuses: &collections::HashMap<String, tally::Status>,
        started: &Counts,
        gaps: Vec<String>,
    ) -> Self {
        let mut result = Self {
            ids: statuses.len() as u64,
            gaps,
            ..Self::default()
        };
        let mut ids: Vec<_> = statuses.iter().collect();
        ids.sort_by_key(|(id, _)| id.as_str());
        for (id, status) in ids {
            let executions = started.get(id).copied().unwrap_or(0);
            if executions > 1 {
                result.doubled.add(id);
            }
            match status {
                tally::Status::NotRun if executions > 0 => result.false_not_run.add(id),
                tally::Status::Answered if executions == 0 && result.gaps.is_empty() => {
                    result.never_run.add(id);
                }
                _ => {}
            }
        }
        result
    }

    /// Returns whether the audit is complete and found no fault.
    pub const fn is_clean(&self) -> bool {
        self.doubled.count == 0
            && self.false_not_run.count == 0
            && self.never_run.count == 0
            && self.gaps.is_empty()
    }
}

/// An audit in progress.
#[derive(Debug)]
pub struct Audit {
    http: reqwest::Client,
    // The instance of each stand-in at the start, if it answered.
    standins: Vec<(net::SocketAddr, Option<String>)>,
}

impl Audit {
    /// Records the instance of each stand-in, since a restart loses its counts.
    pub async fn start(standins: &[net::SocketAddr]) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .expect("a client without TLS has no settings that can fail");
        let mut instances = Vec::new();
        for address in standins {
            let identity = fetch::<Identity>(&http, *address, "instance").await;
            instances.push((*address, identity.ok().map(|identity| identity.instance)));
        }
        Self {
            http,
            standins: instances,
        }
    }

    /// Fetches the counts and compares them; returns `None` if no stand-ins were given.
    pub async fn finish(
        self,
        statuses: &collections::HashMap<String, tally::Status>,
    ) -> Option<Result> {
        if self.standins.is_empty() {
            return None;
        }
        let mut started = Counts::new();
        let mut gaps = Vec::new();
        for (address, instance) in &self.standins {
            match fetch::<ledger::Executions>(&self.http, *address, "executions").await {
                Ok(executions) => {
                    match instance {
                        None => gaps.push(format!("{address} did not answer at the start")),
                        Some(instance) if *instance != executions.instance => {
                            gaps.push(format!("{address} was restarted"));
                        }
                        Some(_) => {}
                    }
                    if executions.summary.dropped > 0 {
                        gaps.push(format!("{address} has dropped records"));
                    }
                    for (id, record) in executions.summary.ids {
                        *started.entry(id).or_default() += record.started;
                    }
                }
                Err(error) => gaps.push(format!("{address} did not answer: {error}")),
            }
        }
        Some(Result::new(statuses, &started, gaps))
    }
}

async fn fetch<T>(
    http: &reqwest::Client,
    address: net::SocketAddr,
    name: &str,
) -> reqwest::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let url = format!("http://{address}/fault/v1/{name}");
    http.get(url).send().await?.json().await
}
