//! Generates the request traces of the example deployments.
//!
//! ```text
//! cargo run --example trace -- ankesor > examples/ankesor/trace.jsonl
//! ```
//!
//! The same name always gives the same trace.

use std::io::{self, Write as _};
use std::process;

use rand::{RngExt as _, SeedableRng as _};

/// Requests in a trace.
const REQUESTS: usize = 400;

/// Longest time between two requests, in milliseconds.
const MAX_GAP_MS: u64 = 20;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    /// Time since the start of the trace, in milliseconds.
    pub(crate) at_ms: u64,
    /// Name of the caller.
    pub(crate) caller: String,
    /// Name of the service.
    pub(crate) service: String,
    /// Key in the service.
    pub(crate) key: String,
    /// HTTP method.
    pub(crate) method: String,
    /// Path after the key.
    pub(crate) path: String,
    /// Whether the request may run twice; if not, it carries a request id.
    pub(crate) idempotent: bool,
    /// Size of the body, in bytes.
    pub(crate) body_bytes: u64,
    /// Longest time that the caller waits for the answer, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// A kind of request, and its share of the trace in percent.
struct Kind {
    share: u32,
    callers: &'static [&'static str],
    service: &'static str,
    /// Prefix and number of the keys.
    key: (&'static str, u32),
    method: &'static str,
    path: &'static str,
    idempotent: bool,
    /// Smallest and largest size of the body, in bytes.
    body: (u64, u64),
    deadline_ms: u64,
}

const KIOSKS: (&str, u32) = ("kiosk", 400);
const ORDERS: (&str, u32) = ("order", 900);
const LOTS: (&str, u32) = ("lot", 600);
const ENTRIES: (&str, u32) = ("entry", 300);
const MILLS: &[&str] = &[
    "mill-ayutthaya",
    "mill-suphan",
    "mill-nakhon",
    "mill-chainat",
];

macro_rules! kinds {
    ($($share:literal $callers:expr, $method:literal $service:literal $key:expr, $path:literal,
        $idempotent:literal, $low:literal..=$high:literal bytes, $deadline:literal ms;)+) => {
        &[$(Kind {
            share: $share,
            callers: $callers,
            service: $service,
            key: $key,
            method: $method,
            path: $path,
            idempotent: $idempotent,
            body: ($low, $high),
            deadline_ms: $deadline,
        },)+]
    };
}

const ANKESOR: &[Kind] = kinds! {
    30 &["workshops"], "GET" "kiosk-status" KIOSKS, "status", true, 0..=0 bytes, 2000 ms;
    25 &["kiosks"], "PUT" "kiosk-status" KIOSKS, "status", true, 80..=400 bytes, 2000 ms;
    12 &["refund-desk"], "POST" "refunds" KIOSKS, "refund", false, 120..=300 bytes, 5000 ms;
    5 &["refund-desk"], "GET" "refunds" KIOSKS, "list", true, 0..=0 bytes, 2000 ms;
    10 &["workshops"], "POST" "repair-orders" ORDERS, "note", false, 200..=2000 bytes, 5000 ms;
    8 &["workshops"], "GET" "repair-orders" ORDERS, "", true, 0..=0 bytes, 2000 ms;
    4 &["workshops"], "PUT" "photos" ORDERS, "photo", true, 200000..=1500000 bytes, 30000 ms;
    3 &["workshops"], "GET" "photos" ORDERS, "photo", true, 0..=0 bytes, 10000 ms;
    3 &["workshops"], "POST" "parts" ("part", 120), "take", false, 40..=120 bytes, 5000 ms;
};

const CHAO_PHRAYA: &[Kind] = kinds! {
    35 &["piers"], "GET" "queue-board" ENTRIES, "", true, 0..=0 bytes, 1000 ms;
    15 &["piers"], "PUT" "queue-board" ENTRIES, "place", true, 60..=200 bytes, 1000 ms;
    10 MILLS, "POST" "intake" LOTS, "weighing", false, 200..=800 bytes, 5000 ms;
    8 MILLS, "GET" "intake" LOTS, "", true, 0..=0 bytes, 2000 ms;
    8 MILLS, "GET" "quality" LOTS, "report", true, 0..=0 bytes, 2000 ms;
    4 MILLS, "PUT" "quality" LOTS, "photo", true, 100000..=900000 bytes, 30000 ms;
    7 MILLS, "POST" "reservations" LOTS, "hold", false, 80..=200 bytes, 5000 ms;
    6 &["piers"], "POST" "vouchers" ENTRIES, "issue", false, 100..=300 bytes, 5000 ms;
    7 &["bank"], "POST" "payments" LOTS, "pay", false, 150..=400 bytes, 10000 ms;
};

/// Returns the trace of the deployment `name`, if there is such a deployment.
pub(crate) fn trace(name: &str) -> Option<Vec<Request>> {
    let (seed, kinds) = match name {
        "ankesor" => (1, ANKESOR),
        "chao-phraya" => (2, CHAO_PHRAYA),
        _ => return None,
    };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = 0;
    let requests = (0..REQUESTS).map(|_| {
        at_ms += rng.random_range(0..=MAX_GAP_MS);
        request(kinds, at_ms, &mut rng)
    });
    Some(requests.collect())
}

fn request(kinds: &[Kind], at_ms: u64, rng: &mut rand_chacha::ChaCha8Rng) -> Request {
    let total = kinds.iter().map(|kind| kind.share).sum();
    let mut offset = rng.random_range(0..total);
    let chosen = kinds.iter().find(|kind| {
        let is_chosen = offset < kind.share;
        offset = offset.wrapping_sub(kind.share);
        is_chosen
    });
    let kind = chosen.expect("the number is less than the sum of the shares");
    let (prefix, keys) = kind.key;
    // Skews the requests towards hot keys: a fifth of the keys get half of the requests.
    let uniform: f64 = rng.random();
    let key = (f64::from(keys) * uniform.powf(2.3)) as u32 + 1;
    Request {
        at_ms,
        caller: kind.callers[rng.random_range(0..kind.callers.len())].to_owned(),
        service: kind.service.to_owned(),
        key: format!("{prefix}-{key}"),
        method: kind.method.to_owned(),
        path: kind.path.to_owned(),
        idempotent: kind.idempotent,
        body_bytes: rng.random_range(kind.body.0..=kind.body.1),
        deadline_ms: kind.deadline_ms,
    }
}

#[allow(dead_code, reason = "the test of the examples uses `trace` only")]
fn main() -> process::ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let Some(requests) = trace(&name) else {
        eprintln!("usage: trace ankesor|chao-phraya");
        return process::ExitCode::from(2);
    };
    let mut stdout = io::stdout().lock();
    for request in &requests {
        let line = serde_json::to_string(request).expect("a request has text and numbers only");
        if writeln!(stdout, "{line}").is_err() {
            return process::ExitCode::FAILURE;
        }
    }
    process::ExitCode::SUCCESS
}
