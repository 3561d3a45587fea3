//! Tickets: faults, canonical form, and agreement with `docs/protocol.md`.

#![allow(clippy::unwrap_used)]

use sequoiayoke_api::ticket;

const PAGE: &str = include_str!("../../../docs/protocol.md");

/// Guards against tickets that are accepted although they are wrong, and against
/// errors that do not name the place.
#[test]
fn faults_name_their_place() {
    datadriven::walk("tests/scenarios", |file| {
        file.run(|case| match ticket::parse(case.input.as_bytes()) {
            Err(malformed) => format!("{malformed}\n"),
            Ok(ticket) if case.directive == "canonical" => {
                format!("{}\n", serde_json::to_string(&ticket.canonical()).unwrap())
            }
            Ok(_) => "valid\n".to_owned(),
        });
    });
}

/// Guards against a parser that refuses the ticket of the protocol page.
#[test]
fn the_ticket_of_the_protocol_page_is_parsed() {
    let (_, text) = PAGE.split_once("takes a ticket in JSON").unwrap();
    let (_, text) = text.split_once("```json\n").unwrap();
    let (example, _) = text.split_once("```").unwrap();
    let digits = "0123456789abcdef".repeat(4);
    let ticket = ticket::parse(example.replace("64 hexadecimal digits", &digits).as_bytes());
    let identities: Vec<_> = ticket
        .unwrap()
        .objects
        .iter()
        .map(ticket::Object::identity)
        .collect();
    assert_eq!(
        identities,
        [
            "service refunds",
            "server ank-refunds-1",
            "pin refunds kiosk-17",
            "caller mill-a"
        ]
    );
}

/// Guards against a resent ticket that is taken for another one, and the reverse.
#[test]
fn equality_ignores_spelling_only() {
    let parse = |objects: &str| {
        let text = format!("{{ \"number\": 3, \"objects\": [{objects}] }}");
        ticket::parse(text.as_bytes()).unwrap()
    };
    let server = r#"{ "server": { "name": "s", "state": "serving" } }"#;
    let service = r#"{ "service": { "name": "a", "slices": 16, "weights": { "churn": 1 } } }"#;
    let spelled =
        r#"/* same */ { "service": { "idempotent": ["head", "GET", "HEAD"], "name": "a" } }"#;
    let one = parse(&format!("{server}, {service}"));
    let two = parse(&format!("{spelled}, {server}"));
    assert!(one.is_equivalent_to(&two) && one != two);

    // Both pins are shown as `pin s x/y`.
    let plain = r#"{ "pin": { "service": "s", "key": "x/y", "server": null } }"#;
    let scoped = r#"{ "pin": { "service": "s", "scope": "x", "key": "y", "server": null } }"#;
    let pins = parse(&format!("{plain}, {scoped}"));
    assert!(pins.is_equivalent_to(&parse(&format!("{scoped}, {plain}"))));

    let other = parse(&format!("{server}, {}", service.replace("16", "17")));
    assert!(!one.is_equivalent_to(&other));
    let mut renumbered = one.clone();
    renumbered.number.0 = 4;
    assert!(!one.is_equivalent_to(&renumbered));
}

/// Guards against canonical forms that depend on how often they were taken.
#[test]
fn the_canonical_form_is_stable() {
    let text = br#"{ "number": 1, "objects": [
        { "pin": { "service": "b", "key": "k", "server": null } },
        { "caller": { "name": "c", "token_sha256": "ABCDEF0123456789ABCDEF0123456789ABCDEF0123456789ABCDEF0123456789" } }
    ] }"#;
    let once = ticket::parse(text).unwrap().canonical();
    let sent = serde_json::to_vec(&once).unwrap();
    assert_eq!(ticket::parse(&sent).unwrap(), once);
    assert_eq!(once.canonical(), once);
}

/// Guards against a ticket that does not fit into a frame between replicas.
#[test]
fn large_tickets_are_refused() {
    let text = vec![b' '; ticket::MAX_BYTES + 1];
    let malformed = ticket::parse(&text).unwrap_err();
    assert_eq!(
        malformed,
        ticket::Malformed::TooLarge(ticket::MAX_BYTES + 1)
    );
}
