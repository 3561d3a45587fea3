//! Invariant I2: accepted tickets and assignments survive every failure that the control plane
//! tolerates.

#![allow(clippy::unwrap_used)]

mod support;

#[path = "durability/damage.rs"]
mod damage;
#[path = "durability/kills.rs"]
mod kills;
#[path = "durability/recovery.rs"]
mod recovery;

use std::time::Duration;

use sequoiayoke_harness::Deployment;
use sequoiayoke_harness::settings::Spec;
use serde_json::Value;

const SERVICE: &str = "refunds";
const REPLICAS: [usize; 3] = [0, 1, 2];
const KEYS: [&str; 3] = ["kiosk-1", "kiosk-2", "kiosk-3"];

/// Starts three replicas and two backend servers that own every slice.
async fn start_deployment() -> Deployment {
    let spec = Spec::new(3).with_service(SERVICE, 2, 4, 0);
    let deployment = Deployment::start(&support::bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(4).await.unwrap();
    deployment
}

/// The durable state that the leader reports: the tickets and the history of assignments.
#[derive(Debug)]
struct State {
    tickets: Vec<Value>,
    history: Vec<Value>,
}

impl State {
    async fn read(deployment: &Deployment, replicas: &[usize]) -> Self {
        let listing = deployment.query(replicas, "/v1/tickets").await.unwrap();
        let mut tickets = listing["tickets"].as_array().unwrap().clone();
        for ticket in &mut tickets {
            // `in_force` changes over time; the other fields must not.
            ticket.as_object_mut().unwrap().remove("in_force");
        }
        let mut history = Vec::new();
        for key in KEYS {
            let path = format!("/v1/explain/{SERVICE}/{key}");
            let explanation = deployment.query(replicas, &path).await.unwrap();
            history.extend(explanation["history"].as_array().unwrap().clone());
        }
        Self { tickets, history }
    }

    /// Asserts that `later` has every ticket of `self` unchanged and in the same position, and
    /// every event of its history.
    fn assert_preserved_in(&self, later: &Self) {
        let count = self.tickets.len();
        assert!(later.tickets.len() >= count, "tickets were lost: {later:?}");
        assert_eq!(self.tickets, later.tickets[..count], "tickets were changed");
        for event in &self.history {
            let is_preserved = later.history.contains(event);
            assert!(
                is_preserved,
                "the assignment {event} was lost: {:?}",
                later.history
            );
        }
    }
}

/// Submits ticket `number` and asserts that it is accepted.
async fn submit_accepted(deployment: &Deployment, replicas: &[usize], number: u64) {
    let ticket = ticket(number);
    let (status, body) = deployment.submit_to(replicas, &ticket).await.unwrap();
    assert_eq!(status, 200, "ticket {number}: {body}");
}

fn ticket(number: u64) -> Value {
    let name = format!("server-{number}");
    sequoiayoke_harness::operator::server_ticket(number, &name, "serving")
}

/// Waits until every replica of `replicas` is a voter and has each committed entry.
async fn wait_caught_up(deployment: &Deployment, replicas: &[usize]) {
    let is_caught_up = |status: &Value| {
        let commit = &status["commit"];
        replicas.iter().all(|&index| {
            let replica = &status["replicas"][index];
            replica["voting"] == true && replica["matched"].as_u64() >= commit.as_u64()
        })
    };
    let max_wait = Duration::from_secs(15);
    let reached = deployment.query_until(replicas, "/v1/status", max_wait, is_caught_up);
    reached.await.unwrap();
}
