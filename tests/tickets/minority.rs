//! Tickets that are submitted to a leader without a majority.

use std::fs;
use std::time::{Duration, Instant};

use sequoiayoke_harness::Deployment;
use tokio::task::JoinHandle;

use super::{REPLICAS, assert_accepted, objects, start_deployment, ticket};

/// Timeout of a submission; longer than the time after which the leader itself answers.
const TIMEOUT: Duration = Duration::from_secs(14);

/// Returns the length of a replica's log on disk, in bytes.
fn log_length(deployment: &Deployment, replica: usize) -> u64 {
    let files = fs::read_dir(deployment.data_directory(replica).join("log")).unwrap();
    let lengths = files.map(|file| file.unwrap().metadata().unwrap().len());
    lengths.sum()
}

/// Returns the replicas other than the leader.
fn followers(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Guards against a leader without a majority that accepts a ticket, and against one that is
/// resumed after a pause and takes its successor's entry at the same index for its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_leader_accepts_nothing_in_the_minority() {
    let mut deployment = start_deployment().await;
    assert_accepted(
        &deployment
            .submit_to(&REPLICAS, &ticket(1, "ada"))
            .await
            .unwrap(),
    );
    let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
    let followers = followers(leader);
    // Killed, not paused: a paused follower would receive the leader's entries from its socket
    // after the pause.
    for replica in followers {
        deployment.kill_control(replica);
    }
    // The second ticket waits at the index that the first entry of the next leader may have.
    let before = log_length(&deployment, leader);
    let pending = [2, 3].map(|number| spawn_submit(&deployment, leader, number));
    wait_written(&deployment, leader, before).await;
    deployment.control(leader).unwrap().pause();
    for replica in followers {
        deployment.start_control(replica).unwrap();
    }
    for number in [2, 3] {
        let answer = deployment
            .submit_to(&followers, &ticket(number, "bo"))
            .await
            .unwrap();
        assert_accepted(&answer);
    }
    deployment.control(leader).unwrap().resume();
    // Every list that the former leader returns must have the tickets accepted during its pause.
    for _ in 0..50 {
        if let Some((200, list)) = deployment.get(leader, "/v1/tickets").await {
            assert_eq!(list["tickets"].as_array().unwrap().len(), 3, "{list}");
        }
    }
    for submission in pending {
        let status = submission.await.unwrap();
        let is_unknown = matches!(status, Some(504 | 421));
        assert!(is_unknown, "not an unknown outcome: {status:?}");
    }
    for number in [2, 3] {
        let kept = objects(&deployment, &REPLICAS, number).await;
        assert_eq!(
            kept,
            ticket(number, "bo")["objects"],
            "ticket {number} reverted"
        );
    }
}

/// Submits a ticket in the background; the task returns the HTTP status, or `None` without an
/// answer.
fn spawn_submit(deployment: &Deployment, leader: usize, number: u64) -> JoinHandle<Option<u16>> {
    let url = format!(
        "http://{}/v1/tickets",
        deployment.operator_addresses()[leader]
    );
    let request = deployment.http().post(url).json(&ticket(number, "ada"));
    tokio::spawn(async move {
        let answer = request.timeout(TIMEOUT).send().await.ok()?;
        Some(answer.status().as_u16())
    })
}

/// Waits until the leader's log is no longer `before` bytes long.
async fn wait_written(deployment: &Deployment, leader: usize, before: u64) {
    let start = Instant::now();
    while log_length(deployment, leader) == before {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "nothing was written"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a leader without followers that answers "accepted" or "refused" although the
/// outcome is unknown, and against an unknown outcome that a retry does not resolve.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_resolved_by_a_retry() {
    let deployment = start_deployment().await;
    for number in 1..=3 {
        let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
        let followers = followers(leader);
        for replica in followers {
            deployment.control(replica).unwrap().pause();
        }
        let sent = ticket(number, "ada");
        let answer = deployment.post_ticket(leader, &sent, TIMEOUT).await;
        let status = answer.as_ref().map(|answer| answer.0);
        assert!(
            matches!(status, Some(504 | 421)),
            "not an unknown outcome: {answer:?}"
        );
        for replica in followers {
            deployment.control(replica).unwrap().resume();
        }
        let version = assert_accepted(&deployment.submit_to(&REPLICAS, &sent).await.unwrap());
        let retried = deployment.submit_to(&REPLICAS, &sent).await.unwrap();
        assert_eq!(
            (assert_accepted(&retried), &retried.1["repeated"]),
            (version, &true.into())
        );
    }
}
