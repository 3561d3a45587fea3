//! Compares the answers of a run with the executions that stand-ins counted.

use std::collections;
use std::net;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::load::tally;
use crate::standin::traffic::ledger;

/// Time after which a stand-in counts as unreachable.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Ids of each kind of fault that are reported.
const MAX_EXAMPLES: usize = 20;

#[derive(Debug, Deserialize)]
struct Identity {
    instance: String,
}

/// Ids that show one kind of fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How many.
    pub count: u64,
    /// The first of them.
    pub examples: Vec<String>,
}

/// Result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Result {
    /// Request ids compared.
    pub ids: u64,
    /// Ids that were executed more than once.
    pub doubled: Finding,
    /// Ids that ran though every answer said that they had not.
    pub false_not_run: Finding,
    /// Ids that were answered though no stand-in has executed them.
    pub never_run: Finding,
    /// Why the counts cannot be complete; ids that never ran are not judged then.
    pub gaps: Vec<String>,
}

/// Executions of one id over all stand-ins.
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
    /// Compares what callers were told with what ran.
    pub fn new(
        fates: &collections::HashMap<String, tally::Fate>,
        started: &Counts,
        gaps: Vec<String>,
    ) -> Self {
        let mut result = Self {
            ids: fates.len() as u64,
            gaps,
            ..Self::default()
        };
        let mut ids: Vec<_> = fates.iter().collect();
        ids.sort_by_key(|(id, _)| id.as_str());
        for (id, fate) in ids {
            let runs = started.get(id).copied().unwrap_or(0);
            if runs > 1 {
                result.doubled.add(id);
            }
            match fate {
                tally::Fate::NotRun if runs > 0 => result.false_not_run.add(id),
                tally::Fate::Answered if runs == 0 && result.gaps.is_empty() => {
                    result.never_run.add(id);
                }
                _ => {}
            }
        }
        result
    }

    /// Tells whether no fault was found.
    pub const fn is_clean(&self) -> bool {
        self.doubled.count == 0 && self.false_not_run.count == 0 && self.never_run.count == 0
    }
}

/// An audit under way.
#[derive(Debug)]
pub struct Audit {
    http: reqwest::Client,
    // The instance of each stand-in at the start, if it answered.
    standins: Vec<(net::SocketAddr, Option<String>)>,
}

impl Audit {
    /// Notes which run of each stand-in is up, since a restart loses its counts.
    pub async fn start(standins: &[net::SocketAddr]) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(TIMEOUT)
            .build()
            .expect("a client without TLS has no settings that can fail");
        let mut noted = Vec::new();
        for address in standins {
            let identity = get::<Identity>(&http, *address, "instance").await;
            noted.push((*address, identity.ok().map(|identity| identity.instance)));
        }
        Self {
            http,
            standins: noted,
        }
    }

    /// Fetches the counts and compares; `None` if no stand-ins were given.
    pub async fn finish(self, fates: &collections::HashMap<String, tally::Fate>) -> Option<Result> {
        if self.standins.is_empty() {
            return None;
        }
        let mut started = Counts::new();
        let mut gaps = Vec::new();
        for (address, instance) in &self.standins {
            match get::<ledger::Executions>(&self.http, *address, "executions").await {
                Ok(executions) => {
                    if Some(&executions.instance) != instance.as_ref() {
                        gaps.push(format!("{address} was restarted"));
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
        Some(Result::new(fates, &started, gaps))
    }
}

async fn get<T>(http: &reqwest::Client, address: net::SocketAddr, name: &str) -> reqwest::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let url = format!("http://{address}/fault/v1/{name}");
    http.get(url).send().await?.json().await
}
