//! The owner's part of the path: admission, record of ids, lease, dispatch.

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

/// Size from which an upload counts as bulk load, in bytes.
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
        let mut permit = match target.admission.acquire(&ticket(view)).await {
            Ok(permit) => permit,
            Err(reason) => return answer::Answer::not_run(reason),
        };
        let (entry, fence, run) = match self.check_ownership(view) {
            Ok(checked) => checked,
            Err(refused) => return *refused,
        };
        // Another run of the backend server may have taken over while the request waited.
        // The slice is entered by now, and slices of the former run are closed before the
        // target changes, so the present target is the one that was granted this epoch.
        if !self.is_present(&target) {
            end(run, window::End::NotRun);
            return answer::Answer::not_run(outcome::Reason::Unreachable);
        }
        // A request that has no time left would look like a server that does not answer.
        if view.left(self.clock.now()).is_zero() {
            end(run, window::End::NotRun);
            return answer::Answer::not_run(outcome::Reason::Deadline);
        }
        let response = target.server.dispatch(view, fence, body).await;
        let response = match response {
            Ok(response) if response.refused => {
                permit.refused();
                end(run, window::End::NotRun);
                return answer::Answer::not_run(outcome::Reason::RefusedByServer);
            }
            Ok(response) => response,
            Err(failure) => {
                note_failure(&mut permit, failure);
                return failed(run, failure);
            }
        };
        let guard = answer::Guard { permit, entry };
        let (headers, body, status) = (response.headers, response.body, response.status);
        let short = response
            .length
            .is_some_and(|length| length <= self.limits.answer_bytes as u64);
        let body = answer::Body::Server(body, guard);
        let body = match run {
            Some(run) if short => match keep(run, status, &headers, body).await {
                Ok(bytes) => answer::Body::Whole(bytes),
                Err(reason) => return answer::Answer::unknown(reason),
            },
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
            flight: None,
        }
    }

    fn is_present(&self, target: &sync::Arc<Target<S>>) -> bool {
        let present = self.target.load();
        present
            .as_ref()
            .is_some_and(|present| sync::Arc::ptr_eq(present, target))
    }

    /// Checks, as the last step before the dispatch, that this node may act as the owner.
    ///
    /// The slice is entered before the lease is checked, so that a slice that is
    /// released meanwhile waits for this request.
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
            .dispatched(now, view.service, start, view.hash);
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
    let run = slice.begin(id, view.hash, |verdict| Box::new(replay(&verdict)));
    run.map(Some)
}

/// Turns every verdict but "run" into the answer to a resend.
fn replay(verdict: &window::Verdict<'_>) -> answer::Answer {
    let outcome = verdict.outcome();
    let outcome = outcome.expect("a verdict that lets the request run is no answer");
    let window::Verdict::Replay(kept) = verdict else {
        return answer::Answer::new(outcome);
    };
    let headers = kept.headers.iter();
    answer::Answer {
        headers: headers
            .map(|(name, value)| (name.clone(), Bytes::copy_from_slice(value)))
            .collect(),
        replayed: true,
        body: answer::Body::Whole(Bytes::copy_from_slice(&kept.body)),
        ..answer::Answer::new(outcome)
    }
}

fn ticket(view: &request::View<'_>) -> gate::Ticket {
    // A request that names no size and sends no chunks has no body.
    let bulk = match view.body_bytes() {
        Some(bytes) => bytes > BULK_BYTES,
        None => view.is_chunked(),
    };
    gate::Ticket {
        caller: view.caller,
        service: view.service,
        hash: view.hash,
        class: match bulk {
            true => gate::Class::Bulk,
            false => gate::Class::Interactive,
        },
        deadline: view.deadline,
        request: view.id,
    }
}

fn note_failure(permit: &mut permit::Permit, failure: server::Failure) {
    match failure {
        server::Failure::TimedOut => permit.timed_out(),
        server::Failure::NotSent | server::Failure::Lost => permit.failed(),
        // These say nothing about the server; the permit counts as withdrawn.
        server::Failure::Cut | server::Failure::LeaseExpired => {}
    }
}

fn failed(run: Option<owned::Run>, failure: server::Failure) -> answer::Answer {
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

/// Reads a short answer whole and keeps it for a resend of the same id.
async fn keep(
    run: owned::Run,
    status: u16,
    headers: &answer::Headers,
    body: answer::Body,
) -> Result<Bytes, outcome::Reason> {
    let mut body = pin::pin!(body);
    let mut held = BytesMut::new();
    while let Some(part) = body.next().await {
        match part {
            Ok(part) => held.extend_from_slice(&part),
            Err(_) => {
                let reason = outcome::Reason::ConnectionLost;
                run.end(window::End::Unknown(reason));
                return Err(reason);
            }
        }
    }
    let held = held.freeze();
    let headers = headers.iter();
    run.end(window::End::Answered(Some(window::Answer {
        status,
        headers: headers
            .map(|(name, value)| (name.clone(), value.to_vec()))
            .collect(),
        body: held.to_vec(),
    })));
    Ok(held)
}
