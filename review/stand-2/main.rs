//! Stand-ins for clients, servers and the platform, and the cases of the second review.
//!
//! `stand CASE FOLDER` plays a case and writes `record.txt` in FOLDER. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod deployment;
mod http;
mod memory;
mod quorum;
mod record;
mod reuse;
mod server;
mod silent;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.line(format!("case {case}, trouble: {has_trouble}"));
    let verdict = match case.as_str() {
        "memory" => memory::play(&record, has_trouble),
        "quorum" => quorum::play(&record, has_trouble),
        "reuse" => reuse::play(&record, has_trouble),
        "silent" => silent::play(&record, has_trouble),
        _ => Verdict::NotRun("there is no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("held".to_owned(), 0),
        Verdict::Broken(text) => (format!("BROKEN: {text}"), 1),
        Verdict::NotRun(text) => (format!("could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
