//! Operators' requests to chosen control replicas, and the loss of replicas.
//!
//! The kernel still accepts connections for a paused process, so each request has a short
//! timeout and names the replicas that it goes to.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::deployment::{Deployment, MAX_WAIT};
use crate::{Error, process};

/// Timeout of a request to one replica.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two rounds over the replicas.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// HTTP status and body of an answer.
pub type Answer = (u16, Value);

impl Deployment {
    /// Submits a ticket to one replica without a retry.
    ///
    /// Returns `None` if there is no complete answer within `timeout`.
    pub async fn post_ticket(
        &self,
        replica: usize,
        ticket: &Value,
        timeout: Duration,
    ) -> Option<Answer> {
        let url = format!("http://{}/v1/tickets", self.operator_addresses()[replica]);
        let response = self.http().post(url).json(ticket).timeout(timeout).send();
        let answer = response.await.ok()?;
        Some((answer.status().as_u16(), answer.json().await.ok()?))
    }

    /// Sends a query to one replica without a retry.
    ///
    /// Returns `None` if there is no complete answer in time.
    pub async fn get(&self, replica: usize, path: &str) -> Option<Answer> {
        let url = format!("http://{}{path}", self.operator_addresses()[replica]);
        let answer = self
            .http()
            .get(url)
            .timeout(REQUEST_TIMEOUT)
            .send()
            .await
            .ok()?;
        Some((answer.status().as_u16(), answer.json().await.ok()?))
    }

    /// Waits until one of `replicas` answers as the leader, and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if none of them answers as the leader in time.
    pub async fn wait_leader(&self, replicas: &[usize]) -> Result<usize, Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for &replica in replicas {
                let answer = self.get(replica, "/v1/status").await;
                if answer.is_some_and(|(status, _)| status == 200) {
                    return Ok(replica);
                }
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        Err(Error::Timeout(format!("a leader among {replicas:?}")))
    }

    /// Queries `replicas` in turn until the leader answers, and returns the body.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer with status 200 in time.
    pub async fn query(&self, replicas: &[usize], path: &str) -> Result<Value, Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for &replica in replicas {
                if let Some((200, body)) = self.get(replica, path).await {
                    return Ok(body);
                }
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        Err(Error::Timeout(format!("an answer to {path}")))
    }

    /// Queries the leader among `replicas` until `condition` holds for the answer.
    ///
    /// # Errors
    ///
    /// Fails if it does not hold within `timeout`.
    pub async fn query_until<F>(
        &self,
        replicas: &[usize],
        path: &str,
        timeout: Duration,
        condition: F,
    ) -> Result<Value, Error>
    where
        F: Fn(&Value) -> bool,
    {
        let start = Instant::now();
        loop {
            let body = self.query(replicas, path).await?;
            if condition(&body) {
                return Ok(body);
            }
            if start.elapsed() >= timeout {
                return Err(Error::Timeout(format!("{path}; last answer: {body}")));
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Submits a ticket to `replicas` in turn until one of them decides on it.
    ///
    /// # Errors
    ///
    /// Fails if none of them decides in time.
    pub async fn submit_to(&self, replicas: &[usize], ticket: &Value) -> Result<Answer, Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for &replica in replicas {
                match self.post_ticket(replica, ticket, REQUEST_TIMEOUT).await {
                    Some((421 | 504, _)) | None => {}
                    Some(answer) => return Ok(answer),
                }
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        Err(Error::Timeout("a decision on a ticket".to_owned()))
    }

    /// Kills a control replica, like the loss of its VM.
    pub fn kill_control(&mut self, replica: usize) {
        if let Some(mut process) = self.control[replica].take() {
            process.kill();
        }
    }

    /// Returns the process of a control replica, unless it was killed.
    pub fn control(&self, replica: usize) -> Option<&process::Process> {
        self.control.get(replica)?.as_ref()
    }
}

/// Returns a ticket that sets the state of a backend server, such as `serving`.
pub fn server_ticket(number: u64, name: &str, state: &str) -> Value {
    json!({ "number": number, "objects": [{ "server": { "name": name, "state": state } }] })
}
