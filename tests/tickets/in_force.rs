//! When a ticket counts as in force, and how nodes behave that have not received it.

use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::settings::Spec;
use sequoiayoke_harness::{Deployment, caller};
use serde_json::{Value, json};

use super::{REPLICAS, assert_accepted, ticket};
use crate::support;

const SERVICE: &str = "refunds";
/// Longest time until a ticket is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(7);
/// Time after which a node whose view is not confirmed accepts no new requests.
const VIEW_BOUND: Duration = Duration::from_secs(2);

/// Starts three replicas and three backend servers.
async fn start_deployment() -> Deployment {
    let spec = Spec::new(3).with_service(SERVICE, 3, 4, 0);
    let deployment = Deployment::start(&support::bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(6).await.unwrap();
    deployment
}

/// Creates a ticket that registers a caller; once it is in force, requests need a token.
fn caller_ticket(number: u64) -> Value {
    let caller = json!({ "name": "mill-a", "token_sha256": "ab".repeat(32), "scope": "" });
    json!({ "number": number, "objects": [{ "caller": caller }] })
}

/// Sends a request without a token; `None` if the node does not answer.
async fn send_request(deployment: &Deployment, address: &str, key: &str) -> Option<caller::Answer> {
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

/// Waits until the ticket is in force everywhere, and returns its entry.
async fn wait_in_force(deployment: &Deployment, number: u64) -> Value {
    let path = format!("/v1/tickets/{number}");
    let is_complete = |entry: &Value| entry["in_force"]["complete"] == true;
    let reached = deployment.query_until(&REPLICAS, &path, IN_FORCE_BOUND, is_complete);
    reached.await.unwrap()
}

/// Guards against a ticket that is reported as in force while a live node serves requests
/// without it.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_in_force_is_applied_on_every_node() {
    let deployment = start_deployment().await;
    for vm in &deployment.vms {
        let answer = send_request(&deployment, vm.caller(), "kiosk-1")
            .await
            .unwrap();
        assert_eq!(answer.outcome, "answered", "{answer:?}");
    }
    assert_accepted(
        &deployment
            .submit_to(&REPLICAS, &caller_ticket(2))
            .await
            .unwrap(),
    );
    let entry = wait_in_force(&deployment, 2).await;
    assert_eq!(
        entry["in_force"],
        json!({ "live": 3, "confirmed": 3, "complete": true })
    );
    for vm in &deployment.vms {
        let answer = send_request(&deployment, vm.caller(), "kiosk-1")
            .await
            .unwrap();
        assert_eq!(answer.status, 401, "{answer:?}");
    }
}

/// Guards against a paused node that keeps a ticket from ever being in force, and against one
/// that no longer counts as live, resumes and serves requests without the ticket.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_loses_its_lease_and_does_not_serve_without_the_ticket() {
    let deployment = start_deployment().await;
    let paused = &deployment.vms[0];
    let address = paused.caller().to_owned();
    paused.node.pause();
    let start = Instant::now();
    assert_accepted(
        &deployment
            .submit_to(&REPLICAS, &caller_ticket(2))
            .await
            .unwrap(),
    );
    let entry = wait_in_force(&deployment, 2).await;
    assert!(start.elapsed() < IN_FORCE_BOUND, "{:?}", start.elapsed());
    assert_eq!(entry["in_force"]["live"], 2, "{entry}");
    println!("in force after {:?}", start.elapsed());
    // These requests wait in the node's socket and are the first that it handles after the pause.
    let keys: Vec<_> = (0..16).map(|key| format!("kiosk-{key}")).collect();
    let waiting = keys
        .iter()
        .map(|key| send_request(&deployment, &address, key));
    let waiting = futures_util::future::join_all(waiting);
    let resume = async {
        tokio::task::yield_now().await;
        paused.node.resume();
    };
    let (answers, ()) = tokio::join!(waiting, resume);
    for answer in answers.into_iter().flatten() {
        assert_ne!(
            answer.outcome, "answered",
            "served without the ticket: {answer:?}"
        );
    }
    wait_refused(&deployment, &address).await;
}

/// Sends requests until the node refuses one without a token, and asserts that it serves none
/// before.
async fn wait_refused(deployment: &Deployment, address: &str) {
    let start = Instant::now();
    loop {
        if let Some(answer) = send_request(deployment, address, "kiosk-1").await {
            assert_ne!(
                answer.outcome, "answered",
                "served without the ticket: {answer:?}"
            );
            if answer.status == 401 {
                return;
            }
        }
        assert!(
            start.elapsed() < IN_FORCE_BOUND + VIEW_BOUND,
            "the node does not refuse requests without a token"
        );
    }
}

/// Guards against a restarted node that serves requests by a view that is hundreds of tickets
/// old, or without a view.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_far_behind_does_not_serve_by_an_outdated_view() {
    let mut deployment = start_deployment().await;
    let server = deployment.vms[0].server.clone();
    deployment.vms[0].kill();
    assert_accepted(
        &deployment
            .submit_to(&REPLICAS, &caller_ticket(2))
            .await
            .unwrap(),
    );
    for number in 3..303 {
        assert_accepted(
            &deployment
                .submit_to(&REPLICAS, &ticket(number, "ada"))
                .await
                .unwrap(),
        );
    }
    let vm = deployment.start_vm(&server).unwrap();
    wait_refused(&deployment, vm.caller()).await;
    deployment.vms[0] = vm;
    let entry = wait_in_force(&deployment, 302).await;
    assert_eq!(entry["in_force"]["complete"], true, "{entry}");
}
