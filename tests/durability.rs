//! Accepted tickets and assignments survive every loss that the control plane tolerates.

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
const ALL: [usize; 3] = [0, 1, 2];
const KEYS: [&str; 3] = ["kiosk-1", "kiosk-2", "kiosk-3"];

/// Starts three replicas and two backend servers that own every slice.
async fn start() -> Deployment {
    let spec = Spec::new(3).with_service(SERVICE, 2, 4, 0);
    let deployment = Deployment::start(&support::bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(4).await.unwrap();
    deployment
}

/// What the leader has durably: the tickets and why slices have their owners.
#[derive(Debug)]
struct Record {
    tickets: Vec<Value>,
    history: Vec<Value>,
}

impl Record {
    async fn read(deployment: &Deployment, replicas: &[usize]) -> Self {
        let list = deployment.query(replicas, "/v1/tickets").await.unwrap();
        let mut tickets = list["tickets"].as_array().unwrap().clone();
        for ticket in &mut tickets {
            // How far a ticket is in force changes; the rest must not.
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

    /// Checks that everything in `self` is in `later` too, unchanged and in place.
    fn assert_kept(&self, later: &Self) {
        let count = self.tickets.len();
        assert!(later.tickets.len() >= count, "tickets were lost: {later:?}");
        assert_eq!(self.tickets, later.tickets[..count], "tickets have changed");
        for event in &self.history {
            let kept = later.history.contains(event);
            assert!(kept, "the assignment {event} was lost: {:?}", later.history);
        }
    }
}

/// Submits ticket `number` and expects that it is accepted.
async fn accept(deployment: &Deployment, replicas: &[usize], number: u64) {
    let ticket = ticket(number);
    let (status, body) = deployment.submit_to(replicas, &ticket).await.unwrap();
    assert_eq!(status, 200, "ticket {number}: {body}");
}

fn ticket(number: u64) -> Value {
    let name = format!("server-{number}");
    sequoiayoke_harness::operator::server_ticket(number, &name, "serving")
}

/// Waits until every replica of `replicas` votes and has each entry.
async fn caught_up(deployment: &Deployment, replicas: &[usize]) {
    let level = |status: &Value| {
        let commit = &status["commit"];
        replicas.iter().all(|&index| {
            let replica = &status["replicas"][index];
            replica["voting"] == true && replica["matched"].as_u64() >= commit.as_u64()
        })
    };
    let limit = Duration::from_secs(15);
    let done = deployment.query_until(replicas, "/v1/status", limit, level);
    done.await.unwrap();
}
