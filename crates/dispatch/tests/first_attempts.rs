//! How long callers have waited before, from the wait that they still accept.

use std::time::Duration;

use sequoiayoke_catalog::config;
use sequoiayoke_dispatch::route;

const FIRST: Duration = Duration::from_millis(1_500);
const RETRY: Duration = Duration::from_millis(900);

fn table() -> route::Table {
    let route = config::Route {
        name: "r-1".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: config::Kind::Idempotent,
        timeout_ms: 800,
        target_ms: 400,
        priority: 0,
        max_attempts: 2,
        shares: vec![config::Share {
            service: "desk".to_owned(),
            weight: 1.0,
        }],
    };
    route::Table::new(&config::Config {
        routes: vec![route],
        ..config::Config::default()
    })
}

/// Returns the estimate for a caller that accepts `max_wait`.
fn waited(table: &mut route::Table, max_wait: Duration) -> Duration {
    let entry = table.find("a.example", "/x").expect("the route exists");
    entry.estimate_waited(max_wait)
}

/// Guards against retries that are taken for first attempts, also while many callers retry.
#[test]
fn a_caller_that_accepts_a_shorter_wait_has_waited() {
    let mut table = table();
    waited(&mut table, RETRY);
    for _ in 0..20 {
        waited(&mut table, FIRST);
    }
    for _ in 0..200 {
        for max_wait in [FIRST, RETRY, RETRY, RETRY] {
            waited(&mut table, max_wait);
        }
        assert!(waited(&mut table, FIRST) < Duration::from_millis(50));
    }
    let estimate = waited(&mut table, RETRY);
    assert!(estimate > Duration::from_millis(550), "{estimate:?}");
    assert!(estimate <= FIRST - RETRY, "{estimate:?}");
}

/// Guards against one caller that accepts any wait, after which every other request counts as late: it
/// would be queued behind all others, and refused.
#[test]
fn a_caller_that_accepts_any_wait_does_not_make_others_late() {
    let mut table = table();
    for _ in 0..20 {
        waited(&mut table, FIRST);
    }
    assert_eq!(waited(&mut table, Duration::MAX), Duration::ZERO);
    let estimate = waited(&mut table, FIRST);
    assert!(estimate < Duration::from_millis(100), "{estimate:?}");
}

/// Guards against a route that inherits the measured run time of another one, and is refused for good
/// if that is long: a route is added before it.
#[test]
fn a_route_keeps_its_class_when_another_is_added_before_it() {
    let route = |name: &str| config::Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: config::Kind::Idempotent,
        timeout_ms: 800,
        target_ms: 400,
        priority: 0,
        max_attempts: 2,
        shares: Vec::new(),
    };
    let class = |routes: &[&str], path: &str| {
        let mut table = route::Table::new(&config::Config {
            routes: routes.iter().map(|name| route(name)).collect(),
            ..config::Config::default()
        });
        table
            .find("a.example", path)
            .expect("the route exists")
            .class
    };
    let before = class(&["report"], "/report/x");
    assert_eq!(class(&["status", "report"], "/report/x"), before);
    assert_ne!(class(&["status", "report"], "/status/x"), before);
}
