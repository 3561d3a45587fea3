//! Arrivals read from a trace file of one JSON object per line.

use std::collections;
use std::io;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::rand_core::SeedableRng as _;
use serde::Deserialize;

use crate::load;
use crate::load::arrival;

/// Smallest body that counts as an upload, in bytes.
pub const UPLOAD_BYTES: u64 = 64 * 1024;

/// Longest line, in bytes.
const MAX_LINE_BYTES: u64 = 16 * 1024;

/// Number of keys whose requests are counted to find the hottest ones.
const MAX_COUNTED_KEYS: usize = 1 << 16;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: f64,
    method: String,
    service: String,
    key: String,
    scope: Option<String>,
    #[serde(default)]
    body_bytes: u64,
}

/// Arrivals of a trace.
#[derive(Debug)]
pub struct Trace<R> {
    lines: R,
    line_number: u64,
    previous_due: Duration,
    duration: Duration,
    hot_ranks: u64,
    counts: collections::HashMap<String, u64>,
    total: u64,
    random: rand_chacha::ChaCha8Rng,
}

impl<R> Trace<R>
where
    R: io::BufRead,
{
    /// Creates a source that replays `lines` up to `duration`.
    ///
    /// A key counts as hot while more than `1 / (4 * hot_ranks)` of the requests so far
    /// were for it.
    pub fn new(lines: R, seed: u64, duration: Duration, hot_ranks: u64) -> Self {
        Self {
            lines,
            line_number: 0,
            previous_due: Duration::ZERO,
            duration,
            hot_ranks,
            counts: collections::HashMap::new(),
            total: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn read_line(&mut self) -> Result<Option<Line>, load::Error> {
        loop {
            let mut text = String::new();
            let mut bounded = io::Read::take(&mut self.lines, MAX_LINE_BYTES);
            let length = io::BufRead::read_line(&mut bounded, &mut text);
            self.line_number += 1;
            let length = length.map_err(|error| self.line_error(&error))?;
            if length == 0 {
                return Ok(None);
            }
            if text.trim().is_empty() {
                continue;
            }
            let line = serde_json::from_str(&text);
            return line.map(Some).map_err(|error| self.line_error(&error));
        }
    }

    fn line_error<E>(&self, error: &E) -> load::Error
    where
        E: std::fmt::Display,
    {
        load::Error::Trace {
            line: self.line_number,
            detail: error.to_string(),
        }
    }

    fn is_hot(&mut self, line: &Line) -> bool {
        self.total += 1;
        let key_name = format!("{}/{}", line.service, line.key);
        let has_capacity = self.counts.len() < MAX_COUNTED_KEYS;
        let count = match self.counts.get_mut(&key_name) {
            Some(count) => count,
            None if has_capacity => self.counts.entry(key_name).or_default(),
            None => return false,
        };
        *count += 1;
        *count * 4 * self.hot_ranks > self.total && *count > 1
    }
}

impl<R> arrival::Source for Trace<R>
where
    R: io::BufRead,
{
    fn next(&mut self) -> Result<Option<arrival::Arrival>, load::Error> {
        let Some(line) = self.read_line()? else {
            return Ok(None);
        };
        let due = Duration::try_from_secs_f64(line.at_ms / 1e3);
        let due = due.map_err(|error| self.line_error(&error))?;
        if due < self.previous_due {
            return Err(self.line_error(&"the lines are not in order of at_ms"));
        }
        self.previous_due = due;
        if due >= self.duration {
            return Ok(None);
        }
        let method = http::Method::from_bytes(line.method.as_bytes());
        let method = method.map_err(|error| self.line_error(&error))?;
        let kind = match line.method.as_str() {
            "GET" | "HEAD" => arrival::Kind::Read,
            _ if line.body_bytes >= UPLOAD_BYTES => arrival::Kind::Upload,
            _ => arrival::Kind::Write,
        };
        let hot = self.is_hot(&line);
        Ok(Some(arrival::Arrival {
            due,
            kind,
            method,
            service: line.service,
            key: line.key,
            scope: line.scope,
            body_bytes: line.body_bytes,
            hot,
            salt: self.random.random(),
        }))
    }
}
