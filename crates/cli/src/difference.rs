//! Differences between two states of an object.

use std::collections::BTreeMap;

use sequoiayoke_api::check;
use serde_json::Value;

use crate::table;

/// Shows what a ticket changes in one object.
pub(crate) fn text(change: &check::Change) -> String {
    let (before, after) = (fields(&change.before), fields(&change.after));
    let word = match (&change.before, &change.after) {
        (None, _) => "new",
        (Some(_), None) => "removed",
        (Some(_), Some(_)) if before == after => "unchanged",
        (Some(_), Some(_)) => "changed",
    };
    let mut table = table::Table::plain();
    for name in before
        .keys()
        .chain(after.keys().filter(|name| !before.contains_key(*name)))
    {
        let (old, new) = (before.get(name), after.get(name));
        if name == "name" || old == new {
            continue;
        }
        let shown = match (old, new) {
            (None, Some(new)) => new.clone(),
            (Some(old), None) => format!("{old} -> none"),
            (Some(old), Some(new)) => format!("{old} -> {new}"),
            (None, None) => continue,
        };
        table.row([name.clone(), shown]);
    }
    format!("  {} ({word})\n{}", change.object, table.text(4))
}

/// Returns each field of an object with its value as JSON.
fn fields<O>(object: &Option<O>) -> BTreeMap<String, String>
where
    O: serde::Serialize,
{
    let mut found = BTreeMap::new();
    let value = serde_json::to_value(object).unwrap_or_default();
    // An object is its kind and its fields; the kind is in its name already.
    if let Value::Object(kinds) = value {
        for fields in kinds.values() {
            flatten(fields, "", &mut found);
        }
    }
    found
}

fn flatten(value: &Value, path: &str, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = match path {
                    "" => name.clone(),
                    path => format!("{path}.{name}"),
                };
                flatten(value, &path, found);
            }
        }
        other => {
            found.insert(path.to_owned(), other.to_string());
        }
    }
}
