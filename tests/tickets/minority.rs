//! Tickets at a leader that has lost its majority.

use std::fs;
use std::time::{Duration, Instant};

use sequoiayoke_harness::Deployment;
use tokio::task::JoinHandle;

use super::{ALL, accepted, objects, start, ticket};

/// Time for which an operator waits here; the leader answers by itself before that.
const LIMIT: Duration = Duration::from_secs(14);

/// Returns the length of a replica's log on disk.
fn length(deployment: &Deployment, replica: usize) -> u64 {
    let files = fs::read_dir(deployment.data_directory(replica).join("log")).unwrap();
    let lengths = files.map(|file| file.unwrap().metadata().unwrap().len());
    lengths.sum()
}

fn others(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Guards against a leader without a majority that accepts a ticket, and against one that
/// was paused and takes the entry of its successor for its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_leader_accepts_nothing_in_the_minority() {
    let mut deployment = start().await;
    accepted(&deployment.submit_to(&ALL, &ticket(1, "ada")).await.unwrap());
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    let rest = others(leader);
    // Paused followers would find the entries of the leader in their sockets later.
    for replica in rest {
        deployment.kill_control(replica);
    }
    // The second one waits at the index that the first entry of a successor may have.
    let before = length(&deployment, leader);
    let pending = [2, 3].map(|number| post(&deployment, leader, number));
    written(&deployment, leader, before).await;
    deployment.control(leader).unwrap().pause();
    for replica in rest {
        deployment.start_control(replica).unwrap();
    }
    for number in [2, 3] {
        let answer = deployment
            .submit_to(&rest, &ticket(number, "bo"))
            .await
            .unwrap();
        accepted(&answer);
    }
    deployment.control(leader).unwrap().resume();
    // Whatever the old leader shows from now on must hold what was accepted meanwhile.
    for _ in 0..50 {
        if let Some((200, list)) = deployment.get(leader, "/v1/tickets").await {
            assert_eq!(list["tickets"].as_array().unwrap().len(), 3, "{list}");
        }
    }
    for one in pending {
        let status = one.await.unwrap();
        let unknown = matches!(status, Some(504 | 421));
        assert!(unknown, "a false answer: {status:?}");
    }
    for number in [2, 3] {
        let kept = objects(&deployment, &ALL, number).await;
        assert_eq!(
            kept,
            ticket(number, "bo")["objects"],
            "ticket {number} reverted"
        );
    }
}

/// Submits a ticket in the background; the result is its HTTP status, if there is one.
fn post(deployment: &Deployment, leader: usize, number: u64) -> JoinHandle<Option<u16>> {
    let url = format!(
        "http://{}/v1/tickets",
        deployment.operator_addresses()[leader]
    );
    let request = deployment.http().post(url).json(&ticket(number, "ada"));
    tokio::spawn(async move {
        let answer = request.timeout(LIMIT).send().await.ok()?;
        Some(answer.status().as_u16())
    })
}

/// Waits until the leader has written what was sent to it.
async fn written(deployment: &Deployment, leader: usize, before: u64) {
    let start = Instant::now();
    while length(deployment, leader) == before {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "nothing was written"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a leader that has lost its followers and says "accepted" or "refused" where
/// it cannot know, and against an unknown outcome that a resend does not settle.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_settled_by_a_resend() {
    let deployment = start().await;
    for number in 1..=3 {
        let leader = deployment.wait_leader(&ALL).await.unwrap();
        let rest = others(leader);
        for replica in rest {
            deployment.control(replica).unwrap().pause();
        }
        let sent = ticket(number, "ada");
        let answer = deployment.post_ticket(leader, &sent, LIMIT).await;
        let status = answer.as_ref().map(|answer| answer.0);
        assert!(
            matches!(status, Some(504 | 421)),
            "a false answer: {answer:?}"
        );
        for replica in rest {
            deployment.control(replica).unwrap().resume();
        }
        let version = accepted(&deployment.submit_to(&ALL, &sent).await.unwrap());
        let again = deployment.submit_to(&ALL, &sent).await.unwrap();
        assert_eq!(
            (accepted(&again), &again.1["repeated"]),
            (version, &true.into())
        );
    }
}
