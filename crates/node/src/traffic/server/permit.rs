//! Permits for the slots of the backend server.

use std::collections;
use std::sync;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::outcome;
use sequoiayoke_traffic::admission::gate;
use sequoiayoke_traffic::health;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::traffic::evidence;

type Decision = Result<(), outcome::Reason>;

#[derive(Debug)]
struct State {
    gate: gate::Gate,
    waiting: collections::HashMap<gate::Key, oneshot::Sender<Decision>>,
}

/// Admission to one backend server, shared by all traffic threads.
#[derive(Debug)]
pub struct Admission {
    // Locked for one decision at a time, never across an `await`.
    state: sync::Mutex<State>,
    // Wakes the timer when the earliest deadline may have changed.
    deadline_changed: Notify,
    evidence: sync::Arc<evidence::Evidence>,
}

/// Permit for a slot, which is released when the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    admission: sync::Arc<Admission>,
    key: gate::Key,
    since: clock::Instant,
    finish: gate::Finish,
}

impl Permit {
    /// Records that the backend server answered completely.
    pub const fn completed(&mut self) {
        self.finish = gate::Finish::Completed;
    }

    /// Records that the connection failed.
    pub const fn failed(&mut self) {
        self.finish = gate::Finish::Failed;
    }

    /// Records that the server did not answer in time.
    pub const fn timed_out(&mut self) {
        self.finish = gate::Finish::TimedOut;
    }

    /// Records that the server refused the request because of its load.
    pub const fn refused(&mut self) {
        self.finish = gate::Finish::Refused;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = clock::Instant::now();
        let latency = now.saturating_since(self.since);
        let (key, mut finish) = (self.key, self.finish);
        if let Some(sample) = sample(finish, latency) {
            let evidence = &self.admission.evidence;
            if !evidence.record_sample(now, self.since, sample) {
                // The node was suspended meanwhile, so this is no failure of the server.
                finish = gate::Finish::Withdrawn;
            }
        }
        self.admission
            .update(|gate| gate.finish(now, key, latency, finish));
    }
}

fn sample(finish: gate::Finish, latency: Duration) -> Option<health::Sample> {
    match finish {
        gate::Finish::Completed => Some(health::Sample::Answered(latency)),
        gate::Finish::TimedOut => Some(health::Sample::TimedOut),
        gate::Finish::Failed => Some(health::Sample::Failed),
        // A refusal is an answer, and a withdrawal is independent of the server.
        gate::Finish::Refused | gate::Finish::Withdrawn => None,
    }
}

/// Withdraws a waiting request when its future is dropped.
struct Waiting<'a> {
    admission: &'a Admission,
    key: Option<gate::Key>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            let now = clock::Instant::now();
            self.admission.update(|gate| gate.cancel(now, key));
        }
    }
}

impl Admission {
    /// Creates the admission for a newly announced backend server.
    pub fn new(limits: gate::Limits, evidence: sync::Arc<evidence::Evidence>) -> Self {
        Self {
            state: sync::Mutex::new(State {
                gate: gate::Gate::new(limits, clock::Instant::now()),
                waiting: collections::HashMap::new(),
            }),
            deadline_changed: Notify::new(),
            evidence,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is shed, in which case it has not run.
    pub async fn acquire(
        self: &sync::Arc<Self>,
        ticket: &gate::Ticket,
    ) -> Result<Permit, outcome::Reason> {
        let (sender, receiver) = oneshot::channel();
        let key = match self.arrive(ticket, sender) {
            gate::Arrival::Admitted(key) => return Ok(self.permit(key)),
            gate::Arrival::Shed(reason) => return Err(reason),
            gate::Arrival::Queued(key) => key,
        };
        self.deadline_changed.notify_one();
        let mut waiting = Waiting {
            admission: self,
            key: Some(key),
        };
        let decision = receiver.await;
        // The gate removes the request from its queue before it sends the decision.
        waiting.key = None;
        match decision {
            Ok(Ok(())) => Ok(self.permit(key)),
            Ok(Err(reason)) => Err(reason),
            Err(_) => Err(outcome::Reason::Draining),
        }
    }

    /// Changes the number of slots.
    pub fn resize(&self, slots: u32) {
        let now = clock::Instant::now();
        self.update(|gate| gate.resize(now, slots));
    }

    /// Rejects the waiting requests and all that arrive later, since the backend server is gone.
    pub fn close(&self) {
        self.update(gate::Gate::drain);
    }

    /// Returns the number of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        let state = self.lock();
        (state.gate.running(), state.gate.waiting())
    }

    /// Returns whether the backend server answers no request at all.
    pub fn is_unresponsive(&self) -> bool {
        self.lock().gate.is_unresponsive(clock::Instant::now())
    }

    /// Sheds waiting requests whose deadline has passed; runs until it is dropped.
    pub async fn run_deadlines(&self) {
        loop {
            let next = self.lock().gate.next_deadline();
            let pause = match next {
                Some(next) => clock::Instant::now().saturating_until(next),
                None => Duration::from_secs(3600),
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.deadline_changed.notified() => {}
            }
            let now = clock::Instant::now();
            self.update(|gate| gate.expire(now));
        }
    }

    fn arrive(&self, ticket: &gate::Ticket, sender: oneshot::Sender<Decision>) -> gate::Arrival {
        let mut state = self.lock();
        let arrival = state.gate.arrive(clock::Instant::now(), ticket);
        if let gate::Arrival::Queued(key) = arrival {
            state.waiting.insert(key, sender);
        }
        arrival
    }

    fn permit(self: &sync::Arc<Self>, key: gate::Key) -> Permit {
        Permit {
            admission: sync::Arc::clone(self),
            key,
            since: clock::Instant::now(),
            finish: gate::Finish::Withdrawn,
        }
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut gate::Gate) -> gate::Update,
    {
        let mut state = self.lock();
        let mut update = change(&mut state.gate);
        // The slot of a waiter whose future was dropped passes to the next one.
        while !update.admitted.is_empty() || !update.shed.is_empty() {
            update = state.notify(&update);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no code panics while it holds the lock of the admission")
    }
}

impl State {
    fn notify(&mut self, update: &gate::Update) -> gate::Update {
        for (key, reason) in &update.shed {
            if let Some(sender) = self.waiting.remove(key) {
                let _ = sender.send(Err(*reason));
            }
        }
        let mut next = gate::Update::default();
        for key in &update.admitted {
            let is_delivered = match self.waiting.remove(key) {
                Some(sender) => sender.send(Ok(())).is_ok(),
                None => false,
            };
            if !is_delivered {
                let freed = self.gate.cancel(clock::Instant::now(), *key);
                next.admitted.extend(freed.admitted);
                next.shed.extend(freed.shed);
            }
        }
        next
    }
}
