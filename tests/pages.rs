//! Compares the pages on log messages and metrics with the sources.

use std::fs;
use std::path::{Path, PathBuf};

const LOGS: &str = include_str!("../docs/logs.md");
const METRICS: &str = include_str!("../docs/metrics.md");

/// Adds the paths of the Rust files below `folder` to `paths`.
fn collect_sources(folder: &Path, paths: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("failed to read a source folder") {
        let path = entry.expect("failed to read a folder entry").path();
        if path.is_dir() {
            collect_sources(&path, paths);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            paths.push(path);
        }
    }
}

/// Returns the sources of the daemons, the gateway, the director and replication.
fn read_sources() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut paths = vec![root.join("src/daemon.rs")];
    for name in ["gateway", "director", "replication"] {
        collect_sources(&root.join("crates").join(name).join("src"), &mut paths);
    }
    let texts = paths
        .iter()
        .map(|path| fs::read_to_string(path).expect("failed to read a source"));
    texts.collect()
}

/// Returns the arguments of each call that begins with `prefix`, which ends with the opening
/// parenthesis.
fn find_calls<'a>(text: &'a str, prefix: &str) -> Vec<&'a str> {
    let mut calls = Vec::new();
    for (start, _) in text.match_indices(prefix) {
        let rest = &text[start + prefix.len()..];
        let mut depth = 1;
        let end = rest.find(|character| {
            depth += i32::from(character == '(') - i32::from(character == ')');
            depth == 0
        });
        calls.push(&rest[..end.expect("a call has no closing parenthesis")]);
    }
    calls
}

/// Guards against a log message that on-call engineers do not find on the page.
#[test]
fn every_log_message_is_on_the_page() {
    let mut missing = Vec::new();
    for text in read_sources() {
        for level in ["info", "warn", "error"] {
            for call in find_calls(&text, &format!("tracing::{level}!(")) {
                let message = call
                    .rsplit('"')
                    .nth(1)
                    .expect("a tracing call has no message");
                if !LOGS.contains(&format!("| {message} |")) {
                    missing.push(message.to_owned());
                }
            }
        }
    }
    assert!(missing.is_empty(), "docs/logs.md lacks {missing:?}");
}

/// Guards against a metric that the page does not document.
#[test]
fn every_metric_is_on_the_page() {
    let mut missing = Vec::new();
    for text in read_sources() {
        for kind in ["counter", "gauge", "histogram"] {
            for call in find_calls(&text, &format!("metrics.{kind}(")) {
                let name = call.split('"').nth(1).expect("a metric has no name");
                let suffix = if kind == "counter" { "_total" } else { "" };
                if !METRICS.contains(&format!("| `sequoiayoke_{name}{suffix}` | {kind} |")) {
                    missing.push(name.to_owned());
                }
            }
        }
    }
    assert!(missing.is_empty(), "docs/metrics.md lacks {missing:?}");
}
