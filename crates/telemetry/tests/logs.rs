//! Log lines: stable fields, filters, and no control characters in files.

#![allow(clippy::unwrap_used)]

use std::io;
use std::sync::{Arc, Mutex};
use std::time;

use sequoiayoke_model::{id, key, outcome, request};
use sequoiayoke_settings::common;
use sequoiayoke_telemetry::{decision, log};

const PAGE: &str = include_str!("../../../docs/logs.md");

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_output<E>(format: common::Format, level: &str, events: E) -> String
where
    E: FnOnce(),
{
    let buffer = Buffer::default();
    let writer = buffer.clone();
    let settings = common::Log {
        level: level.to_owned(),
        format,
    };
    let subscriber = log::subscriber(&settings, move || writer.clone(), false).unwrap();
    tracing::subscriber::with_default(subscriber, events);
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

fn route(outcome: outcome::Outcome) {
    decision::Route {
        service: "refunds",
        hash: key::Hash(0x2a),
        owner: Some("ank-refunds-1"),
        epoch: Some(id::Epoch(41)),
        outcome,
        elapsed: time::Duration::from_micros(1500),
        request: Some(request::Id::new(id::Epoch(41), 7, 9)),
    }
    .log();
}

fn placement() {
    decision::Placement {
        service: "refunds",
        first: key::Hash(0),
        from: Some("ank-refunds-1"),
        to: Some("ank-refunds-2"),
        epoch: Some(id::Epoch(43)),
        cause: "drain",
    }
    .log();
}

/// Returns the field names in the table below the heading `section` of `docs/logs.md`.
fn documented_fields(section: &str) -> Vec<String> {
    let (_, text) = PAGE.split_once(&format!("## {section}\n")).unwrap();
    let rows = text.split("\n## ").next().unwrap().lines();
    let mut names: Vec<_> = rows
        .filter_map(|row| Some(row.strip_prefix("| `")?.split_once('`')?.0.to_owned()))
        .collect();
    names.sort();
    names
}

fn fields(line: &str) -> Vec<String> {
    let line: serde_json::Map<String, serde_json::Value> = serde_json::from_str(line).unwrap();
    let common = ["timestamp", "level", "target", "message"];
    assert!(
        common.iter().all(|name| line.contains_key(*name)),
        "{line:?}"
    );
    line.keys()
        .filter(|name| !common.contains(&name.as_str()))
        .cloned()
        .collect()
}

/// Guards against a field that is renamed, added or removed without a change of its documentation.
#[test]
fn decisions_have_the_documented_fields() {
    let unknown = outcome::Outcome::Unknown(outcome::Reason::ConnectionLost);
    let line = log_output(common::Format::Json, "info", || route(unknown));
    assert_eq!(fields(&line), documented_fields("Routing decisions"));
    assert!(line.contains("\"level\":\"WARN\""), "{line}");
    assert!(line.contains("\"hash\":\"000000000000002a\""), "{line}");
    assert!(line.contains("\"elapsed_us\":1500"), "{line}");

    let line = log_output(common::Format::Json, "info", placement);
    assert_eq!(fields(&line), documented_fields("Placement decisions"));
}

/// Guards against routing lines that cannot be filtered separately, so that a busy node cannot
/// turn off those of answered requests.
#[test]
fn routing_lines_have_a_separate_target() {
    let text = log_output(common::Format::Json, "info,sequoiayoke::route=warn", || {
        route(outcome::Outcome::Answered(200));
        placement();
    });
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("placed"), "{text}");
}

/// Guards against escape sequences for colours in log files.
#[test]
fn human_lines_have_no_escapes_without_a_terminal() {
    let text = log_output(common::Format::Human, "info", placement);
    assert!(!text.contains('\u{1b}'), "{text:?}");
    assert!(text.contains("cause=\"drain\""), "{text}");
}

/// Guards against a mistyped filter that is accepted and silently drops all lines.
#[test]
fn a_malformed_filter_is_an_error() {
    let settings = common::Log {
        level: "info,sequoiayoke=loud".to_owned(),
        format: common::Format::Human,
    };
    let report = log::subscriber(&settings, io::sink, false).err().unwrap();
    assert!(report.to_string().contains("`log.level`"), "{report}");
}
