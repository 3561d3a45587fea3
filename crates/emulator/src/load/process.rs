//! Processor time of other processes.

use std::fs;

use serde::Serialize;

/// Ticks per second in `/proc/PID/stat`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;

/// Processor time that a process has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Process id.
    pub pid: u32,
    /// User and system time, in milliseconds.
    pub cpu_ms: u64,
}

/// Processor time that a process used during a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Process id.
    pub pid: u32,
    /// Microseconds for each finished request of the run.
    pub us_per_request: f64,
    /// Cores in use on average.
    pub cores: f64,
}

impl Usage {
    /// Parses the line of `/proc/PID/stat`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_emulator::load::process;
    ///
    /// let line = "7 (a) b) S 1 7 7 0 -1 4 100 0 0 0 250 50 0 0 20 0 3 0 9 1 2";
    /// let usage = process::Usage::parse(7, line).expect("the line is complete");
    /// assert_eq!(usage.cpu_ms, 3_000);
    /// ```
    pub fn parse(pid: u32, line: &str) -> Option<Self> {
        // The command name may contain spaces and parentheses, so the fields are counted from
        // the last closing one.
        let (_, fields) = line.rsplit_once(')')?;
        let mut fields = fields.split_whitespace().skip(11);
        let user: u64 = fields.next()?.parse().ok()?;
        let system: u64 = fields.next()?.parse().ok()?;
        let cpu_ms = (user + system) * 1_000 / TICKS_PER_SECOND;
        Some(Self { pid, cpu_ms })
    }

    /// Reads the usage of a process, if it exists.
    pub fn read(pid: u32) -> Option<Self> {
        let line = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        Self::parse(pid, &line)
    }

    /// Reads the usage of the processes that exist.
    pub fn read_all(pids: &[u32]) -> Vec<Self> {
        pids.iter().filter_map(|pid| Self::read(*pid)).collect()
    }

    /// Returns the difference to the current usage; processes that have ended are omitted.
    pub fn compare(start_usages: &[Self], seconds: f64, requests: u64) -> Vec<Cost> {
        let costs = start_usages.iter().filter_map(|start_usage| {
            let current = Self::read(start_usage.pid)?;
            let used_ms = current.cpu_ms.saturating_sub(start_usage.cpu_ms) as f64;
            Some(Cost {
                pid: start_usage.pid,
                us_per_request: used_ms * 1e3 / requests.max(1) as f64,
                cores: used_ms / 1e3 / seconds,
            })
        });
        costs.collect()
    }
}
