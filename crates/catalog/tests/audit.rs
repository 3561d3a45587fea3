//! Findings in valid configurations, and differences between two.

use sequoiayoke_catalog::{audit, config, difference};

fn service(name: &str) -> config::Service {
    config::Service {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 10,
        is_keyed: false,
        warm_up_ms: 0,
        cold_start: None,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> config::Route {
    config::Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: config::Kind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 300,
        priority: 0,
        max_attempts: 2,
        shares: vec![config::Share {
            service: "desk".to_owned(),
            weight: 1.0,
        }],
    }
}

fn valid() -> config::Config {
    config::Config {
        version: config::Version(1),
        services: vec![service("desk")],
        routes: vec![route("get", "desk.example", "/get/")],
        ..config::Config::default()
    }
}

/// Returns the text of the only finding in a configuration that is valid.
fn finding(config: &config::Config) -> String {
    assert_eq!(config.check(), Ok(()));
    let findings = audit::audit(config);
    assert_eq!(findings.len(), 1, "{findings:?}");
    findings[0].to_string()
}

/// Guards against findings in a configuration that has none.
#[test]
fn a_plain_configuration_has_no_findings() {
    assert_eq!(audit::audit(&valid()), []);
}

/// Guards against routes that no request can match and that a check does not name.
#[test]
fn routes_that_never_match_are_found() {
    for (name, host, prefix) in [
        ("host", "desk.example:80", "/other/"),
        ("host", "", "/other/"),
        ("path", "desk.example", "/other?x/"),
        ("path", "desk.example", "/ö/"),
        ("letters", "DESK.example", "/get/"),
    ] {
        let mut config = valid();
        config.routes.push(route(name, host, prefix));
        let text = finding(&config);
        assert!(
            text.starts_with(&format!("route {name} never matches")),
            "{text}"
        );
    }
}

/// Guards against limits that contradict each other and that a check does not name.
#[test]
fn contradictions_are_found() {
    type Change = fn(&mut config::Config);
    let changes: [(&str, Change); 10] = [
        ("above its timeout", |config| {
            config.routes[0].target_ms = 1_001
        }),
        ("no response meets", |config| config.routes[0].target_ms = 0),
        ("allows no attempt", |config| {
            config.routes[0].max_attempts = 0
        }),
        ("no route names it", |config| {
            config.services.push(service("unused"))
        }),
        ("accepts no connection", |config| {
            config.services[0].max_connections = 0
        }),
        ("has a warm-up and no keys", |config| {
            config.services[0].warm_up_ms = 5
        }),
        ("while it is cold", |config| {
            config.services[0].cold_start = Some(config::ColdStart {
                duration_ms: 3_000,
                rate_per_s: 0.0,
            });
        }),
        ("weight is 0", |config| {
            config.routes[0].shares.push(config::Share {
                service: "desk".to_owned(),
                weight: 0.0,
            });
        }),
        ("refuses every request", |config| {
            config.limits.max_header_bytes = 0
        }),
        ("before a head may end", |config| {
            config.limits.idle_timeout_ms = 2_999
        }),
    ];
    for (expected, change) in changes {
        let mut config = valid();
        change(&mut config);
        let text = finding(&config);
        assert!(text.contains(expected), "{text}");
    }
}

/// Guards against a check that stops at the first error.
#[test]
fn all_errors_are_returned() {
    let mut config = valid();
    config.services.push(service("desk"));
    config.routes.push(route("again", "desk.example", "/get/"));
    config.routes.push(route("slash", "desk.example", "/put"));
    assert_eq!(config.errors().len(), 3);
    assert_eq!(config.check(), Err(config.errors()[0].clone()));
}

/// Guards against differences that are not shown, and against routes that count as replaced when a
/// field has changed.
#[test]
fn differences_are_shown_by_field() {
    let before = valid();
    let mut after = valid();
    after.version = config::Version(2);
    after.services.push(service("new"));
    after.routes[0].target_ms = 400;
    after.routes.push(route("put", "desk.example", "/put/"));
    let shown = |before, after| {
        let differences = difference::compare(before, after).into_iter();
        differences
            .map(|difference| difference.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        shown(&before, &after),
        [
            "route desk.example/get/: target 300 ms -> 400 ms",
            "route desk.example/put/: added",
            "service new: added",
        ]
    );
    let removed = ["route desk.example/put/: removed", "service new: removed"];
    assert_eq!(shown(&after, &before)[1..], removed);
    assert_eq!(difference::compare(&before, &before), []);
}
