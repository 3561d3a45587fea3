//! Callers that write through every node without a break.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::{Deployment, caller};
use tokio::task::JoinSet;

use super::SERVICE;

/// Keys that each writer uses in turn.
const KEYS: u64 = 400;
/// Writers of each node.
const PER_NODE: usize = 3;
/// Time in which writers have to get on.
const PATIENCE: Duration = Duration::from_secs(20);

/// Writers of all nodes.
pub(crate) struct Writers {
    answered: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Vec<String>>,
}

impl Writers {
    /// Starts to write.
    pub(crate) fn start(deployment: &Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        let mut answered = Vec::new();
        for pair in &deployment.vms {
            let count = Arc::new(AtomicU64::new(0));
            for _ in 0..PER_NODE {
                let address = pair.caller().to_owned();
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

    /// Waits until each of these nodes has answered `more` further writes.
    pub(crate) async fn progress(&self, nodes: &[usize], more: u64) {
        let now = |node: &usize| self.answered[*node].load(Ordering::Relaxed);
        let goals: Vec<_> = nodes.iter().map(|node| (node, now(node) + more)).collect();
        let start = Instant::now();
        while goals.iter().any(|(node, goal)| now(node) < *goal) {
            let left = goals
                .iter()
                .map(|(node, goal)| goal.saturating_sub(now(node)));
            let left: Vec<_> = left.collect();
            assert!(start.elapsed() < PATIENCE, "writers stand still: {left:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops them and returns the writes whose outcome is unknown.
    pub(crate) async fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.join_all().await.concat()
    }
}

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
        let path = format!("/s/{SERVICE}/key-{}", number % KEYS);
        let sent = caller::send(&http, &address, Method::POST, &path, None, deadline);
        match sent.await {
            Ok(answer) if answer.outcome == "answered" => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(answer) if answer.outcome == "not-run" => {}
            other => unknown.push(format!("{address}{path}: {other:?}")),
        }
    }
    unknown
}
