//! Replicas that come back empty or far behind.

use std::fs;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream;
use sequoiayoke_harness::process::Process;
use serde_json::Value;

use super::{ALL, Record, accept, caught_up, start, ticket};

/// Guards against a repaired replica that counts as a vote but lacks entries, and against
/// an old identity that stays a voter, so that a second loss stops the group.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_replica_is_lost_right_after_a_repair() {
    let mut deployment = start().await;
    for number in 2..20 {
        accept(&deployment, &ALL, number).await;
    }
    let before = Record::read(&deployment, &ALL).await;
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    let (empty, second) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.kill_control(empty);
    let old = identity(&deployment, empty);
    fs::remove_dir_all(deployment.data_directory(empty)).unwrap();
    accept(&deployment, &[leader, second], 20).await;
    deployment.start_control(empty).unwrap();
    repaired(&deployment).await;
    assert_ne!(
        identity(&deployment, empty),
        old,
        "the identity was used again"
    );
    deployment.kill_control(second);
    accept(&deployment, &[leader, empty], 21).await;
    let after = Record::read(&deployment, &[leader, empty]).await;
    before.assert_kept(&after);
    assert_eq!(after.tickets.len(), 21);
    // Now the repaired replica is the only one with its copy beside the lost leader.
    deployment.start_control(second).unwrap();
    caught_up(&deployment, &ALL).await;
    deployment.kill_control(leader);
    let last = Record::read(&deployment, &[empty, second]).await;
    after.assert_kept(&last);
    accept(&deployment, &[empty, second], 22).await;
}

fn identity(deployment: &sequoiayoke_harness::Deployment, replica: usize) -> Vec<u8> {
    fs::read(deployment.data_directory(replica).join("log/identity")).unwrap()
}

/// Waits until the group has removed the identity that was lost.
///
/// The status shows the present identities only, so the log of whoever led tells
/// when the old one is gone.
async fn repaired(deployment: &sequoiayoke_harness::Deployment) {
    caught_up(deployment, &ALL).await;
    let start = std::time::Instant::now();
    let logs = || deployment.control.iter().flatten().map(Process::log);
    while !logs().any(|log| log.contains("Remove(")) {
        let waited = start.elapsed();
        assert!(
            waited < Duration::from_secs(15),
            "the old identity still votes"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // A later entry is committed only after the removal is in the log.
    caught_up(deployment, &ALL).await;
}

/// Guards against a replica that serves, elects or decides on what it knew before it was down.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_far_behind_acts_on_nothing_old() {
    let mut deployment = start().await;
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.kill_control(behind);
    for number in 2..402 {
        accept(&deployment, &[leader, other], number).await;
    }
    let before = Record::read(&deployment, &[leader, other]).await;
    deployment.start_control(behind).unwrap();
    // The only other replica that has everything is lost, and must be followed all the same.
    deployment.kill_control(leader);
    let after = first_answers(&deployment, &[behind, other]).await;
    assert!(after >= 401, "an answer with {after} of 401 tickets");
    let kept = Record::read(&deployment, &[behind, other]).await;
    before.assert_kept(&kept);
    deployment.start_control(leader).unwrap();
    caught_up(&deployment, &ALL).await;
    deployment.kill_control(other);
    accept(&deployment, &[behind, leader], 402).await;
    before.assert_kept(&Record::read(&deployment, &[behind, leader]).await);
}

/// Polls both replicas until one answers as a leader, and returns how many tickets it shows.
async fn first_answers(deployment: &sequoiayoke_harness::Deployment, replicas: &[usize]) -> usize {
    let list = deployment.query(replicas, "/v1/tickets").await.unwrap();
    list["tickets"].as_array().map_or(0, Vec::len)
}

/// Guards against entries that are lost when a replica gets a snapshot in their place.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_catches_up_by_a_snapshot() {
    let mut deployment = start().await;
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    accept(&deployment, &ALL, 2).await;
    deployment.kill_control(behind);
    accept(&deployment, &[leader, other], 3).await;
    // Refused tickets are entries of the log too, and fill it faster than accepted ones.
    let refused = ticket(1_000_000);
    let both = [leader, other];
    let sent = stream::iter(0..9_000).map(|_| deployment.submit_to(&both, &refused));
    let answers: Vec<_> = sent.buffer_unordered(64).collect().await;
    let all = answers.iter().flatten().all(|(status, _)| *status == 409);
    assert!(
        all && answers.iter().all(Result::is_ok),
        "the log was not filled"
    );
    let before = Record::read(&deployment, &[leader, other]).await;
    let had = snapshots(&deployment, behind);
    deployment.start_control(behind).unwrap();
    caught_up(&deployment, &ALL).await;
    assert_eq!(had, 0, "the replica had a snapshot before");
    assert!(snapshots(&deployment, behind) > 0, "no snapshot was sent");
    deployment.kill_control(leader);
    deployment.kill_control(other);
    deployment.start_control(other).unwrap();
    let after = Record::read(&deployment, &[behind, other]).await;
    before.assert_kept(&after);
    accept(&deployment, &[behind, other], 4).await;
    let owned = |status: &Value| status["services"][0]["vacant"] == 0;
    let path = "/v1/status";
    let both = [behind, other];
    let limit = Duration::from_secs(5);
    let done = deployment.query_until(&both, path, limit, owned);
    done.await.unwrap();
}

fn snapshots(deployment: &sequoiayoke_harness::Deployment, replica: usize) -> usize {
    let files = fs::read_dir(deployment.data_directory(replica).join("log")).unwrap();
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.starts_with("snapshot-")).count()
}
