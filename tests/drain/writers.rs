//! Tasks that write through every node continuously.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::{Deployment, caller};
use tokio::task::JoinSet;

use super::SERVICE;

/// Number of keys that each writer uses in turn.
const KEY_COUNT: u64 = 400;
/// Number of writers for each node.
const WRITERS_PER_NODE: usize = 3;
/// Longest wait for the progress of the writers.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Writers for all nodes.
pub(crate) struct Writers {
    answered: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Vec<String>>,
}

impl Writers {
    /// Starts the writers.
    pub(crate) fn start(deployment: &Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        let mut answered = Vec::new();
        for vm in &deployment.vms {
            let count = Arc::new(AtomicU64::new(0));
            for _ in 0..WRITERS_PER_NODE {
                let address = vm.caller().to_owned();
                let (http, count) = (deployment.http().clone(), Arc::clone(&count));
                tasks.spawn(write(http, address, count, Arc::clone(&stop)));
            }
            answered.push(count);
        }
        Self {
            answered,
            stop,
            tasks,
        }
    }

    /// Waits until each of these nodes has answered `count` further writes.
    pub(crate) async fn wait_progress(&self, nodes: &[usize], count: u64) {
        let answered_by = |node: &usize| self.answered[*node].load(Ordering::Relaxed);
        let goals: Vec<_> = nodes
            .iter()
            .map(|node| (node, answered_by(node) + count))
            .collect();
        let start = Instant::now();
        while goals.iter().any(|(node, goal)| answered_by(node) < *goal) {
            let missing = goals
                .iter()
                .map(|(node, goal)| goal.saturating_sub(answered_by(node)));
            let missing: Vec<_> = missing.collect();
            assert!(
                start.elapsed() < MAX_WAIT,
                "writers make no progress; writes still missing: {missing:?}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops the writers and returns the writes whose outcome is unknown.
    pub(crate) async fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.join_all().await.concat()
    }
}

/// Writes through one node until `stop` is set; returns the writes whose outcome is unknown.
async fn write(
    http: reqwest::Client,
    address: String,
    answered: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> Vec<String> {
    let mut unknown = Vec::new();
    let deadline = Duration::from_secs(3);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let path = format!("/s/{SERVICE}/key-{}", number % KEY_COUNT);
        let request = caller::send(&http, &address, Method::POST, &path, None, deadline);
        match request.await {
            Ok(answer) if answer.outcome == "answered" => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(answer) if answer.outcome == "not-run" => {}
            unexpected => unknown.push(format!("{address}{path}: {unexpected:?}")),
        }
    }
    unknown
}
