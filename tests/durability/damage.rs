//! Data directories that are truncated, corrupted or belong to another replica.

use std::fs;
use std::path::PathBuf;

use sequoiayoke_harness::Deployment;

use super::{REPLICAS, State, start_deployment, submit_accepted, wait_caught_up};

/// Returns the newest segment of a replica's log.
fn newest_segment(deployment: &Deployment, replica: usize) -> PathBuf {
    let files = fs::read_dir(deployment.data_directory(replica).join("log")).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let segments = paths.filter(|path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with("log-")
    });
    segments.max().unwrap()
}

/// Submits tickets and kills a follower; returns it, the other replicas and their state.
async fn kill_follower(deployment: &mut Deployment, next: u64) -> (usize, Vec<usize>, State) {
    for number in next..next + 6 {
        submit_accepted(deployment, &REPLICAS, number).await;
    }
    wait_caught_up(deployment, &REPLICAS).await;
    let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
    let follower = (leader + 1) % 3;
    deployment.kill_control(follower);
    let remaining: Vec<_> = REPLICAS
        .into_iter()
        .filter(|replica| *replica != follower)
        .collect();
    let state = State::read(deployment, &remaining).await;
    (follower, remaining, state)
}

/// Starts a replica that must refuse its data directory, and returns its error message.
fn start_refused(deployment: &mut Deployment, replica: usize) -> String {
    let started = deployment.start_control(replica);
    started
        .expect_err("the replica accepted the data directory")
        .to_string()
}

/// Guards against a replica that cannot start because a crash interrupted a write to its
/// log.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_with_a_torn_tail_is_repaired() {
    // A record ends with a marker that the record is synced; a crash can truncate the marker.
    assert_truncation_is_repaired(&[1, 7]).await;
}

/// Guards against a leader that never resends an entry that a follower acknowledged and then
/// lost on its disk.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_lost_an_acknowledged_entry_is_repaired() {
    assert_truncation_is_repaired(&[60]).await;
}

/// Truncates a follower's log by each number of bytes, and asserts that a majority which needs
/// this follower keeps all tickets and accepts another one.
async fn assert_truncation_is_repaired(cuts: &[u64]) {
    let mut deployment = start_deployment().await;
    for &cut in cuts {
        let listing = deployment.query(&REPLICAS, "/v1/tickets").await.unwrap();
        let next = listing["next"].as_u64().unwrap();
        let (follower, remaining, before) = kill_follower(&mut deployment, next).await;
        let path = newest_segment(&deployment, follower);
        let file = fs::OpenOptions::new().write(true).open(path).unwrap();
        file.set_len(file.metadata().unwrap().len() - cut).unwrap();
        drop(file);
        deployment.start_control(follower).unwrap();
        let log = deployment.control(follower).unwrap().log();
        assert!(log.contains("cutting off an incomplete record"), "{log}");
        wait_caught_up(&deployment, &REPLICAS).await;
        // The leader must stay: a new one would first ask the follower for the end of its log.
        let leader = deployment.wait_leader(&remaining).await.unwrap();
        let other = 3 - leader - follower;
        deployment.kill_control(other);
        let majority = [follower, leader];
        before.assert_preserved_in(&State::read(&deployment, &majority).await);
        submit_accepted(&deployment, &majority, before.tickets.len() as u64 + 1).await;
        deployment.start_control(other).unwrap();
        wait_caught_up(&deployment, &REPLICAS).await;
    }
}

/// Guards against a corrupted entry that is applied, or dropped silently with all later ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_with_a_flipped_byte_is_refused() {
    let mut deployment = start_deployment().await;
    let (follower, remaining, before) = kill_follower(&mut deployment, 2).await;
    let path = newest_segment(&deployment, follower);
    let intact = fs::read(&path).unwrap();
    let mut damaged = intact.clone();
    damaged[intact.len() / 2] ^= 0x10;
    fs::write(&path, &damaged).unwrap();
    let message = start_refused(&mut deployment, follower);
    let name = path.file_name().unwrap().to_str().unwrap();
    assert!(
        message.contains(&format!("{name} is damaged at offset")),
        "{message}"
    );
    assert!(message.contains("data directory"), "{message}");
    assert_eq!(
        fs::read(&path).unwrap(),
        damaged,
        "the damaged segment was changed"
    );
    // The operator recovers by deleting the directory, which gives the replica a new identity.
    before.assert_preserved_in(&State::read(&deployment, &remaining).await);
    fs::remove_dir_all(deployment.data_directory(follower)).unwrap();
    deployment.start_control(follower).unwrap();
    wait_caught_up(&deployment, &REPLICAS).await;
}

/// Guards against a replica that votes and answers requests under the identity of another one.
#[tokio::test(flavor = "multi_thread")]
async fn the_data_directory_of_another_replica_is_refused() {
    let mut deployment = start_deployment().await;
    let (follower, remaining, before) = kill_follower(&mut deployment, 2).await;
    let own = deployment.data_directory(follower);
    let original = own.with_extension("aside");
    fs::rename(&own, &original).unwrap();
    copy_directory(&deployment.data_directory(remaining[0]), &own);
    let message = start_refused(&mut deployment, follower);
    let names =
        [follower, remaining[0]].map(|replica| format!("control-{replica} of region anatolia"));
    let expected = format!("belongs to replica {}, not to {}", names[1], names[0]);
    assert!(message.contains(&expected), "{message}");
    // A copy of its own directory may lack entries that the original has acknowledged since.
    fs::remove_dir_all(&own).unwrap();
    copy_directory(&original, &own);
    let message = start_refused(&mut deployment, follower);
    assert!(message.contains("is a copy of another one"), "{message}");
    fs::remove_dir_all(&own).unwrap();
    fs::rename(&original, &own).unwrap();
    deployment.start_control(follower).unwrap();
    wait_caught_up(&deployment, &REPLICAS).await;
    before.assert_preserved_in(&State::read(&deployment, &REPLICAS).await);
}

fn copy_directory(from: &std::path::Path, to: &std::path::Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let target = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy_directory(&entry.path(), &target),
            false => drop(fs::copy(entry.path(), target).unwrap()),
        }
    }
}
