//! Replicas that are killed before, during and after the acceptance of a ticket.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{REPLICAS, State, start_deployment, submit_accepted, ticket, wait_caught_up};

/// Guards against a leader that acknowledges a ticket before a follower has it, so that the
/// ticket is lost with the leader.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_ticket_survives_the_loss_of_the_leader() {
    let mut deployment = start_deployment().await;
    for number in 2..7 {
        wait_caught_up(&deployment, &REPLICAS).await;
        let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
        let before = State::read(&deployment, &[leader]).await;
        submit_accepted(&deployment, &[leader], number).await;
        deployment.kill_control(leader);
        let followers: Vec<_> = REPLICAS
            .into_iter()
            .filter(|replica| *replica != leader)
            .collect();
        let after = State::read(&deployment, &followers).await;
        before.assert_preserved_in(&after);
        assert_eq!(
            after.tickets.len() as u64,
            number,
            "ticket {number} was lost"
        );
        deployment.start_control(leader).unwrap();
    }
}

/// Guards against a leader that acknowledges a ticket which no follower can have received,
/// since both were killed before.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_followers_acknowledges_no_ticket_that_is_lost() {
    let mut deployment = start_deployment().await;
    for _ in 0..3 {
        wait_caught_up(&deployment, &REPLICAS).await;
        let listing = deployment.query(&REPLICAS, "/v1/tickets").await.unwrap();
        let number = listing["next"].as_u64().unwrap();
        let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
        let followers: Vec<_> = REPLICAS
            .into_iter()
            .filter(|replica| *replica != leader)
            .collect();
        for &follower in &followers {
            deployment.kill_control(follower);
        }
        let timeout = Duration::from_secs(8);
        let answer = deployment
            .post_ticket(leader, &ticket(number), timeout)
            .await;
        deployment.kill_control(leader);
        for &follower in &followers {
            deployment.start_control(follower).unwrap();
        }
        let after = State::read(&deployment, &followers).await;
        let is_kept = after.tickets.len() as u64 == number;
        let is_accepted = answer.as_ref().is_some_and(|answer| answer.0 == 200);
        assert!(
            is_kept || !is_accepted,
            "ticket {number} was lost: {answer:?}"
        );
        deployment.start_control(leader).unwrap();
    }
}

/// Guards against tickets and assignments that are acknowledged before they are on disk, and
/// are lost when all replicas are killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_tickets_survive_the_loss_of_all_replicas() {
    let mut deployment = start_deployment().await;
    for number in 2..5 {
        let before = State::read(&deployment, &REPLICAS).await;
        submit_accepted(&deployment, &REPLICAS, number).await;
        for replica in REPLICAS {
            deployment.kill_control(replica);
        }
        for replica in REPLICAS {
            deployment.start_control(replica).unwrap();
        }
        let after = State::read(&deployment, &REPLICAS).await;
        before.assert_preserved_in(&after);
        assert_eq!(
            after.tickets.len() as u64,
            number,
            "ticket {number} was lost"
        );
    }
}

/// Guards against a ticket that is missing between two others when replicas are killed at a
/// random time.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_tickets_survive_kills_at_random_times() {
    let seed: u64 = 0x5e9_0001;
    println!("seed {seed:#x}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = start_deployment().await;
    let mut number = 1;
    for round in 0..4 {
        let leader = deployment.wait_leader(&REPLICAS).await.unwrap();
        let kills_all = round == 3;
        let delay = Duration::from_millis(random.random_range(20..200));
        let killed = REPLICAS
            .into_iter()
            .filter(|replica| kills_all || *replica == leader);
        let pids: Vec<_> = killed
            .clone()
            .map(|replica| deployment.control(replica).unwrap().id())
            .collect();
        let killer = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            for pid in pids {
                let pid = rustix::process::Pid::from_raw(pid as i32).unwrap();
                rustix::process::kill_process(pid, rustix::process::Signal::KILL).unwrap();
            }
        });
        // The ticket after the last acknowledged one may have been accepted without an answer.
        let timeout = Duration::from_secs(3);
        while let Some((200, _)) = deployment
            .post_ticket(leader, &ticket(number + 1), timeout)
            .await
        {
            number += 1;
        }
        killer.await.unwrap();
        for replica in killed {
            deployment.kill_control(replica);
            deployment.start_control(replica).unwrap();
        }
        let state = State::read(&deployment, &REPLICAS).await;
        let count = state.tickets.len() as u64;
        println!("round {round}: {number} acknowledged, {count} kept");
        assert!(
            count == number || count == number + 1,
            "{count} of {number} tickets"
        );
        for (index, kept) in state.tickets.iter().enumerate().skip(1) {
            assert_eq!(kept["objects"], ticket(index as u64 + 1)["objects"]);
        }
        number = count;
    }
}
