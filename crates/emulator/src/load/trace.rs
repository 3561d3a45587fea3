//! Arrivals read from a trace file of one JSON object a line.

use std::collections;
use std::io;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::rand_core::SeedableRng as _;
use serde::Deserialize;

use crate::load;
use crate::load::arrival;

/// Bodies of at least so many bytes count as uploads.
pub const UPLOAD_BYTES: u64 = 64 * 1024;

/// Longest line, in bytes.
const MAX_LINE: u64 = 16 * 1024;

/// Keys whose requests are counted to tell the hottest ones.
const MAX_COUNTED: usize = 1 << 16;

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
    number: u64,
    last: Duration,
    limit: Duration,
    hot_ranks: u64,
    counts: collections::HashMap<String, u64>,
    total: u64,
    random: rand_chacha::ChaCha8Rng,
}

impl<R> Trace<R>
where
    R: io::BufRead,
{
    /// Replays `lines` up to `limit`.
    ///
    /// A key counts as hot while it has more than its share of `1 / (4 * hot_ranks)`
    /// of the requests so far.
    pub fn new(lines: R, seed: u64, limit: Duration, hot_ranks: u64) -> Self {
        Self {
            lines,
            number: 0,
            last: Duration::ZERO,
            limit,
            hot_ranks,
            counts: collections::HashMap::new(),
            total: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn read_line(&mut self) -> Result<Option<Line>, load::Error> {
        loop {
            let mut text = String::new();
            let mut bounded = io::Read::take(&mut self.lines, MAX_LINE);
            let length = io::BufRead::read_line(&mut bounded, &mut text);
            self.number += 1;
            let length = length.map_err(|error| self.damaged(&error))?;
            if length == 0 {
                return Ok(None);
            }
            if text.trim().is_empty() {
                continue;
            }
            let line = serde_json::from_str(&text);
            return line.map(Some).map_err(|error| self.damaged(&error));
        }
    }

    fn damaged<E>(&self, error: &E) -> load::Error
    where
        E: std::fmt::Display,
    {
        load::Error::Trace {
            line: self.number,
            detail: error.to_string(),
        }
    }

    fn is_hot(&mut self, line: &Line) -> bool {
        self.total += 1;
        let name = format!("{}/{}", line.service, line.key);
        let room = self.counts.len() < MAX_COUNTED;
        let count = match self.counts.get_mut(&name) {
            Some(count) => count,
            None if room => self.counts.entry(name).or_default(),
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
        let at = Duration::try_from_secs_f64(line.at_ms / 1e3);
        let at = at.map_err(|error| self.damaged(&error))?;
        if at < self.last {
            return Err(self.damaged(&"the lines are not in order of at_ms"));
        }
        self.last = at;
        if at >= self.limit {
            return Ok(None);
        }
        let method = http::Method::from_bytes(line.method.as_bytes());
        let method = method.map_err(|error| self.damaged(&error))?;
        let kind = match line.method.as_str() {
            "GET" | "HEAD" => arrival::Kind::Read,
            _ if line.body_bytes >= UPLOAD_BYTES => arrival::Kind::Upload,
            _ => arrival::Kind::Write,
        };
        let hot = self.is_hot(&line);
        Ok(Some(arrival::Arrival {
            at,
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
