//! What a process has used, as the kernel counts it.

use std::fs;
use std::time::Duration;

/// Clock ticks a second of `/proc/PID/stat`; Linux fixes it for user programs.
const TICKS: u64 = 100;

/// Processor time of a process so far, user and system.
pub fn cpu_time(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name in the second field may hold blanks, so count from its end.
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let mut fields = rest.split(' ').skip(11);
    let mut next = || fields.next().and_then(|field| field.parse::<u64>().ok());
    let ticks = next().unwrap_or(0) + next().unwrap_or(0);
    Duration::from_millis(ticks * 1_000 / TICKS)
}

/// Resident memory of a process, in bytes.
pub fn resident_memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
