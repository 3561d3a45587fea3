//! Operators' requests to chosen control replicas, and losses of replicas.
//!
//! A paused process still accepts connections, so each request has a short
//! limit and names the replicas that it goes to.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::deployment::{Deployment, MAX_WAIT};
use crate::{Error, process};

/// Time that one replica has for an answer.
const LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between two rounds over the replicas.
const PAUSE: Duration = Duration::from_millis(10);

/// HTTP status and body of an answer.
pub type Answer = (u16, Value);

impl Deployment {
    /// Sends a ticket to one replica, once; `None` if there is no whole answer in `limit`.
    pub async fn post_ticket(
        &self,
        replica: usize,
        ticket: &Value,
        limit: Duration,
    ) -> Option<Answer> {
        let url = format!("http://{}/v1/tickets", self.operator_addresses()[replica]);
        let sent = self.http().post(url).json(ticket).timeout(limit).send();
        let answer = sent.await.ok()?;
        Some((answer.status().as_u16(), answer.json().await.ok()?))
    }

    /// Asks one replica, once; `None` if there is no whole answer in time.
    pub async fn get(&self, replica: usize, path: &str) -> Option<Answer> {
        let url = format!("http://{}{path}", self.operator_addresses()[replica]);
        let answer = self.http().get(url).timeout(LIMIT).send().await.ok()?;
        Some((answer.status().as_u16(), answer.json().await.ok()?))
    }

    /// Waits until one of `replicas` answers as the leader, and returns its number.
    ///
    /// # Errors
    ///
    /// Fails if none does in time.
    pub async fn wait_leader(&self, replicas: &[usize]) -> Result<usize, Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for &replica in replicas {
                let answer = self.get(replica, "/v1/status").await;
                if answer.is_some_and(|(status, _)| status == 200) {
                    return Ok(replica);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(Error::Timeout(format!("a leader among {replicas:?}")))
    }

    /// Asks the leader among `replicas` until it answers, and returns the body.
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
            tokio::time::sleep(PAUSE).await;
        }
        Err(Error::Timeout(format!("an answer to {path}")))
    }

    /// Asks the leader among `replicas` until `condition` holds for the answer.
    ///
    /// # Errors
    ///
    /// Fails if it does not hold in `limit`.
    pub async fn query_until<F>(
        &self,
        replicas: &[usize],
        path: &str,
        limit: Duration,
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
            if start.elapsed() >= limit {
                return Err(Error::Timeout(format!("{path}; last answer: {body}")));
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Submits a ticket to `replicas` in turn until one of them decides.
    ///
    /// # Errors
    ///
    /// Fails if none does in time.
    pub async fn submit_to(&self, replicas: &[usize], ticket: &Value) -> Result<Answer, Error> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            for &replica in replicas {
                match self.post_ticket(replica, ticket, LIMIT).await {
                    Some((421 | 504, _)) | None => {}
                    Some(answer) => return Ok(answer),
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(Error::Timeout("a decision about a ticket".to_owned()))
    }

    /// Ends a control replica at once, as a lost VM would.
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

/// Makes a ticket that sets whether a backend server serves.
pub fn server_ticket(number: u64, name: &str, state: &str) -> Value {
    json!({ "number": number, "objects": [{ "server": { "name": name, "state": state } }] })
}
