//! The owner's part of the path: admission, record of ids, lease check, dispatch.

use std::io;
use std::pin;
use std::sync;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use sequoiayoke_model::clock;
use sequoiayoke_model::outcome;
use sequoiayoke_traffic::admission::gate;
use sequoiayoke_traffic::window;

use super::{Path, Target};
use crate::traffic::answer;
use crate::traffic::owned;
use crate::traffic::request;
use crate::traffic::server;
use crate::traffic::server::permit;

/// Size in bytes above which a request is admitted as bulk load.
const BULK_BYTES: u64 = 64 * 1024;

impl<C, S> Path<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    /// Runs the request on the backend server of this VM.
    pub(super) async fn dispatch<B>(&self, view: &request::View<'_>, body: B) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let target = self.target.load_full();
        let Some(target) = target else {
            return answer::Answer::not_run(outcome::Reason::Unreachable);
        };
        let ticket = admission_ticket(view);
        let admitted = view
            .until_cancelled(target.admission.acquire(&ticket))
            .await;
        let mut permit = match admitted.unwrap_or_else(|| Err(self.cancel_reason())) {
            Ok(permit) => permit,
            Err(reason) => return answer::Answer::not_run(reason),
        };
        let (entry, fence, run) = match self.check_ownership(view) {
            Ok(checked) => checked,
            Err(answer) => return *answer,
        };
        // A new run of the backend server may have replaced the target while the request
        // waited. The slice is entered at this point, and the slices of the previous run are
        // closed before the target changes, so the current target holds the grant of this
        // epoch.
        if !self.is_current(&target) {
            end(run, window::End::NotRun);
            return answer::Answer::not_run(outcome::Reason::Unreachable);
        }
        // Dispatching without time left would be recorded as a timeout of the server.
        if view.left(self.clock.now()).is_zero() {
            end(run, window::End::NotRun);
            return answer::Answer::not_run(outcome::Reason::Deadline);
        }
        if view.cancel.is_cancelled() {
            end(run, window::End::NotRun);
            return answer::Answer::not_run(self.cancel_reason());
        }
        let dispatch = target.server.dispatch(view, fence, body);
        let Some(response) = view.until_cancelled(dispatch).await else {
            let reason = self.cancel_reason();
            end(run, window::End::Unknown(reason));
            return answer::Answer::unknown(reason);
        };
        let response = match response {
            Ok(response) if response.refused => {
                permit.refused();
                end(run, window::End::NotRun);
                return answer::Answer::not_run(outcome::Reason::RefusedByServer);
            }
            Ok(response) => response,
            Err(failure) => {
                record_failure(&mut permit, failure);
                return failure_answer(run, failure);
            }
        };
        let guard = answer::Guard { permit, entry };
        let (headers, body, status) = (response.headers, response.body, response.status);
        let is_short = response
            .length
            .is_some_and(|length| length <= self.limits.answer_bytes as u64);
        let body = answer::Body::Server(body, guard);
        let body = match run {
            Some(run) if is_short => {
                let storing = store_answer(run, status, &headers, body);
                let stored = view.until_cancelled(storing).await;
                match stored.unwrap_or_else(|| Err(self.cancel_reason())) {
                    Ok(bytes) => answer::Body::Whole(bytes),
                    Err(reason) => return answer::Answer::unknown(reason),
                }
            }
            run => {
                end(run, window::End::Answered(None));
                body
            }
        };
        answer::Answer {
            outcome: outcome::Outcome::Answered(status),
            headers,
            epoch: Some(fence.epoch),
            server: target.name.clone(),
            replayed: false,
            body,
            in_flight: None,
        }
    }

    fn is_current(&self, target: &sync::Arc<Target<S>>) -> bool {
        let current = self.target.load();
        current
            .as_ref()
            .is_some_and(|current| sync::Arc::ptr_eq(current, target))
    }

    /// Checks ownership and lease, as the last step before the dispatch.
    ///
    /// The slice is entered before the lease is checked, so that a concurrent release of
    /// the slice waits for this request.
    fn check_ownership(&self, view: &request::View<'_>) -> Result<Checked, Box<answer::Answer>> {
        let not_run = |reason| Box::new(answer::Answer::not_run(reason));
        let snapshot = self.published.load();
        let slice = snapshot.owned_slice(view.service, view.hash);
        let slice = slice.ok_or_else(|| not_run(outcome::Reason::NotOwner))?;
        let entry = slice.enter();
        let entry = entry.ok_or_else(|| not_run(outcome::Reason::NotOwner))?;
        let run = begin(slice, view)?;
        let (now, start) = (self.clock.now(), slice.range().first);
        self.evidence
            .record_dispatch(now, view.service, start, view.hash);
        let fence = server::Fence {
            epoch: slice.epoch(),
            lease_until: snapshot.lease_until,
        };
        if self.clock.now() >= snapshot.lease_until {
            end(run, window::End::NotRun);
            return Err(not_run(outcome::Reason::LeaseExpired));
        }
        Ok((entry, fence, run))
    }
}

type Checked = (owned::Entry, server::Fence, Option<owned::Run>);

fn begin(
    slice: &owned::Slice,
    view: &request::View<'_>,
) -> Result<Option<owned::Run>, Box<answer::Answer>> {
    let Some(id) = view.id.filter(|_| !view.idempotent) else {
        return Ok(None);
    };
    let run = slice.begin(id, view.hash, |verdict| Box::new(retry_answer(&verdict)));
    run.map(Some)
}

/// Returns the answer to a retry of an id, for every verdict except `Run`.
fn retry_answer(verdict: &window::Verdict<'_>) -> answer::Answer {
    let outcome = verdict.outcome();
    let outcome = outcome.expect("every verdict except `Run` has an outcome");
    let window::Verdict::Replay(stored) = verdict else {
        return answer::Answer::new(outcome);
    };
    let headers = stored.headers.iter();
    answer::Answer {
        headers: headers
            .map(|(name, value)| (name.clone(), Bytes::copy_from_slice(value)))
            .collect(),
        replayed: true,
        body: answer::Body::Whole(Bytes::copy_from_slice(&stored.body)),
        ..answer::Answer::new(outcome)
    }
}

fn admission_ticket(view: &request::View<'_>) -> gate::Ticket {
    // A request without a size that is not chunked has no body.
    let is_bulk = match view.body_bytes() {
        Some(bytes) => bytes > BULK_BYTES,
        None => view.is_chunked(),
    };
    gate::Ticket {
        caller: view.caller,
        service: view.service,
        hash: view.hash,
        class: match is_bulk {
            true => gate::Class::Bulk,
            false => gate::Class::Interactive,
        },
        deadline: view.deadline,
        request: view.id,
    }
}

fn record_failure(permit: &mut permit::Permit, failure: server::Failure) {
    match failure {
        server::Failure::TimedOut => permit.timed_out(),
        server::Failure::NotSent | server::Failure::Lost | server::Failure::Mismatched => {
            permit.failed();
        }
        // These are not failures of the server; the permit counts as withdrawn.
        server::Failure::BodyFailed | server::Failure::LeaseExpired => {}
    }
}

fn failure_answer(run: Option<owned::Run>, failure: server::Failure) -> answer::Answer {
    let outcome = failure.outcome();
    end(
        run,
        match outcome {
            outcome::Outcome::Unknown(reason) => window::End::Unknown(reason),
            _ => window::End::NotRun,
        },
    );
    answer::Answer::new(outcome)
}

fn end(run: Option<owned::Run>, end: window::End) {
    if let Some(run) = run {
        run.end(end);
    }
}

/// Reads a short answer completely and stores it for retries of the same id.
async fn store_answer(
    run: owned::Run,
    status: u16,
    headers: &answer::Headers,
    body: answer::Body,
) -> Result<Bytes, outcome::Reason> {
    let mut body = pin::pin!(body);
    let mut buffer = BytesMut::new();
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => buffer.extend_from_slice(&part),
            Err(_) => {
                let reason = outcome::Reason::ConnectionLost;
                run.end(window::End::Unknown(reason));
                return Err(reason);
            }
        }
    }
    let bytes = buffer.freeze();
    let headers = headers.iter();
    run.end(window::End::Answered(Some(window::Answer {
        status,
        headers: headers
            .map(|(name, value)| (name.clone(), value.to_vec()))
            .collect(),
        body: bytes.to_vec(),
    })));
    Ok(bytes)
}
