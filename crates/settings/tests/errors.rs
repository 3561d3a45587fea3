//! Error messages for settings files, as operators see them.
//!
//! `scenarios/text` has whole files; `scenarios/values` changes values of the
//! valid files in `documents`.

#![allow(clippy::unwrap_used)]

use std::path;

use sequoiayoke_settings::{self as settings, check, common, control, load, node, standin};

fn check_text<T>(text: &str) -> String
where
    T: serde::de::DeserializeOwned + check::Check,
{
    match settings::parse::<T>(path::Path::new("file.jsonc"), text.as_bytes()) {
        Ok(_) => "valid\n".to_owned(),
        Err(report) => format!("{report}\n"),
    }
}

fn check_role(role: &str, text: &str) -> String {
    match role {
        "control" => check_text::<control::Control>(text),
        "node" => check_text::<node::Node>(text),
        "standin" => check_text::<standin::Standin>(text),
        "load" => check_text::<load::Load>(text),
        unknown => panic!("no role {unknown}"),
    }
}

/// Guards against errors without a position or field, and against wrong line numbers after a
/// comment of several lines.
#[test]
fn malformed_files_report_position_and_field() {
    datadriven::walk("tests/scenarios/text", |file| {
        file.run(|case| check_role(&case.directive, &case.input));
    });
}

fn document(role: &str) -> serde_json::Value {
    let text = match role {
        "control" => include_str!("documents/control.jsonc"),
        "node" => include_str!("documents/node.jsonc"),
        "standin" => include_str!("documents/standin.jsonc"),
        "load" => include_str!("documents/load.jsonc"),
        unknown => panic!("no role {unknown}"),
    };
    settings::document::parse(text.as_bytes()).unwrap()
}

/// Sets the value at a JSON pointer; adds the fields of the pointer that are missing.
fn set(document: &mut serde_json::Value, pointer: &str, value: serde_json::Value) {
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    for (end, _) in parent.match_indices('/').chain([(parent.len(), "")]) {
        let section = document.pointer(&parent[..end]);
        if section.is_none() {
            set(document, &parent[..end], serde_json::json!({}));
        }
    }
    match document.pointer_mut(parent).unwrap() {
        serde_json::Value::Array(items) => items[field.parse::<usize>().unwrap()] = value,
        object => object[field] = value,
    }
}

/// Guards against a bound or a cross-check that accepts an invalid value, and
/// against reports that stop at the first of several problems.
#[test]
fn invalid_values_are_all_reported() {
    datadriven::walk("tests/scenarios/values", |file| {
        file.run(|case| {
            let mut document = document(&case.directive);
            for line in case.input.lines() {
                let (pointer, value) = line.split_once(" = ").unwrap();
                set(&mut document, pointer, serde_json::from_str(value).unwrap());
            }
            check_role(&case.directive, &document.to_string())
        });
    });
}

/// Guards against errors for unreadable or too large files that do not contain the file name.
#[test]
fn unreadable_files_are_reported_by_name() {
    let directory = tempfile::tempdir().unwrap();
    let missing = directory.path().join("missing.jsonc");
    let report = settings::load::<node::Node, _>(&missing).unwrap_err();
    assert!(report.to_string().contains("missing.jsonc"), "{report}");
    assert!(format!("{report:?}").contains("No such file"), "{report:?}");

    let large = directory.path().join("large.jsonc");
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
fn secrets_are_not_printed() {
    let text = include_str!("documents/node.jsonc");
    let node: node::Node = settings::parse(path::Path::new("node"), text.as_bytes()).unwrap();
    let printed = format!("{node:?}{}", serde_json::to_string(&node).unwrap());
    assert!(!printed.contains("replace-this-placeholder"), "{printed}");
    assert_eq!(node.secret, common::Secret::new("replace-this-placeholder"));
}
