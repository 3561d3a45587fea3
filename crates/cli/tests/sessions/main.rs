//! Sessions of an operator against a fake control plane, compared with golden files.

#![allow(clippy::unwrap_used)]

mod fake;
mod session;

use std::net;

const FIRST_TICKET: &str = r#"{
  "number": 1, // the first one
  "objects": [
    { "service": { "name": "refunds", "weights": { "unavailable": 4 } } },
    { "caller": { "name": "kiosks", "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000" } },
    { "server": { "name": "ank-refunds-2", "state": "serving" } },
    { "pin": { "service": "refunds", "key": "kiosk-17", "server": "ank-refunds-2" } }
  ]
}"#;

const SECOND_TICKET: &str = r#"{ "number": 2, "objects": [{ "server": { "name": "ank-refunds-1", "state": "draining" } }] }"#;

/// Returns an address at which nothing listens.
fn closed_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn start() -> (fake::Control, session::Session) {
    let control = fake::Control::start();
    let session = session::Session::new(&[("control-1", control.address())]);
    (control, session)
}

/// Guards against output of the ticket commands that misstates whether a ticket is accepted or in
/// force.
#[tokio::test]
async fn ticket_commands_report_the_state_of_tickets() {
    let (_control, mut session) = start();
    session.write_file("0001.jsonc", FIRST_TICKET);
    session.write_file("0002.jsonc", SECOND_TICKET);
    session.run("ticket list").await;
    session.run("ticket check files/0001.jsonc").await;
    session.run("ticket submit files/0001.jsonc").await;
    session.run("ticket submit files/0001.jsonc").await;
    session.run("ticket check files/0001.jsonc").await;
    session.run_with("ticket submit -", SECOND_TICKET).await;
    session.run("ticket list").await;
    session.run("ticket show 2").await;
    session.run("ticket show 9").await;
    session.run("ticket list --output json").await;
    insta::assert_snapshot!(session.transcript());
}

/// Guards against a refusal without a hint on what to do next, or with the wrong exit code.
#[tokio::test]
async fn refusals_have_a_hint_and_an_exit_code() {
    let (control, mut session) = start();
    session.write_file("0001.jsonc", FIRST_TICKET);
    session.write_file("other.jsonc", &SECOND_TICKET.replace('2', "1"));
    session.write_file(
        "late.jsonc",
        &SECOND_TICKET.replace("\"number\": 2", "\"number\": 7"),
    );
    session.run("ticket submit files/0001.jsonc").await;
    session.run("ticket submit files/other.jsonc").await;
    session.run("ticket submit files/late.jsonc").await;
    session
        .run("ticket submit files/late.jsonc --output json")
        .await;
    assert_eq!(control.tickets(), 1);
    insta::assert_snapshot!(session.transcript());
}

/// Guards against a ticket that is reported as accepted or refused although its response was lost,
/// and against a retried ticket that takes effect twice.
#[tokio::test]
async fn lost_responses_are_retried_or_reported_as_unknown() {
    let (control, mut session) = start();
    session.write_file("0001.jsonc", FIRST_TICKET);
    session.write_file("0002.jsonc", SECOND_TICKET);
    session.write_file(
        "late.jsonc",
        &SECOND_TICKET.replace("\"number\": 2", "\"number\": 7"),
    );
    control.inject([fake::Fault::Disconnect]);
    session.run("ticket submit files/0001.jsonc").await;
    assert_eq!(control.tickets(), 1);
    control.inject([fake::Fault::Stall]);
    session
        .run("ticket submit files/0002.jsonc --timeout-ms 500")
        .await;
    assert_eq!(control.tickets(), 2);
    control.inject([fake::Fault::Truncate]);
    session.run("ticket list").await;
    control.inject([fake::Fault::Truncate]);
    session
        .run("ticket submit files/0002.jsonc --output json")
        .await;
    // The attempt whose response was lost may still be in progress.
    control.inject([fake::Fault::Unknown]);
    session.run("ticket submit files/late.jsonc").await;
    control.inject([fake::Fault::OtherServer]);
    session.run("ticket submit files/0002.jsonc").await;
    control.inject_always(fake::Fault::Unknown);
    session
        .run("ticket submit files/0002.jsonc --wait-ms 290")
        .await;
    session
        .run("ticket submit files/0002.jsonc --wait-ms 290 --output json")
        .await;
    session.run("ticket list --wait-ms 290").await;
    insta::assert_snapshot!(session.transcript());
}

/// Guards against a command that fails because of a follower, an unreachable replica or an election.
#[tokio::test]
async fn commands_follow_the_leader() {
    let (leader, follower) = (fake::Control::start(), fake::Control::start());
    let mut session = session::Session::new(&[
        ("closed", closed_address()),
        ("control-2", follower.address()),
        ("control-1", leader.address()),
    ]);
    session.write_file("0001.jsonc", FIRST_TICKET);
    follower.inject([fake::Fault::NotLeader(Some(leader.address()))]);
    session.run("ticket submit files/0001.jsonc").await;
    assert_eq!((leader.tickets(), follower.tickets()), (1, 0));

    // There is no leader until the second round.
    let election = [fake::Fault::NotLeader(None), fake::Fault::NotLeader(None)];
    follower.inject(election.clone());
    leader.inject(election);
    session.run("ticket list").await;

    // Each replica always redirects to the other one.
    follower.inject_always(fake::Fault::NotLeader(Some(leader.address())));
    leader.inject_always(fake::Fault::NotLeader(Some(follower.address())));
    session.run("ticket list --wait-ms 290").await;
    insta::assert_snapshot!(session.transcript());
}

/// Guards against an unreachable control plane that is reported as an unknown outcome.
#[tokio::test]
async fn unreachable_control_plane_is_not_an_unknown_outcome() {
    let mut session = session::Session::new(&[
        ("closed-1", closed_address()),
        ("closed-2", closed_address()),
    ]);
    session.write_file("0001.jsonc", FIRST_TICKET);
    session.run("ticket submit files/0001.jsonc").await;
    session.run("status --output json").await;

    let other_server = fake::Control::start();
    other_server.inject_always(fake::Fault::OtherServer);
    let mut other_session = session::Session::new(&[("foreign", other_server.address())]);
    other_session.run("status").await;
    insta::assert_snapshot!(session.transcript() + &other_session.transcript());
}

/// Guards against tables that omit what needs attention, and against keys that are not encoded in
/// the URL.
#[tokio::test]
async fn status_and_explain_show_what_needs_attention() {
    let (control, mut session) = start();
    session.run("status").await;
    session.run("explain refunds kiosk-17").await;
    session
        .run("explain refunds vacant/kiosk=å --scope mill-a/b")
        .await;
    session.run("explain refunds kiosk-17 --output json").await;
    session.run("explain nothing kiosk-17").await;
    session.run("explain refunds ..").await;
    let path = "/v1/explain/refunds/vacant%2Fkiosk%3D%C3%A5?scope=mill-a%2Fb";
    assert!(
        control.paths().iter().any(|requested| requested == path),
        "{:?}",
        control.paths()
    );
    insta::assert_snapshot!(session.transcript());
}

/// Guards against a drain that leaves a service without servers, or that is submitted without
/// `--submit`.
#[tokio::test]
async fn drain_keeps_the_last_server_of_a_service() {
    let (control, mut session) = start();
    session.run("drain ank-refunds-1").await;
    session.run("drain ank-photos-1 --submit").await;
    session.run("drain ank-photos-9").await;
    assert_eq!(control.tickets(), 0);
    session.run("drain ank-refunds-1 --submit").await;
    assert_eq!(control.tickets(), 1);
    session.run("drain ank-refunds-1").await;
    session.run("drain ank-refunds-2 --submit").await;
    session
        .run("drain ank-photos-1 --even-if-last --output json")
        .await;
    insta::assert_snapshot!(session.transcript());
}

/// Guards against malformed input that is sent, or reported without its position.
#[tokio::test]
async fn malformed_input_is_located_and_not_sent() {
    let (control, mut session) = start();
    session.write_file(
        "comma.jsonc",
        "{\n  /* a\n     b */\n  \"number\": 1,\n  \"objects\": [,]\n}",
    );
    session.write_file(
        "values.jsonc",
        r#"{ "number": 0, "objects": [{ "server": { "name": "a b", "state": "serving" } }] }"#,
    );
    session.write_file("node.jsonc", r#"{ "region": "skane", "lease": 7 }"#);
    session.run("ticket submit files/comma.jsonc").await;
    session.run("ticket submit files/values.jsonc").await;
    session.run("ticket check files/missing.jsonc").await;
    session
        .run_with("ticket submit - --output json", "[]")
        .await;
    session.run("ticket show 0").await;
    session.run("settings check node files/node.jsonc").await;
    session.run("settings check node files/missing.jsonc").await;
    session.run("status --control http://127.0.0.1:1").await;
    assert_eq!(control.paths(), [""; 0]);

    let mut session_without_replicas = session::Session::new(&[]);
    session_without_replicas.run("status").await;
    insta::assert_snapshot!(session.transcript() + &session_without_replicas.transcript());
}

/// Guards against help without examples and exit codes, and against missing completions.
#[tokio::test]
async fn help_shows_examples_and_exit_codes() {
    let mut session = session::Session::new(&[]);
    session.run("--help").await;
    session.run("ticket submit --help").await;
    session.run("ticket").await;
    insta::assert_snapshot!(session.transcript());

    let mut session = session::Session::new(&[]);
    session.run("completion bash").await;
    let script = session.transcript();
    assert!(script.contains("_sequoiayoke()") && script.ends_with("exit 0\n\n"));
}

/// Lines as gateways and a director write them, after the name of the process.
const REFUSED_LOG: &str = r#"entry {"timestamp":"2026-10-09T09:28:12.100000Z","level":"INFO","message":"configuration in force","version":25,"index":1656}
owner {"timestamp":"2026-10-09T09:28:12.596000Z","level":"INFO","message":"the backend server is full","id":"e41be054c043ff7f","rank":132272,"running":9,"waiting":25,"slots":9,"service_ms":152,"left_ms":2890,"useful_ms":550,"patience_ms":2890,"retry_after_ms":50}
entry {"timestamp":"2026-10-09T09:28:12.597000Z","level":"INFO","message":"gave up on a request","id":"e41be054c043ff7f","service":"desk","reason":"busy","server":52,"sent":0,"tried":1,"full":2,"may_have_run":false,"view":1656}
entry {"timestamp":"2026-10-09T09:28:12.597100Z","level":"INFO","message":"not served","id":"e41be054c043ff7f","service":"desk","method":"POST","status":503,"failure":"NotRun(60ms)","took_ms":17,"retry_after_ms":60}
elsewhere {"timestamp":"2026-10-09T09:28:12.300000Z","level":"INFO","message":"the connection to a node ended","address":"10.0.0.9:7000"}
"#;
const BROKEN_LOG: &str = r#"ready callers=127.0.0.1:1
{"timestamp":"2026-10-09T09:28:14.000000Z","level":"WARN","message":"the backend server has ended","instance":"i-28"}
{"timestamp":"2026-10-09T09:28:13.995000Z","level":"INFO","message":"no usable answer of the backend server","id":"28be01a383d4b9a9","error":"the connection broke off: Connection reset by peer"}
{"timestamp":"2026-10-09T09:28:13.996000Z","level":"INFO","message":"gave up on a request","id":"28be01a383d4b9a9","service":"desk","reason":"broken","server":9,"sent":1,"may_have_run":true,"view":84}
{"timestamp":"2026-10-09T09:28:14.000100Z","level":"INFO","message":"not served","id":"28be01a383d4b9a9","method":"POST","status":502,"failure":"Unknown","took_ms":5}
"#;
const LATE_LOG: &str = r#"owner {"timestamp":"2026-10-09T09:28:15.500000Z","level":"INFO","message":"the backend server answered late","id":"2f2607f1055ac3ba","key":62743,"waited_ms":314,"ran_ms":282,"running":12,"waiting":11,"slots":12}
core-1 {"timestamp":"2026-10-09T09:28:13.000000Z","level":"INFO","message":"moving keys","service":"status","first":62000,"last":62742,"from":2,"to":3}
entry {"timestamp":"2026-10-09T09:28:15.502000Z","level":"INFO","message":"answered late","id":"2f2607f1055ac3ba","service":"status","key":62743,"server":2,"sent":1,"took_ms":601,"late_ms":120}
"#;

/// Guards against a `logs why` that does not name the cause of a rejection by a full service, of a
/// failure after which the request may have run, or of a late response.
#[tokio::test]
async fn logs_why_names_the_cause_of_a_failure() {
    let mut session = session::Session::new(&[]);
    session.write_file("refused.log", REFUSED_LOG);
    session.write_file("node-7.log", BROKEN_LOG);
    session.write_file("late.log", LATE_LOG);
    session
        .run("logs why e41be054c043ff7f files/refused.log files/late.log")
        .await;
    session
        .run("logs why 28be01a383d4b9a9 files/node-7.log")
        .await;
    session
        .run("logs why 2f2607f1055ac3ba files/late.log files/refused.log")
        .await;
    session
        .run("logs why 2f2607f1055ac3ba files/late.log --output json")
        .await;
    session
        .run("logs why 0000000000000000 files/late.log")
        .await;
    session
        .run("logs why 2f2607f1055ac3ba files/none.log")
        .await;
    insta::assert_snapshot!(session.transcript());
}

const DROPPED_LOG: &str = r#"entry {"timestamp":"2026-10-09T09:28:01.604000Z","level":"INFO","message":"stopping"}
entry {"timestamp":"2026-10-09T09:28:06.923218Z","level":"WARN","message":"dropped a request at the end of the process","id":"a099beef1e021fe4","service":"desk","stage":"sent","server":57,"took_ms":3781,"left_ms":3691}
entry {"timestamp":"2026-10-09T09:28:06.923300Z","level":"WARN","message":"dropped a request at the end of the process","id":"caaf278670f188ad","service":"desk","stage":"answered","took_ms":3781,"left_ms":3691}
entry {"timestamp":"2026-10-09T09:28:06.923315Z","level":"INFO","message":"stopped","in_flight":1,"answered":1,"partly_read":0,"running":0,"elapsed_ms":5321}
owner {"timestamp":"2026-10-09T09:28:07.071734Z","level":"INFO","message":"cancelled a request","id":"a099beef1e021fe4","stage":"fetching-body","waited_ms":3928,"body_bytes":30890,"received_bytes":0}
"#;

/// Guards against a `logs why` that cannot say where a request was whose entry node ended without
/// an answer.
#[tokio::test]
async fn logs_why_names_the_stage_of_a_request_that_the_end_of_a_node_dropped() {
    let mut session = session::Session::new(&[]);
    session.write_file("dropped.log", DROPPED_LOG);
    for id in ["a099beef1e021fe4", "caaf278670f188ad"] {
        let command = format!("logs why {id} files/dropped.log");
        session.run(&command).await;
    }
    insta::assert_snapshot!(session.transcript());
}

const MIDNIGHT_LOG: &str = r#"owner {"timestamp":"2026-03-01T00:00:00.2Z","level":"INFO","message":"the backend server answered late","id":"7b4c26d862b4df14","key":9,"waited_ms":300,"ran_ms":20,"running":9,"waiting":3,"slots":9}
entry {"timestamp":"2026-03-01T00:00:00.204Z","level":"INFO","message":"answered late","id":"7b4c26d862b4df14","service":"desk","key":9,"server":2,"sent":1,"took_ms":340,"late_ms":40}
entry {"timestamp":"2026-02-28T23:59:59.999999Z","level":"INFO","message":"configuration in force","version":25,"index":1656}
entry {"timestamp":"2026-03-01T00:00:00.03Z","level":"INFO","message":"the connection to a node ended","address":"10.0.0.9:7000"}
"#;

/// Guards against lines in a wrong order, or left out, when a request spans midnight or processes
/// write their timestamps with another precision.
#[tokio::test]
async fn logs_why_orders_lines_across_midnight_and_precisions() {
    let mut session = session::Session::new(&[]);
    session.write_file("midnight.log", MIDNIGHT_LOG);
    session
        .run("logs why 7b4c26d862b4df14 files/midnight.log")
        .await;
    insta::assert_snapshot!(session.transcript());
}
