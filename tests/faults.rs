//! Invariant I1 under random faults: a key has at most one owner at any time.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use sequoiayoke_harness::{Deployment, fault};
use support::{ExclusiveDeployment, SERVICE};

const KEYS: [&str; 3] = ["kiosk-17", "order-3", "lot-5"];
/// Number of faults in one run; after each the test waits until the key is served again.
const FAULTS: u32 = 14;

/// Starts tasks that write to the keys through each node until `stop` is set.
fn start_writers(world: &ExclusiveDeployment, stop: &sync::Arc<atomic::AtomicBool>) {
    for index in 0..world.vms.len() {
        for key in KEYS {
            let (http, stop) = (world.http().clone(), sync::Arc::clone(stop));
            let address = world.vms[index].caller().to_owned();
            tokio::spawn(async move {
                while !stop.load(atomic::Ordering::Relaxed) {
                    let deadline = Duration::from_millis(300);
                    let _ = support::post(&http, &address, key, None, deadline).await;
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            });
        }
    }
}

/// Sends a few writes through a node other than that of VM `index`, whose paused backend server
/// cannot answer them, and ignores the results.
async fn send_unanswered(world: &Deployment, index: usize, key: &str) {
    let address = world.vms[(index + 1) % world.vms.len()].caller();
    for _ in 0..3 {
        let _ = support::post(world.http(), address, key, None, support::RETRY_DEADLINE).await;
    }
}

/// Guards against two owners of a key after a sequence of faults that no other test covers.
#[tokio::test(flavor = "multi_thread")]
async fn keys_have_one_owner_under_random_faults() {
    let seed = std::env::var("SEED").map_or_else(|_| rand::random(), |seed| seed.parse().unwrap());
    println!("SEED={seed}");
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut world = support::start(4, 12, 1, true).await;
    let stop = sync::Arc::default();
    start_writers(&world, &stop);
    let mut number = 2;
    for step in 0..FAULTS {
        let key = KEYS[random.random_range(0..KEYS.len())];
        let (owner, epoch) = world.find_owner(SERVICE, key).await.unwrap();
        let other = (owner + random.random_range(1..4)) % 4;
        let address = world.vms[other].caller().to_owned();
        let fault_kind = random.random_range(0..9);
        println!("{step}: fault {fault_kind}, {key} at {owner} under {epoch}");
        match fault_kind {
            0 | 1 => {
                let name = world.vms[other].server.name.clone();
                support::pin(&world, number, key, &name).await;
                number += 1;
            }
            2 => {
                world.vms[owner].pause();
                support::wait_served_after(&world, &address, key, epoch).await;
                world.vms[owner].resume();
            }
            3 => {
                world.vms[owner].node.pause();
                support::wait_served_after(&world, &address, key, epoch).await;
                world.vms[owner].node.resume();
            }
            4 => {
                let name = world.vms[other].server.name.clone();
                world.vms[owner].standin.pause();
                send_unanswered(&world, owner, key).await;
                support::pin(&world, number, key, &name).await;
                number += 1;
                send_unanswered(&world, owner, key).await;
                world.vms[owner].standin.resume();
            }
            5 => {
                world.vms[owner].kill();
                support::wait_served_after(&world, &address, key, epoch).await;
                world.restart_vm(owner).unwrap();
            }
            6 => {
                world.restart_node(owner).unwrap();
                support::wait_served_after(&world, &address, key, epoch).await;
            }
            7 => {
                let leader = world.leader().await.unwrap();
                world.control[leader] = None;
                world.vms[owner].pause();
                support::wait_served_after(&world, &address, key, epoch).await;
                world.vms[owner].resume();
                world.start_control(leader).unwrap();
            }
            _ => {
                let leader = world.leader().await.unwrap();
                world.control[leader].as_ref().unwrap().pause();
                world
                    .wait_status("another replica leads", |_| true)
                    .await
                    .unwrap();
                world.control[leader].as_ref().unwrap().resume();
            }
        }
        support::wait_served_after(&world, &address, key, 0).await;
        world.wait_joined().await.unwrap();
    }
    stop.store(true, atomic::Ordering::Relaxed);
    for vm in &world.vms {
        let is_idle = |running, queued| running + queued == 0;
        fault::wait_load(world.http(), vm, is_idle).await.unwrap();
    }
    let executions = world.executions();
    println!("{} executions", executions.len());
    support::assert_one_owner(&executions);
    let counts = support::count_executions(&executions);
    // A write that is received while its key has no owner gets no request id.
    let with_id = counts.iter().filter(|(id, _)| !id.is_empty());
    let repeated: Vec<_> = with_id.filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
}
