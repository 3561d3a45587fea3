//! Invariant I8: an accepted ticket is in force everywhere within seconds and never reverts.

#![allow(clippy::unwrap_used)]

mod support;

#[path = "tickets/in_force.rs"]
mod in_force;
#[path = "tickets/minority.rs"]
mod minority;
#[path = "tickets/numbers.rs"]
mod numbers;

use sequoiayoke_harness::Deployment;
use sequoiayoke_harness::operator::{Answer, server_ticket};
use sequoiayoke_harness::settings::Spec;
use serde_json::Value;

const REPLICAS: [usize; 3] = [0, 1, 2];

/// Starts three replicas without backend servers, so that the log holds tickets only.
async fn start_deployment() -> Deployment {
    let deployment = Deployment::start(&support::bin(), Spec::new(3)).unwrap();
    deployment.wait_leader(&REPLICAS).await.unwrap();
    deployment
}

/// Creates a ticket whose server is named after the operator, so that tickets of two operators
/// differ.
fn ticket(number: u64, operator: &str) -> Value {
    server_ticket(number, &format!("server-{operator}-{number}"), "serving")
}

/// Returns the objects of the accepted ticket `number`.
async fn objects(deployment: &Deployment, replicas: &[usize], number: u64) -> Value {
    let path = format!("/v1/tickets/{number}");
    let entry = deployment.query(replicas, &path).await.unwrap();
    entry["objects"].clone()
}

/// Asserts that an answer is an acceptance, and returns the ticket's version.
fn assert_accepted(answer: &Answer) -> u64 {
    assert_eq!(answer.0, 200, "{answer:?}");
    answer.1["version"].as_u64().unwrap()
}
