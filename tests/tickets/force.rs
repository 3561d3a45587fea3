//! When a ticket counts as in force, and what nodes do that lack it.

use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::settings::Spec;
use sequoiayoke_harness::{Deployment, caller};
use serde_json::{Value, json};

use super::{ALL, accepted, ticket};
use crate::support;

const SERVICE: &str = "refunds";
/// Time within which a ticket has to be in force everywhere.
const BOUND: Duration = Duration::from_secs(7);
/// Time after which a node without confirmation takes no new work.
const VIEW_BOUND: Duration = Duration::from_secs(2);

async fn start() -> Deployment {
    let spec = Spec::new(3).with_service(SERVICE, 3, 4, 0);
    let deployment = Deployment::start(&support::bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(6).await.unwrap();
    deployment
}

/// Makes a ticket that registers a caller; from then on a request needs a token.
fn closing(number: u64) -> Value {
    let caller = json!({ "name": "mill-a", "token_sha256": "ab".repeat(32), "scope": "" });
    json!({ "number": number, "objects": [{ "caller": caller }] })
}

/// Sends a request without a token; `None` if the node does not answer.
async fn ask(deployment: &Deployment, address: &str, key: &str) -> Option<caller::Answer> {
    let path = format!("/s/{SERVICE}/{key}");
    let deadline = Duration::from_secs(3);
    let sent = caller::send(
        deployment.http(),
        address,
        Method::GET,
        &path,
        None,
        deadline,
    );
    sent.await.ok()
}

/// Waits until the ticket is in force, and returns its entry.
async fn in_force(deployment: &Deployment, number: u64) -> Value {
    let path = format!("/v1/tickets/{number}");
    let complete = |entry: &Value| entry["in_force"]["complete"] == true;
    let done = deployment.query_until(&ALL, &path, BOUND, complete);
    done.await.unwrap()
}

/// Guards against a ticket that counts as in force while a live node serves without it.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_in_force_holds_on_every_node() {
    let deployment = start().await;
    for pair in &deployment.vms {
        let answer = ask(&deployment, pair.caller(), "kiosk-1").await.unwrap();
        assert_eq!(answer.outcome, "answered", "{answer:?}");
    }
    accepted(&deployment.submit_to(&ALL, &closing(2)).await.unwrap());
    let entry = in_force(&deployment, 2).await;
    assert_eq!(
        entry["in_force"],
        json!({ "live": 3, "confirmed": 3, "complete": true })
    );
    for pair in &deployment.vms {
        let answer = ask(&deployment, pair.caller(), "kiosk-1").await.unwrap();
        assert_eq!(answer.status, 401, "{answer:?}");
    }
}

/// Guards against a paused node that keeps a ticket from being in force for ever, and
/// against one that counts as gone and then serves without the ticket.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_ends_its_lease_and_does_not_serve_without_the_ticket() {
    let deployment = start().await;
    let paused = &deployment.vms[0];
    let address = paused.caller().to_owned();
    paused.node.pause();
    let start = Instant::now();
    accepted(&deployment.submit_to(&ALL, &closing(2)).await.unwrap());
    let entry = in_force(&deployment, 2).await;
    assert!(start.elapsed() < BOUND, "{:?}", start.elapsed());
    assert_eq!(entry["in_force"]["live"], 2, "{entry}");
    println!("in force after {:?}", start.elapsed());
    // These wait in the node's socket, and are the first that it handles.
    let keys: Vec<_> = (0..16).map(|key| format!("kiosk-{key}")).collect();
    let early = keys.iter().map(|key| ask(&deployment, &address, key));
    let early = futures_util::future::join_all(early);
    let resume = async {
        tokio::task::yield_now().await;
        paused.node.resume();
    };
    let (answers, ()) = tokio::join!(early, resume);
    for answer in answers.into_iter().flatten() {
        assert_ne!(
            answer.outcome, "answered",
            "served without the ticket: {answer:?}"
        );
    }
    until_refused(&deployment, &address).await;
}

/// Asks until the node refuses for lack of a token; it must not serve before.
async fn until_refused(deployment: &Deployment, address: &str) {
    let start = Instant::now();
    loop {
        if let Some(answer) = ask(deployment, address, "kiosk-1").await {
            assert_ne!(
                answer.outcome, "answered",
                "served without the ticket: {answer:?}"
            );
            if answer.status == 401 {
                return;
            }
        }
        assert!(
            start.elapsed() < BOUND + VIEW_BOUND,
            "the node does not come back"
        );
    }
}

/// Guards against a restarted node that serves on a view hundreds of tickets old, or on none.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_far_behind_serves_nothing_old() {
    let mut deployment = start().await;
    let server = deployment.vms[0].server.clone();
    deployment.vms[0].kill();
    accepted(&deployment.submit_to(&ALL, &closing(2)).await.unwrap());
    for number in 3..303 {
        accepted(
            &deployment
                .submit_to(&ALL, &ticket(number, "ada"))
                .await
                .unwrap(),
        );
    }
    let pair = deployment.start_vm(&server).unwrap();
    until_refused(&deployment, pair.caller()).await;
    deployment.vms[0] = pair;
    let entry = in_force(&deployment, 302).await;
    assert_eq!(entry["in_force"]["complete"], true, "{entry}");
}
