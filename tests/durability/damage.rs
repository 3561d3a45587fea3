//! Data directories that are torn, damaged or those of another replica.

use std::fs;
use std::path::PathBuf;

use sequoiayoke_harness::Deployment;

use super::{ALL, Record, accept, caught_up, start};

/// Returns the newest segment of a replica's log.
fn segment(deployment: &Deployment, replica: usize) -> PathBuf {
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

/// Accepts tickets and kills a follower; returns it, the other replicas and what they have.
async fn kill_follower(deployment: &mut Deployment, next: u64) -> (usize, Vec<usize>, Record) {
    for number in next..next + 6 {
        accept(deployment, &ALL, number).await;
    }
    caught_up(deployment, &ALL).await;
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    let follower = (leader + 1) % 3;
    deployment.kill_control(follower);
    let rest: Vec<_> = ALL.into_iter().filter(|one| *one != follower).collect();
    let record = Record::read(deployment, &rest).await;
    (follower, rest, record)
}

/// Starts a replica that has to refuse its data directory, and returns what it says.
fn refusal(deployment: &mut Deployment, replica: usize) -> String {
    let started = deployment.start_control(replica);
    started
        .expect_err("the data directory was taken")
        .to_string()
}

/// Guards against a write that was cut off by a crash and keeps the replica from starting.
#[tokio::test(flavor = "multi_thread")]
async fn a_torn_tail_is_repaired() {
    // A record ends with a mark that the record itself is synced; a crash can tear the mark.
    survives_cuts(&[1, 7]).await;
}

/// Guards against a follower whose disk lost an entry that it had acknowledged, and
/// that the leader takes for complete and never completes.
#[tokio::test(flavor = "multi_thread")]
async fn a_tail_torn_behind_an_acknowledgement_is_repaired() {
    survives_cuts(&[60]).await;
}

/// Cuts bytes off a follower's log, and needs this follower for every decision after that.
async fn survives_cuts(cuts: &[u64]) {
    let mut deployment = start().await;
    for &cut in cuts {
        let first = deployment.query(&ALL, "/v1/tickets").await.unwrap();
        let next = first["next"].as_u64().unwrap();
        let (follower, rest, before) = kill_follower(&mut deployment, next).await;
        let path = segment(&deployment, follower);
        let file = fs::OpenOptions::new().write(true).open(path).unwrap();
        file.set_len(file.metadata().unwrap().len() - cut).unwrap();
        drop(file);
        deployment.start_control(follower).unwrap();
        let log = deployment.control(follower).unwrap().log();
        assert!(log.contains("cutting off an incomplete record"), "{log}");
        caught_up(&deployment, &ALL).await;
        // The leader stays, since a new one would ask the follower afresh what it has.
        let leader = deployment.wait_leader(&rest).await.unwrap();
        let other = 3 - leader - follower;
        deployment.kill_control(other);
        let both = [follower, leader];
        before.assert_kept(&Record::read(&deployment, &both).await);
        accept(&deployment, &both, before.tickets.len() as u64 + 1).await;
        deployment.start_control(other).unwrap();
        caught_up(&deployment, &ALL).await;
    }
}

/// Guards against a damaged entry that is applied, or silently dropped with all after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_flipped_byte_is_refused() {
    let mut deployment = start().await;
    let (follower, rest, before) = kill_follower(&mut deployment, 2).await;
    let path = segment(&deployment, follower);
    let whole = fs::read(&path).unwrap();
    let mut damaged = whole.clone();
    damaged[whole.len() / 2] ^= 0x10;
    fs::write(&path, &damaged).unwrap();
    let said = refusal(&mut deployment, follower);
    let name = path.file_name().unwrap().to_str().unwrap();
    assert!(
        said.contains(&format!("{name} is damaged at offset")),
        "{said}"
    );
    assert!(said.contains("data directory"), "{said}");
    assert_eq!(
        fs::read(&path).unwrap(),
        damaged,
        "the evidence has changed"
    );
    // The operator's way out: empty the directory, so that the replica gets a new identity.
    before.assert_kept(&Record::read(&deployment, &rest).await);
    fs::remove_dir_all(deployment.data_directory(follower)).unwrap();
    deployment.start_control(follower).unwrap();
    caught_up(&deployment, &ALL).await;
}

/// Guards against a replica that votes and answers under the identity of another one.
#[tokio::test(flavor = "multi_thread")]
async fn the_directory_of_another_replica_is_refused() {
    let mut deployment = start().await;
    let (follower, rest, before) = kill_follower(&mut deployment, 2).await;
    let own = deployment.data_directory(follower);
    let aside = own.with_extension("aside");
    fs::rename(&own, &aside).unwrap();
    copy(&deployment.data_directory(rest[0]), &own);
    let said = refusal(&mut deployment, follower);
    let names = [follower, rest[0]].map(|one| format!("control-{one} of region anatolia"));
    let wanted = format!("belongs to replica {}, not to {}", names[1], names[0]);
    assert!(said.contains(&wanted), "{said}");
    // A copy of its own directory may lack what the original has acknowledged since.
    fs::remove_dir_all(&own).unwrap();
    copy(&aside, &own);
    let said = refusal(&mut deployment, follower);
    assert!(said.contains("is a copy of another one"), "{said}");
    fs::remove_dir_all(&own).unwrap();
    fs::rename(&aside, &own).unwrap();
    deployment.start_control(follower).unwrap();
    caught_up(&deployment, &ALL).await;
    before.assert_kept(&Record::read(&deployment, &ALL).await);
}

fn copy(from: &std::path::Path, to: &std::path::Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let target = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy(&entry.path(), &target),
            false => drop(fs::copy(entry.path(), target).unwrap()),
        }
    }
}
