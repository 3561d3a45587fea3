//! Differences between two versions of an object.

use std::collections::BTreeMap;

use sequoiayoke_api::check;
use serde_json::Value;

use crate::table;

/// Returns a text with the changes of a ticket to one object.
pub(crate) fn render(change: &check::Change) -> String {
    let (before, after) = (fields(&change.before), fields(&change.after));
    let label = match (&change.before, &change.after) {
        (None, _) => "new",
        (Some(_), None) => "removed",
        (Some(_), Some(_)) if before == after => "unchanged",
        (Some(_), Some(_)) => "changed",
    };
    let mut table = table::Table::without_heading();
    for name in before
        .keys()
        .chain(after.keys().filter(|name| !before.contains_key(*name)))
    {
        let (old, new) = (before.get(name), after.get(name));
        if name == "name" || old == new {
            continue;
        }
        let value = match (old, new) {
            (None, Some(new)) => new.clone(),
            (Some(old), None) => format!("{old} -> none"),
            (Some(old), Some(new)) => format!("{old} -> {new}"),
            (None, None) => continue,
        };
        table.push([name.clone(), value]);
    }
    format!("  {} ({label})\n{}", change.object, table.render(4))
}

/// Returns the fields of an object by path, with their values as JSON.
fn fields<O>(object: &Option<O>) -> BTreeMap<String, String>
where
    O: serde::Serialize,
{
    let mut flattened = BTreeMap::new();
    let value = serde_json::to_value(object).unwrap_or_default();
    // The outer level has the kind of the object as its only key, which `Change::object` names already.
    if let Value::Object(kinds) = value {
        for fields in kinds.values() {
            flatten(fields, "", &mut flattened);
        }
    }
    flattened
}

fn flatten(value: &Value, path: &str, flattened: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = match path {
                    "" => name.clone(),
                    path => format!("{path}.{name}"),
                };
                flatten(value, &path, flattened);
            }
        }
        scalar => {
            flattened.insert(path.to_owned(), scalar.to_string());
        }
    }
}
