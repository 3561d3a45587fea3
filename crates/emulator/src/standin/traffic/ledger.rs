//! Counts of executions, which reveal repeated executions and false "not run" responses.
//!
//! An execution is counted at its start, since a request that was cancelled while it ran
//! may have had effects. Completions are counted separately.

use std::collections;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

/// Executions of one request id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// HTTP method.
    pub method: String,
    /// Service of the first execution.
    pub service: String,
    /// Key of the first execution.
    pub key: String,
    /// Number of started executions.
    pub started: u64,
    /// Number of completed executions.
    pub completed: u64,
}

/// Executions of one method.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of started executions.
    pub started: u64,
    /// Number of completed executions.
    pub completed: u64,
}

/// Counts so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Totals by method.
    pub totals: collections::BTreeMap<String, Total>,
    /// Records by request id.
    pub ids: collections::BTreeMap<String, Record>,
    /// Request ids that were executed more than once.
    pub repeated: Vec<String>,
    /// Number of started executions by service and key.
    pub keys: collections::BTreeMap<String, u64>,
    /// Number of executions without a request id.
    pub without_id: u64,
    /// Number of ids that were dropped, and of executions whose keys were not counted, because
    /// a table was full.
    pub dropped: u64,
}

/// Response to `GET /fault/v1/executions`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Name of the server.
    pub server: String,
    /// Identifier of the run of the server; the counts start at zero with each run.
    pub instance: String,
    /// The counts.
    #[serde(flatten)]
    pub summary: Summary,
}

/// Identity of an execution.
#[derive(Clone, Copy, Debug)]
pub struct Execution<'a> {
    /// Request id, if the request carried one.
    pub id: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Service.
    pub service: &'a str,
    /// Key.
    pub key: &'a str,
}

#[derive(Debug, Default)]
struct Tables {
    totals: collections::BTreeMap<String, Total>,
    ids: collections::HashMap<String, Record>,
    id_order: collections::VecDeque<String>,
    keys: collections::HashMap<String, u64>,
    without_id: u64,
    dropped: u64,
}

/// Counts of executions with a limited number of ids and keys.
///
/// # Examples
///
/// ```
/// use sequoiayoke_emulator::standin::traffic::ledger;
///
/// let ledger = ledger::Ledger::new(10);
/// let execution = ledger::Execution { id: Some("a"), method: "POST", service: "s", key: "k" };
/// assert_eq!(ledger.start(execution), 1);
/// assert_eq!(ledger.start(execution), 2);
/// assert_eq!(ledger.summary().repeated, ["a"]);
/// ```
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    tables: sync::Mutex<Tables>,
}

impl Ledger {
    /// Creates a ledger of at most `limit` ids and `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            tables: sync::Mutex::default(),
        }
    }

    /// Counts a started execution and returns its number among the executions of its id.
    pub fn start(&self, execution: Execution<'_>) -> u64 {
        let mut tables = self.lock();
        tables.total(execution.method).started += 1;
        tables.count_key(execution, self.limit);
        let Some(id) = execution.id else {
            tables.without_id += 1;
            return 1;
        };
        if !tables.ids.contains_key(id) {
            tables.insert(id, execution, self.limit);
        }
        tables.ids.get_mut(id).map_or(1, |record| {
            record.started += 1;
            record.started
        })
    }

    /// Counts a completed execution.
    pub fn complete(&self, execution: Execution<'_>) {
        let mut tables = self.lock();
        tables.total(execution.method).completed += 1;
        if let Some(record) = execution.id.and_then(|id| tables.ids.get_mut(id)) {
            record.completed += 1;
        }
    }

    /// Returns the counts so far.
    pub fn summary(&self) -> Summary {
        let tables = self.lock();
        let repeated = tables.ids.iter().filter(|(_, record)| record.started > 1);
        let mut repeated: Vec<_> = repeated.map(|(id, _)| id.clone()).collect();
        repeated.sort();
        Summary {
            totals: tables.totals.clone(),
            ids: tables.ids.clone().into_iter().collect(),
            repeated,
            keys: tables.keys.clone().into_iter().collect(),
            without_id: tables.without_id,
            dropped: tables.dropped,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Tables> {
        self.tables
            .lock()
            .expect("no thread panics while it holds the ledger")
    }
}

impl Tables {
    fn total(&mut self, method: &str) -> &mut Total {
        if !self.totals.contains_key(method) {
            self.totals.insert(method.to_owned(), Total::default());
        }
        self.totals
            .get_mut(method)
            .expect("the total was inserted above")
    }

    fn count_key(&mut self, execution: Execution<'_>, limit: usize) {
        let key_name = format!("{}/{}", execution.service, execution.key);
        if let Some(count) = self.keys.get_mut(&key_name) {
            *count += 1;
        } else if self.keys.len() < limit {
            self.keys.insert(key_name, 1);
        } else {
            self.dropped += 1;
        }
    }

    fn insert(&mut self, id: &str, execution: Execution<'_>, limit: usize) {
        if self.ids.len() >= limit
            && let Some(oldest) = self.id_order.pop_front()
        {
            self.ids.remove(&oldest);
            self.dropped += 1;
        }
        let record = Record {
            method: execution.method.to_owned(),
            service: execution.service.to_owned(),
            key: execution.key.to_owned(),
            ..Record::default()
        };
        self.ids.insert(id.to_owned(), record);
        self.id_order.push_back(id.to_owned());
    }
}
