//! `docs/settings.md` against the types.

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

fn join(section: &str, name: &str) -> String {
    match section {
        "" => name.to_owned(),
        section => format!("{section}.{name}"),
    }
}

fn table(sections: Sections) -> String {
    let mut text =
        "| setting | unit | default | bound | meaning |\n|---|---|---|---|---|\n".to_owned();
    for (section, fields) in sections {
        for field in *fields {
            text.push_str(&format!(
                "| `{}` | {} | {} | {} | {} |\n",
                join(section, field.name),
                field.unit,
                field.default,
                field.bound,
                field.about.trim()
            ));
        }
    }
    text
}

/// Guards against a page that names another unit, default or bound than the code.
#[test]
fn the_page_lists_every_setting() {
    for (role, sections) in ROLES {
        let table = table(sections);
        assert!(
            PAGE.contains(&format!("## `{role}`\n")) && PAGE.contains(&table),
            "docs/settings.md lacks this table below `{role}`:\n{table}"
        );
    }
}

fn leaves(value: &serde_json::Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (name, value) in fields {
                leaves(value, &join(path, name), found);
            }
        }
        serde_json::Value::Array(items) if items.iter().all(serde_json::Value::is_object) => {
            found.insert(path.to_owned());
            for item in items {
                leaves(item, &format!("{path}[]"), found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

fn covered<T>(role: &str, example: &str)
where
    T: serde::Serialize + serde::de::DeserializeOwned + check::Check,
{
    let settings: T = settings::parse(path::Path::new(role), example.as_bytes()).unwrap();
    let mut found = BTreeSet::new();
    leaves(&serde_json::to_value(&settings).unwrap(), "", &mut found);
    let (_, sections) = ROLES.iter().find(|(name, _)| *name == role).unwrap();
    let listed: BTreeSet<_> = sections
        .iter()
        .flat_map(|(section, fields)| fields.iter().map(|field| join(section, field.name)))
        .collect();
    assert_eq!(found, listed, "{role}");
}

/// Guards against a field that was added to a type but not to its descriptions.
#[test]
fn every_field_is_described() {
    covered::<control::Control>("control", include_str!("documents/control.jsonc"));
    covered::<node::Node>("node", include_str!("documents/node.jsonc"));
    covered::<gateway::Gateway>("gateway", include_str!("documents/gateway.jsonc"));
    covered::<director::Director>("director", include_str!("documents/director.jsonc"));
    covered::<standin::Standin>("standin", include_str!("documents/standin.jsonc"));
    covered::<load::Load>("load", include_str!("documents/load.jsonc"));
}

/// Guards against a default that its own check refuses.
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
