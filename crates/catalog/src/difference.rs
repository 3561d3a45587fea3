//! What differs between two configurations, by entry and field.

use std::collections;
use std::fmt;

use crate::config;

/// Name and value of a field.
type Field = (&'static str, String);

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// An entry that only the later configuration has.
    Added(String),
    /// An entry that only the earlier configuration has.
    Removed(String),
    /// A field with another value.
    Changed {
        /// The entry.
        entry: String,
        /// Name of the field.
        field: &'static str,
        /// Earlier value.
        before: String,
        /// Later value.
        after: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(entry) => write!(f, "{entry}: added"),
            Self::Removed(entry) => write!(f, "{entry}: removed"),
            Self::Changed {
                entry,
                field,
                before,
                after,
            } => write!(f, "{entry}: {field} {before} -> {after}"),
        }
    }
}

/// Returns the differences from `before` to `after`. Routes are the same entry if they have the same
/// host and prefix. The version is not compared.
///
/// # Examples
///
/// ```
/// use sequoiayoke_catalog::{config, difference};
///
/// let before = config::Config::default();
/// let mut after = before.clone();
/// after.limits.max_header_bytes = 8_192;
/// let differences = difference::compare(&before, &after);
/// assert_eq!(differences.len(), 1);
/// assert_eq!(differences[0].to_string(), "limits: head 16384 bytes -> 8192 bytes");
/// ```
pub fn compare(before: &config::Config, after: &config::Config) -> Vec<Difference> {
    let (mut before, after) = (entries(before), entries(after));
    let mut differences = Vec::new();
    for (entry, fields) in after {
        match before.remove(&entry) {
            None => differences.push(Difference::Added(entry)),
            Some(former) => compare_fields(&entry, &former, &fields, &mut differences),
        }
    }
    differences.extend(before.into_keys().map(Difference::Removed));
    differences
}

fn compare_fields(
    entry: &str,
    before: &[Field],
    after: &[Field],
    differences: &mut Vec<Difference>,
) {
    for ((field, before), (_, after)) in before.iter().zip(after) {
        if before != after {
            differences.push(Difference::Changed {
                entry: entry.to_owned(),
                field,
                before: before.clone(),
                after: after.clone(),
            });
        }
    }
}

/// Returns the fields of all entries.
fn entries(config: &config::Config) -> collections::BTreeMap<String, Vec<Field>> {
    let limits = ("limits".to_owned(), limit_fields(&config.limits));
    let services = config.services.iter().map(|service| {
        let entry = format!("service {}", service.name);
        (entry, service_fields(service))
    });
    let routes = config.routes.iter().map(|route| {
        let entry = format!("route {}{}", route.host, route.prefix);
        (entry, route_fields(route))
    });
    services.chain(routes).chain([limits]).collect()
}

fn limit_fields(limits: &config::Limits) -> Vec<Field> {
    vec![
        ("head", format!("{} bytes", limits.max_header_bytes)),
        ("body", format!("{} bytes", limits.max_body_bytes)),
        (
            "time for a head",
            format!("{} ms", limits.header_timeout_ms),
        ),
        ("idle time", format!("{} ms", limits.idle_timeout_ms)),
    ]
}

fn service_fields(service: &config::Service) -> Vec<Field> {
    let cold_start = service.cold_start.map_or_else(
        || "none".to_owned(),
        |cold| format!("{} ms at {}/s", cold.duration_ms, cold.rate_per_s),
    );
    vec![
        ("health check", service.health_path.clone()),
        ("connections", service.max_connections.to_string()),
        ("keys", service.is_keyed.to_string()),
        ("warm-up", format!("{} ms", service.warm_up_ms)),
        ("cold start", cold_start),
    ]
}

fn route_fields(route: &config::Route) -> Vec<Field> {
    let shares = route.shares.iter();
    let shares: Vec<_> = shares
        .map(|share| format!("{} x {}", share.service, share.weight))
        .collect();
    vec![
        ("name", route.name.clone()),
        ("kind", format!("{:?}", route.kind)),
        ("timeout", format!("{} ms", route.timeout_ms)),
        ("target", format!("{} ms", route.target_ms)),
        ("priority", route.priority.to_string()),
        ("attempts", route.max_attempts.to_string()),
        ("services", shares.join(", ")),
    ]
}
