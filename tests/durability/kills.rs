//! Replicas that are killed around an acceptance.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{ALL, Record, accept, caught_up, start, ticket};

/// Guards against an acceptance that only the leader knows of when it is lost.
#[tokio::test(flavor = "multi_thread")]
async fn the_leader_is_killed_right_after_an_acceptance() {
    let mut deployment = start().await;
    for number in 2..7 {
        caught_up(&deployment, &ALL).await;
        let leader = deployment.wait_leader(&ALL).await.unwrap();
        let before = Record::read(&deployment, &[leader]).await;
        accept(&deployment, &[leader], number).await;
        deployment.kill_control(leader);
        let rest: Vec<_> = ALL.into_iter().filter(|one| *one != leader).collect();
        let after = Record::read(&deployment, &rest).await;
        before.assert_kept(&after);
        assert_eq!(
            after.tickets.len() as u64,
            number,
            "ticket {number} was lost"
        );
        deployment.start_control(leader).unwrap();
    }
}

/// Guards against an acceptance that no follower had a chance to see.
#[tokio::test(flavor = "multi_thread")]
async fn the_followers_are_killed_before_an_acceptance() {
    let mut deployment = start().await;
    for _ in 0..3 {
        caught_up(&deployment, &ALL).await;
        let list = deployment.query(&ALL, "/v1/tickets").await.unwrap();
        let number = list["next"].as_u64().unwrap();
        let leader = deployment.wait_leader(&ALL).await.unwrap();
        let rest: Vec<_> = ALL.into_iter().filter(|one| *one != leader).collect();
        for &follower in &rest {
            deployment.kill_control(follower);
        }
        let limit = Duration::from_secs(8);
        let answer = deployment.post_ticket(leader, &ticket(number), limit).await;
        deployment.kill_control(leader);
        for &follower in &rest {
            deployment.start_control(follower).unwrap();
        }
        let after = Record::read(&deployment, &rest).await;
        let kept = after.tickets.len() as u64 == number;
        let accepted = answer.as_ref().is_some_and(|answer| answer.0 == 200);
        assert!(kept || !accepted, "ticket {number} was lost: {answer:?}");
        deployment.start_control(leader).unwrap();
    }
}

/// Guards against tickets and assignments that are acknowledged before they are on disk.
#[tokio::test(flavor = "multi_thread")]
async fn all_replicas_are_killed() {
    let mut deployment = start().await;
    for number in 2..5 {
        let before = Record::read(&deployment, &ALL).await;
        accept(&deployment, &ALL, number).await;
        for replica in ALL {
            deployment.kill_control(replica);
        }
        for replica in ALL {
            deployment.start_control(replica).unwrap();
        }
        let after = Record::read(&deployment, &ALL).await;
        before.assert_kept(&after);
        assert_eq!(
            after.tickets.len() as u64,
            number,
            "ticket {number} was lost"
        );
    }
}

/// Guards against a ticket that is lost between two others when replicas die at any moment.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_are_killed_during_a_stream_of_tickets() {
    let seed: u64 = 0x5e9_0001;
    println!("seed {seed:#x}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = start().await;
    let mut number = 1;
    for round in 0..4 {
        let leader = deployment.wait_leader(&ALL).await.unwrap();
        let all = round == 3;
        let delay = Duration::from_millis(random.random_range(20..200));
        let ids = ALL.into_iter().filter(|one| all || *one == leader);
        let pids: Vec<_> = ids
            .clone()
            .map(|one| deployment.control(one).unwrap().id())
            .collect();
        let killer = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            for pid in pids {
                let pid = rustix::process::Pid::from_raw(pid as i32).unwrap();
                rustix::process::kill_process(pid, rustix::process::Signal::KILL).unwrap();
            }
        });
        // Each ticket that was acknowledged must stay, and the last may be there or not.
        let limit = Duration::from_secs(3);
        while let Some((200, _)) = deployment
            .post_ticket(leader, &ticket(number + 1), limit)
            .await
        {
            number += 1;
        }
        killer.await.unwrap();
        for replica in ids {
            deployment.kill_control(replica);
            deployment.start_control(replica).unwrap();
        }
        let record = Record::read(&deployment, &ALL).await;
        let count = record.tickets.len() as u64;
        println!("round {round}: {number} acknowledged, {count} kept");
        assert!(
            count == number || count == number + 1,
            "{count} of {number} tickets"
        );
        for (index, kept) in record.tickets.iter().enumerate().skip(1) {
            assert_eq!(kept["objects"], ticket(index as u64 + 1)["objects"]);
        }
        number = count;
    }
}
