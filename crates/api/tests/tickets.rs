//! Tickets: errors, canonical form, and agreement with `docs/protocol.md`.

#![allow(clippy::unwrap_used)]

use sequoiayoke_api::ticket;

const PAGE: &str = include_str!("../../../docs/protocol.md");

/// Guards against invalid tickets that are accepted, and against errors without a
/// position or field.
#[test]
fn errors_report_position_or_field() {
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

/// Guards against a parser that rejects the ticket of the protocol page.
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

/// Guards against a resubmitted ticket that is rejected as a different ticket, and against a
/// different ticket that is accepted as a resubmission.
#[test]
fn equivalence_ignores_spelling_only() {
    let parse = |objects: &str| {
        let text = format!("{{ \"number\": 3, \"objects\": [{objects}] }}");
        ticket::parse(text.as_bytes()).unwrap()
    };
    let server = r#"{ "server": { "name": "s", "state": "serving" } }"#;
    let service = r#"{ "service": { "name": "a", "slices": 16, "weights": { "churn": 1 } } }"#;
    let respelled =
        r#"/* same */ { "service": { "idempotent": ["head", "GET", "HEAD"], "name": "a" } }"#;
    let original = parse(&format!("{server}, {service}"));
    let resubmitted = parse(&format!("{respelled}, {server}"));
    assert!(original.is_equivalent_to(&resubmitted) && original != resubmitted);

    // Both pins have the identity `pin s x/y`.
    let unscoped = r#"{ "pin": { "service": "s", "key": "x/y", "server": null } }"#;
    let scoped = r#"{ "pin": { "service": "s", "scope": "x", "key": "y", "server": null } }"#;
    let pins = parse(&format!("{unscoped}, {scoped}"));
    assert!(pins.is_equivalent_to(&parse(&format!("{scoped}, {unscoped}"))));

    let changed = parse(&format!("{server}, {}", service.replace("16", "17")));
    assert!(!original.is_equivalent_to(&changed));
    let mut renumbered = original.clone();
    renumbered.number.0 = 4;
    assert!(!original.is_equivalent_to(&renumbered));
}

/// Guards against a canonical form that changes when it is sent, parsed and canonicalized again.
#[test]
fn the_canonical_form_is_idempotent() {
    let text = br#"{ "number": 1, "objects": [
        { "pin": { "service": "b", "key": "k", "server": null } },
        { "caller": { "name": "c", "token_sha256": "ABCDEF0123456789ABCDEF0123456789ABCDEF0123456789ABCDEF0123456789" } }
    ] }"#;
    let canonical_ticket = ticket::parse(text).unwrap().canonical();
    let sent = serde_json::to_vec(&canonical_ticket).unwrap();
    assert_eq!(ticket::parse(&sent).unwrap(), canonical_ticket);
    assert_eq!(canonical_ticket.canonical(), canonical_ticket);
}

/// Guards against an accepted ticket that does not fit into a frame between replicas.
#[test]
fn oversized_tickets_are_rejected() {
    let text = vec![b' '; ticket::MAX_BYTES + 1];
    let malformed = ticket::parse(&text).unwrap_err();
    assert_eq!(
        malformed,
        ticket::Malformed::TooLarge(ticket::MAX_BYTES + 1)
    );
}
