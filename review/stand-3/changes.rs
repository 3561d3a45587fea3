//! Hundreds of changes of a configuration with many routes, then a kill of all directors at once.
mod deployment;
use deployment::*;
use std::path::Path;
use std::process::ExitCode;
use std::thread;

/// Memory of the machine of a director, as its settings state it.
const MEMORY: u64 = 256 << 20;
const DIRECTORS: usize = 3;
/// Routes of the configuration besides the first three.
const ROUTES: usize = 1500;
const CHANGES: u64 = 300;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&Path::new(&folder).join("record.txt"));
    let place = Place::new();
    let seeds = place.seeds(DIRECTORS);
    let directors: Vec<_> = (0..DIRECTORS).map(|index| place.director(index, &seeds)).collect();
    let platform = Platform::new(directors, MEMORY, &record);
    if !configure(&seeds, 0, &document(1, 0), ms(15_000)) {
        cannot_run("the first configuration was not acknowledged");
    }
    record.line(&format!("the first configuration is acknowledged; peaks in MiB: {:?}", platform.peaks()));
    let bytes = document(2, ROUTES).len();
    record.line(&format!("{CHANGES} changes of a configuration of {} routes and {bytes} bytes", ROUTES + 3));
    let mut acknowledged = 1;
    for version in 2..=CHANGES + 1 {
        if !configure(&seeds, acknowledged, &document(version, ROUTES), ms(10_000)) {
            record.line(&format!("version {version} has no acknowledgement after 10 s"));
            break;
        }
        acknowledged = version;
    }
    record.line(&format!("version {acknowledged} is acknowledged; peaks in MiB: {:?}", platform.peaks()));
    if acknowledged != CHANGES + 1 || platform.ends().iter().any(|count| *count > 0) {
        record.line("the changes alone were too much");
    }
    if has_trouble {
        for index in 0..DIRECTORS {
            place.write_director(index, &seeds, false);
        }
        platform.kill_all(&record);
    }
    // All processes of the core are back within a second; `recovery` is 15 s.
    thread::sleep(ms(16_000));
    let read = read_config(&seeds, ms(5000));
    let newest = format!("{{\"version\":\"r{acknowledged}\"");
    let is_broken = !read.as_ref().is_some_and(|read| read.starts_with(&newest));
    let what = read.map_or("no configuration".to_owned(), |read| read.chars().take(18).collect());
    record.line(&format!("read back for 5 s, 16 s later: {what}; version {acknowledged} was acknowledged"));
    record.line(&format!("ends of the processes by themselves: {:?}; peaks since the last starts in MiB: {:?}", platform.ends(), platform.peaks()));
    platform.stop();
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}
