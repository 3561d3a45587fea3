//! Compares `docs/settings.md` with the types.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::path;

use sequoiayoke_settings::{
    self as settings, check, control, director, field, gateway, load, node, standin,
};

const PAGE: &str = include_str!("../../../docs/settings.md");

type Sections = &'static [(&'static str, &'static [field::Field])];

const ROLES: &[(&str, Sections)] = &[
    ("control", control::Control::SECTIONS),
    ("node", node::Node::SECTIONS),
    ("gateway", gateway::Gateway::SECTIONS),
    ("director", director::Director::SECTIONS),
    ("standin", standin::Standin::SECTIONS),
    ("load", load::Load::SECTIONS),
];

fn join_path(section: &str, name: &str) -> String {
    match section {
        "" => name.to_owned(),
        section => format!("{section}.{name}"),
    }
}

fn format_table(sections: Sections) -> String {
    let mut text =
        "| setting | unit | default | bound | meaning |\n|---|---|---|---|---|\n".to_owned();
    for (section, fields) in sections {
        for field in *fields {
            text.push_str(&format!(
                "| `{}` | {} | {} | {} | {} |\n",
                join_path(section, field.name),
                field.unit,
                field.default,
                field.bound,
                field.about.trim()
            ));
        }
    }
    text
}

/// Guards against a page whose units, defaults, bounds or meanings differ from the code.
#[test]
fn the_page_lists_every_setting() {
    for (role, sections) in ROLES {
        let table = format_table(sections);
        assert!(
            PAGE.contains(&format!("## `{role}`\n")) && PAGE.contains(&table),
            "docs/settings.md lacks this table below `{role}`:\n{table}"
        );
    }
}

fn collect_leaf_paths(value: &serde_json::Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (name, value) in fields {
                collect_leaf_paths(value, &join_path(path, name), paths);
            }
        }
        serde_json::Value::Array(items) if items.iter().all(serde_json::Value::is_object) => {
            paths.insert(path.to_owned());
            for item in items {
                collect_leaf_paths(item, &format!("{path}[]"), paths);
            }
        }
        _ => {
            paths.insert(path.to_owned());
        }
    }
}

fn assert_described<T>(role: &str, example: &str)
where
    T: serde::Serialize + serde::de::DeserializeOwned + check::Check,
{
    let settings: T = settings::parse(path::Path::new(role), example.as_bytes()).unwrap();
    let mut paths = BTreeSet::new();
    collect_leaf_paths(&serde_json::to_value(&settings).unwrap(), "", &mut paths);
    let (_, sections) = ROLES.iter().find(|(name, _)| *name == role).unwrap();
    let listed: BTreeSet<_> = sections
        .iter()
        .flat_map(|(section, fields)| fields.iter().map(|field| join_path(section, field.name)))
        .collect();
    assert_eq!(paths, listed, "{role}");
}

/// Guards against a field that is added to a type but not to its descriptions.
#[test]
fn every_field_is_described() {
    assert_described::<control::Control>("control", include_str!("documents/control.jsonc"));
    assert_described::<node::Node>("node", include_str!("documents/node.jsonc"));
    assert_described::<gateway::Gateway>("gateway", include_str!("documents/gateway.jsonc"));
    assert_described::<director::Director>("director", include_str!("documents/director.jsonc"));
    assert_described::<standin::Standin>("standin", include_str!("documents/standin.jsonc"));
    assert_described::<load::Load>("load", include_str!("documents/load.jsonc"));
}

/// Guards against defaults that the check of their section rejects.
#[test]
fn defaults_pass_the_check() {
    let mut problems = check::Problems::new();
    check::Check::check(&control::Timing::default(), &mut problems);
    check::Check::check(&control::Placement::default(), &mut problems);
    check::Check::check(&node::Timing::default(), &mut problems);
    check::Check::check(&node::Limits::default(), &mut problems);
    check::Check::check(&load::Shape::default(), &mut problems);
    assert_eq!(problems.into_vec(), []);
}
