//! The pages on logs and metrics against the sources.

use std::fs;
use std::path::{Path, PathBuf};

const LOGS: &str = include_str!("../docs/logs.md");
const METRICS: &str = include_str!("../docs/metrics.md");

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

/// Returns the sources of gateways and directors.
fn texts() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = vec![root.join("src/daemon.rs")];
    for name in ["gateway", "director", "replication"] {
        sources(&root.join("crates").join(name).join("src"), &mut found);
    }
    let texts = found
        .iter()
        .map(|path| fs::read_to_string(path).expect("a source"));
    texts.collect()
}

/// Returns the arguments of each call of `name`, up to the parenthesis that ends it.
fn calls<'a>(text: &'a str, name: &str) -> Vec<&'a str> {
    let mut found = Vec::new();
    for (start, _) in text.match_indices(name) {
        let rest = &text[start + name.len()..];
        let mut depth = 1;
        let end = rest.find(|letter| {
            depth += i32::from(letter == '(') - i32::from(letter == ')');
            depth == 0
        });
        found.push(&rest[..end.expect("the call ends")]);
    }
    found
}

/// Guards against a line that on-call engineers find nowhere on the page.
#[test]
fn every_message_is_on_the_page() {
    let mut missing = Vec::new();
    for text in texts() {
        for level in ["info", "warn", "error"] {
            for call in calls(&text, &format!("tracing::{level}!(")) {
                let message = call.rsplit('"').nth(1).expect("a message");
                if !LOGS.contains(&format!("| {message} |")) {
                    missing.push(message.to_owned());
                }
            }
        }
    }
    assert!(missing.is_empty(), "docs/logs.md lacks {missing:?}");
}

/// Guards against a metric that the page does not explain.
#[test]
fn every_metric_is_on_the_page() {
    let mut missing = Vec::new();
    for text in texts() {
        for kind in ["counter", "gauge", "histogram"] {
            for call in calls(&text, &format!("metrics.{kind}(")) {
                let name = call.split('"').nth(1).expect("a name");
                let suffix = if kind == "counter" { "_total" } else { "" };
                if !METRICS.contains(&format!("| `sequoiayoke_{name}{suffix}` | {kind} |")) {
                    missing.push(name.to_owned());
                }
            }
        }
    }
    assert!(missing.is_empty(), "docs/metrics.md lacks {missing:?}");
}
