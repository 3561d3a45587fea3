//! Replicas that restart with an empty data directory or far behind the others.

use std::fs;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream;
use sequoiayoke_harness::process::Process;
use serde_json::Value;

use super::{REPLICAS, State, start_deployment, submit_accepted, ticket, wait_caught_up};

/// Guards against a repaired replica that votes although it lacks entries, and against an old
/// identity that stays a voter, so that the group has no majority after a second loss.
#[tokio::test(flavor = "multi_thread")]
async fn the_group_survives_a_second_loss_right_after_a_repair() {
    let mut deployment = start_deployment().await;
    for number in 2..20 {
        submit_accepted(&deployment, &REPLICAS, number).await;
    }
    let before = State::read(&deployment, &REPLICAS).await;
    let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
    let (empty, second) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.kill_control(empty);
    let old_identity = identity(&deployment, empty);
    fs::remove_dir_all(deployment.data_directory(empty)).unwrap();
    submit_accepted(&deployment, &[leader, second], 20).await;
    deployment.start_control(empty).unwrap();
    wait_identity_removed(&deployment).await;
    assert_ne!(
        identity(&deployment, empty),
        old_identity,
        "the old identity was reused"
    );
    deployment.kill_control(second);
    submit_accepted(&deployment, &[leader, empty], 21).await;
    let after = State::read(&deployment, &[leader, empty]).await;
    before.assert_preserved_in(&after);
    assert_eq!(after.tickets.len(), 21);
    // So far only the leader and the repaired replica have acknowledged the last ticket.
    deployment.start_control(second).unwrap();
    wait_caught_up(&deployment, &REPLICAS).await;
    deployment.kill_control(leader);
    let last = State::read(&deployment, &[empty, second]).await;
    after.assert_preserved_in(&last);
    submit_accepted(&deployment, &[empty, second], 22).await;
}

fn identity(deployment: &sequoiayoke_harness::Deployment, replica: usize) -> Vec<u8> {
    fs::read(deployment.data_directory(replica).join("log/identity")).unwrap()
}

/// Waits until the group has removed the identity of the lost data directory.
///
/// The status shows current identities only, so the removal is read from the replicas' logs.
async fn wait_identity_removed(deployment: &sequoiayoke_harness::Deployment) {
    wait_caught_up(deployment, &REPLICAS).await;
    let start = std::time::Instant::now();
    let logs = || deployment.control.iter().flatten().map(Process::log);
    while !logs().any(|log| log.contains("Remove(")) {
        let elapsed = start.elapsed();
        assert!(
            elapsed < Duration::from_secs(15),
            "the old identity is still a voter"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // A later entry is committed only after the removal is in the log.
    wait_caught_up(deployment, &REPLICAS).await;
}

/// Guards against a replica that answers, votes or decides by the outdated state that it had
/// before it was down.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_far_behind_does_not_act_on_outdated_state() {
    let mut deployment = start_deployment().await;
    let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.kill_control(behind);
    for number in 2..402 {
        submit_accepted(&deployment, &[leader, other], number).await;
    }
    let before = State::read(&deployment, &[leader, other]).await;
    deployment.start_control(behind).unwrap();
    // Of the two replicas with all entries, the leader is lost; the one behind must not replace it
    // before it has these entries.
    deployment.kill_control(leader);
    let shown = count_tickets(&deployment, &[behind, other]).await;
    assert!(shown >= 401, "an answer with {shown} of 401 tickets");
    let after = State::read(&deployment, &[behind, other]).await;
    before.assert_preserved_in(&after);
    deployment.start_control(leader).unwrap();
    wait_caught_up(&deployment, &REPLICAS).await;
    deployment.kill_control(other);
    submit_accepted(&deployment, &[behind, leader], 402).await;
    before.assert_preserved_in(&State::read(&deployment, &[behind, leader]).await);
}

/// Polls the replicas until one answers as the leader, and returns how many tickets it lists.
async fn count_tickets(deployment: &sequoiayoke_harness::Deployment, replicas: &[usize]) -> usize {
    let listing = deployment.query(replicas, "/v1/tickets").await.unwrap();
    listing["tickets"].as_array().map_or(0, Vec::len)
}

/// Guards against entries that are lost when a replica receives a snapshot instead of them.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_catches_up_from_a_snapshot() {
    let mut deployment = start_deployment().await;
    let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    submit_accepted(&deployment, &REPLICAS, 2).await;
    deployment.kill_control(behind);
    submit_accepted(&deployment, &[leader, other], 3).await;
    // Refused tickets are log entries too, and fill the log faster than accepted ones.
    let refused = ticket(1_000_000);
    let both = [leader, other];
    let sent = stream::iter(0..9_000).map(|_| deployment.submit_to(&both, &refused));
    let answers: Vec<_> = sent.buffer_unordered(64).collect().await;
    let all_refused = answers.iter().flatten().all(|(status, _)| *status == 409);
    assert!(
        all_refused && answers.iter().all(Result::is_ok),
        "the log was not filled"
    );
    let before = State::read(&deployment, &[leader, other]).await;
    let snapshots_before = count_snapshots(&deployment, behind);
    deployment.start_control(behind).unwrap();
    wait_caught_up(&deployment, &REPLICAS).await;
    assert_eq!(snapshots_before, 0, "the replica had a snapshot before");
    assert!(
        count_snapshots(&deployment, behind) > 0,
        "no snapshot was sent"
    );
    deployment.kill_control(leader);
    deployment.kill_control(other);
    deployment.start_control(other).unwrap();
    let after = State::read(&deployment, &[behind, other]).await;
    before.assert_preserved_in(&after);
    submit_accepted(&deployment, &[behind, other], 4).await;
    let has_owners = |status: &Value| status["services"][0]["vacant"] == 0;
    let path = "/v1/status";
    let both = [behind, other];
    let max_wait = Duration::from_secs(5);
    let reached = deployment.query_until(&both, path, max_wait, has_owners);
    reached.await.unwrap();
}

fn count_snapshots(deployment: &sequoiayoke_harness::Deployment, replica: usize) -> usize {
    let files = fs::read_dir(deployment.data_directory(replica).join("log")).unwrap();
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.starts_with("snapshot-")).count()
}
