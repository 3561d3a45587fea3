//! Processor time and memory of this process, read from `/proc/self`.

use std::collections::BTreeMap;
use std::fs;

use opentelemetry::{KeyValue, metrics as otel};

/// Maximum number of distinct thread names. Further names are counted as `other`.
const MAX_THREAD_NAMES: usize = 32;

/// Registers the metrics of the process, which are measured when metrics are rendered.
pub(crate) fn register(meter: &otel::Meter) {
    meter
        .f64_observable_counter("process_cpu")
        .with_unit("s")
        .with_description("Processor time of the process, in user and system mode.")
        .with_callback(|observer| {
            if let Some(seconds) = cpu_seconds() {
                observer.observe(seconds, &[]);
            }
        })
        .build();
    meter
        .u64_observable_gauge("process_resident_memory")
        .with_unit("By")
        .with_description("Resident memory of the process.")
        .with_callback(|observer| {
            if let Some(bytes) = resident_bytes() {
                observer.observe(bytes, &[]);
            }
        })
        .build();
    meter
        .f64_observable_gauge("thread_cpu")
        .with_unit("s")
        .with_description("Processor time of the running threads, by name without its number.")
        .with_callback(|observer| {
            for (name, seconds) in thread_seconds() {
                observer.observe(seconds, &[KeyValue::new("thread", name)]);
            }
        })
        .build();
}

/// Returns the user and system time in seconds, from fields 14 and 15 of `/proc/self/stat`,
/// which are in clock ticks.
fn cpu_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The program name in parentheses may contain spaces. The fields after it do not.
    let (_, rest) = text.rsplit_once(')')?;
    let mut ticks = rest.split_whitespace().skip(11);
    let user: u64 = ticks.next()?.parse().ok()?;
    let system: u64 = ticks.next()?.parse().ok()?;
    let per_second = rustix::param::clock_ticks_per_second();
    Some((user + system) as f64 / per_second as f64)
}

/// Returns the resident memory in bytes, from field 2 of `/proc/self/statm`, which is in pages.
fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    pages.checked_mul(u64::try_from(rustix::param::page_size()).ok()?)
}

/// Returns the processor time of the threads in seconds, summed by name, from `schedstat`.
fn thread_seconds() -> BTreeMap<String, f64> {
    let mut times = BTreeMap::<String, f64>::new();
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return times;
    };
    for thread in threads.flatten() {
        // A thread may end while its files are read.
        let path = thread.path();
        let Some((name, seconds)) = thread_name(&path).zip(thread_time(&path)) else {
            continue;
        };
        let is_counted = times.contains_key(&name) || times.len() < MAX_THREAD_NAMES;
        let name = if is_counted { name } else { "other".to_owned() };
        *times.entry(name).or_default() += seconds;
    }
    times
}

fn thread_name(path: &std::path::Path) -> Option<String> {
    let name = fs::read_to_string(path.join("comm")).ok()?;
    let base_name = name
        .trim()
        .trim_end_matches(|character: char| character.is_ascii_digit());
    Some(base_name.trim_end_matches(['-', '_']).to_owned())
}

fn thread_time(path: &std::path::Path) -> Option<f64> {
    let text = fs::read_to_string(path.join("schedstat")).ok()?;
    let nanoseconds: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds as f64 / 1e9)
}
