//! Resource usage of a process, as the kernel counts it.

use std::fs;
use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`, which Linux fixes for user space.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the processor time that a process has used so far, in user and system mode.
pub fn cpu_time(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The program name in the second field may contain spaces, so fields are counted from its end.
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let mut fields = rest.split(' ').skip(11);
    let mut next_ticks = || fields.next().and_then(|field| field.parse::<u64>().ok());
    let ticks = next_ticks().unwrap_or(0) + next_ticks().unwrap_or(0);
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
pub fn resident_memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
