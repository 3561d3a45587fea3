//! Entries of a valid configuration that have no effect, and limits that contradict each other.
//!
//! Such a configuration is accepted: an operator may prepare a service before its routes. The findings
//! are for operators who check a configuration before they send it.

use std::collections;

use crate::config;

/// Something that an operator has probably not intended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    /// The host of a route has a port, or no character: requests are compared without their port.
    #[error("route {0} never matches: its host is empty or has a port")]
    Host(String),
    /// The prefix of a route has a character that no path has.
    #[error("route {0} never matches: its prefix has a character that is not part of a path")]
    PathCharacter(String),
    /// Another route has the same host, in other letters, and the same prefix.
    #[error(
        "route {route} never matches: route {other} has the same prefix, and the same host in other letters"
    )]
    Hidden {
        /// Name of the route.
        route: String,
        /// Name of the route that matches instead.
        other: String,
    },
    /// A service has no part in the requests of a route.
    #[error("route {route} sends nothing to service {service}: its weight is 0")]
    NoWeight {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// No route names a service.
    #[error("service {0} gets no request: no route names it")]
    Unused(String),
    /// Keys that are assigned are served slowly, but the service has no keys.
    #[error("service {0} has a warm-up and no keys: the warm-up has no effect")]
    WarmUp(String),
    /// A service accepts no connection.
    #[error("service {0} gets no request: it accepts no connection")]
    NoConnections(String),
    /// A cold backend server gets no request, so that it stays cold for its callers.
    #[error("service {0} gets no request while it is cold: its rate is not above 0")]
    ColdRate(String),
    /// A time of 0 for which a backend server is cold.
    #[error("service {0} is never cold: the time after a start is 0")]
    ColdTime(String),
    /// A response cannot miss the target before the timeout.
    #[error("route {route} has a target of {target_ms} ms, above its timeout of {timeout_ms} ms")]
    Target {
        /// Name of the route.
        route: String,
        /// The target.
        target_ms: u64,
        /// The timeout.
        timeout_ms: u64,
    },
    /// Every response misses the target.
    #[error("route {0} has a target of 0 ms, which no response meets")]
    NoTarget(String),
    /// A request is sent once, whatever the limit.
    #[error("route {0} allows no attempt: one is made")]
    NoAttempt(String),
    /// A route for large bodies does not fit the limit on bodies.
    #[error("route {0} is for large bodies, of which the limit accepts none")]
    Upload(String),
    /// A limit of 0 refuses every request or closes every connection.
    #[error("the limit {0} is 0, which refuses every request")]
    Zero(&'static str),
    /// An idle connection is closed before the head of a request may end.
    #[error(
        "an idle connection is closed after {idle_ms} ms, before a head may end ({head_ms} ms)"
    )]
    Idle {
        /// Longest idle time.
        idle_ms: u64,
        /// Longest time for a head.
        head_ms: u64,
    },
}

/// Returns the findings in a valid configuration, in its order.
///
/// # Examples
///
/// ```
/// use sequoiayoke_catalog::{audit, config};
///
/// assert_eq!(audit::audit(&config::Config::default()), []);
/// ```
pub fn audit(config: &config::Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    audit_limits(&config.limits, &mut findings);
    let routes = config.routes.iter();
    let named: collections::BTreeSet<_> = routes
        .flat_map(|route| &route.shares)
        .map(|share| share.service.as_str())
        .collect();
    for service in &config.services {
        if !named.contains(service.name.as_str()) {
            findings.push(Finding::Unused(service.name.clone()));
        }
        audit_service(service, &mut findings);
    }
    let mut seen = collections::BTreeMap::<_, &str>::new();
    for route in &config.routes {
        let place = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        match seen.get(&place) {
            Some(other) => findings.push(Finding::Hidden {
                route: route.name.clone(),
                other: (*other).to_owned(),
            }),
            None => {
                seen.insert(place, &route.name);
            }
        }
        audit_route(route, &config.limits, &mut findings);
    }
    findings
}

fn audit_limits(limits: &config::Limits, findings: &mut Vec<Finding>) {
    for (name, value) in [
        ("on heads", limits.max_header_bytes),
        ("on the time for a head", limits.header_timeout_ms),
        ("on idle time", limits.idle_timeout_ms),
    ] {
        if value == 0 {
            findings.push(Finding::Zero(name));
        }
    }
    if limits.idle_timeout_ms > 0 && limits.idle_timeout_ms < limits.header_timeout_ms {
        findings.push(Finding::Idle {
            idle_ms: limits.idle_timeout_ms,
            head_ms: limits.header_timeout_ms,
        });
    }
}

fn audit_service(service: &config::Service, findings: &mut Vec<Finding>) {
    let name = || service.name.clone();
    if service.max_connections == 0 {
        findings.push(Finding::NoConnections(name()));
    }
    if service.warm_up_ms > 0 && !service.is_keyed {
        findings.push(Finding::WarmUp(name()));
    }
    if let Some(cold) = service.cold_start {
        if cold.duration_ms == 0 {
            findings.push(Finding::ColdTime(name()));
        } else if cold.rate_per_s <= 0.0 {
            findings.push(Finding::ColdRate(name()));
        }
    }
}

fn audit_route(route: &config::Route, limits: &config::Limits, findings: &mut Vec<Finding>) {
    let name = || route.name.clone();
    if route.host.is_empty() || route.host.contains(':') {
        findings.push(Finding::Host(name()));
    }
    let is_path = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    if !route.prefix.bytes().all(is_path) {
        findings.push(Finding::PathCharacter(name()));
    }
    let without_weight = route.shares.iter().filter(|share| share.weight == 0.0);
    findings.extend(without_weight.map(|share| Finding::NoWeight {
        route: name(),
        service: share.service.clone(),
    }));
    if route.target_ms == 0 {
        findings.push(Finding::NoTarget(name()));
    } else if route.target_ms > route.timeout_ms {
        findings.push(Finding::Target {
            route: name(),
            target_ms: route.target_ms,
            timeout_ms: route.timeout_ms,
        });
    }
    if route.max_attempts == 0 {
        findings.push(Finding::NoAttempt(name()));
    }
    if route.kind == config::Kind::Upload && limits.max_body_bytes == 0 {
        findings.push(Finding::Upload(name()));
    }
}
