//! Errors of settings files, as an operator sees them.
//!
//! `scenarios/text` has whole texts; `scenarios/values` changes values of the
//! valid documents in `documents`.

#![allow(clippy::unwrap_used)]

use std::path;

use sequoiayoke_settings::{self as settings, check, common, control, load, node, standin};

fn verdict<T>(text: &str) -> String
where
    T: serde::de::DeserializeOwned + check::Check,
{
    match settings::parse::<T>(path::Path::new("file.jsonc"), text.as_bytes()) {
        Ok(_) => "valid\n".to_owned(),
        Err(report) => format!("{report}\n"),
    }
}

fn role_verdict(role: &str, text: &str) -> String {
    match role {
        "control" => verdict::<control::Control>(text),
        "node" => verdict::<node::Node>(text),
        "standin" => verdict::<standin::Standin>(text),
        "load" => verdict::<load::Load>(text),
        other => panic!("no role {other}"),
    }
}

/// Guards against errors without place or field, above all below a comment of several lines.
#[test]
fn malformed_texts_name_their_place() {
    datadriven::walk("tests/scenarios/text", |file| {
        file.run(|case| role_verdict(&case.directive, &case.input));
    });
}

fn document(role: &str) -> serde_json::Value {
    let text = match role {
        "control" => include_str!("documents/control.jsonc"),
        "node" => include_str!("documents/node.jsonc"),
        "standin" => include_str!("documents/standin.jsonc"),
        "load" => include_str!("documents/load.jsonc"),
        other => panic!("no role {other}"),
    };
    settings::document::parse(text.as_bytes()).unwrap()
}

/// Sets the value at a JSON pointer, or adds the last field of the pointer.
fn set(document: &mut serde_json::Value, pointer: &str, value: serde_json::Value) {
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    for (at, _) in parent.match_indices('/').chain([(parent.len(), "")]) {
        let section = document.pointer(&parent[..at]);
        if section.is_none() {
            set(document, &parent[..at], serde_json::json!({}));
        }
    }
    match document.pointer_mut(parent).unwrap() {
        serde_json::Value::Array(items) => items[field.parse::<usize>().unwrap()] = value,
        other => other[field] = value,
    }
}

/// Guards against a bound or a cross check that lets a wrong value through, and
/// against reports that stop at the first of several problems.
#[test]
fn wrong_values_are_all_reported() {
    datadriven::walk("tests/scenarios/values", |file| {
        file.run(|case| {
            let mut document = document(&case.directive);
            for line in case.input.lines() {
                let (pointer, value) = line.split_once(" = ").unwrap();
                set(&mut document, pointer, serde_json::from_str(value).unwrap());
            }
            role_verdict(&case.directive, &document.to_string())
        });
    });
}

/// Guards against an unreadable file that is reported without its name.
#[test]
fn unreadable_files_are_named() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing.jsonc");
    let report = settings::load::<node::Node, _>(&missing).unwrap_err();
    assert!(report.to_string().contains("missing.jsonc"), "{report}");
    assert!(format!("{report:?}").contains("No such file"), "{report:?}");

    let large = folder.path().join("large.jsonc");
    let size = usize::try_from(settings::MAX_FILE_BYTES).unwrap() + 1;
    std::fs::write(&large, vec![b' '; size]).unwrap();
    let report = settings::load::<node::Node, _>(&large).unwrap_err();
    assert!(
        report.to_string().contains("large.jsonc: more than"),
        "{report}"
    );
}

/// Guards against secrets in logs and in printed settings.
#[test]
fn secrets_are_not_shown() {
    let text = include_str!("documents/node.jsonc");
    let node: node::Node = settings::parse(path::Path::new("node"), text.as_bytes()).unwrap();
    let shown = format!("{node:?}{}", serde_json::to_string(&node).unwrap());
    assert!(!shown.contains("replace-this-placeholder"), "{shown}");
    assert_eq!(node.secret, common::Secret::new("replace-this-placeholder"));
}
