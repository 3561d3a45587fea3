//! Conversion between messages and the types of the crates that make decisions.

use std::net;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::outcome;
use sequoiayoke_model::table;
use sequoiayoke_model::view;
use sequoiayoke_state::member;

use crate::session;
use crate::stream;

/// Error for a message that violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message: {0}")]
pub struct Malformed(pub &'static str);

/// Encodes a change of the view.
pub fn encode_change(change: &view::Change) -> session::Change {
    let body = match change {
        view::Change::Service(id, service) => session::ChangeBody::Service(session::Service {
            id: id.0,
            name: service.name.clone(),
            idempotent: service.idempotent.clone(),
            scoped: service.scoped,
        }),
        view::Change::Server(id, server) => session::ChangeBody::Server(session::Server {
            id: id.0,
            name: server.name.clone(),
            incarnation: server.incarnation.0,
            peer_address: server.peer_address.to_string(),
            caller_address: server.caller_address.to_string(),
            draining: server.draining,
        }),
        view::Change::ServerGone(id) => session::ChangeBody::ServerGone(id.0),
        view::Change::Caller(id, caller) => session::ChangeBody::Caller(session::Caller {
            id: id.0,
            name: caller.name.clone(),
            token_digest: caller.token_digest.to_vec(),
            scope: caller.scope.clone(),
        }),
        view::Change::Slice(id, slice) => session::ChangeBody::Slice(encode_slice(*id, slice)),
        view::Change::SliceMerged(id, start) => {
            let merged = table::Slice {
                start: *start,
                holder: None,
            };
            session::ChangeBody::SliceMerged(encode_slice(*id, &merged))
        }
    };
    session::Change { body: Some(body) }
}

fn encode_slice(service: id::Service, slice: &table::Slice) -> session::Slice {
    session::Slice {
        service: service.0,
        start: slice.start.0,
        server: slice.holder.map_or(0, |holder| holder.server.0),
        incarnation: slice.holder.map_or(0, |holder| holder.incarnation.0),
        epoch: slice.holder.map_or(0, |holder| holder.epoch.0),
    }
}

/// Decodes a change of the view.
///
/// # Errors
///
/// Fails if a field is missing or malformed.
pub fn decode_change(change: session::Change) -> Result<view::Change, Malformed> {
    let decoded = match change.body.ok_or(Malformed("change has no body"))? {
        session::ChangeBody::Service(service) => view::Change::Service(
            id::Service(service.id),
            view::Service {
                name: service.name,
                idempotent: service.idempotent,
                scoped: service.scoped,
            },
        ),
        session::ChangeBody::Server(server) => view::Change::Server(
            id::Server(server.id),
            view::Server {
                name: server.name,
                incarnation: id::Incarnation(server.incarnation),
                peer_address: parse_address(&server.peer_address)?,
                caller_address: parse_address(&server.caller_address)?,
                draining: server.draining,
            },
        ),
        session::ChangeBody::ServerGone(id) => view::Change::ServerGone(id::Server(id)),
        session::ChangeBody::Caller(caller) => {
            let digest = caller.token_digest.as_slice().try_into();
            let decoded_caller = view::Caller {
                name: caller.name,
                token_digest: digest.map_err(|_| Malformed("token digest is not 32 bytes long"))?,
                scope: caller.scope,
            };
            view::Change::Caller(id::Caller(caller.id), decoded_caller)
        }
        session::ChangeBody::Slice(slice) => {
            view::Change::Slice(id::Service(slice.service), decode_slice(&slice))
        }
        session::ChangeBody::SliceMerged(slice) => {
            view::Change::SliceMerged(id::Service(slice.service), key::Hash(slice.start))
        }
    };
    Ok(decoded)
}

fn decode_slice(slice: &session::Slice) -> table::Slice {
    let holder = (slice.incarnation != 0).then_some(table::Holder {
        server: id::Server(slice.server),
        incarnation: id::Incarnation(slice.incarnation),
        epoch: id::Epoch(slice.epoch),
    });
    table::Slice {
        start: key::Hash(slice.start),
        holder,
    }
}

fn parse_address(text: &str) -> Result<net::SocketAddr, Malformed> {
    text.parse()
        .map_err(|_| Malformed("address is not an IP address and port"))
}

/// Encodes an announcement.
pub fn encode_announcement(announcement: &member::Announcement) -> session::Announcement {
    session::Announcement {
        name: announcement.name.clone(),
        nonce: announcement.nonce,
        services: announcement.services.clone(),
        failure_domain: announcement.failure_domain.clone(),
        peer_address: announcement.peer_address.to_string(),
        caller_address: announcement.caller_address.to_string(),
        slots: announcement.slots,
        checks_fencing: announcement.checks_fencing,
        checks_sender: announcement.checks_sender,
    }
}

/// Decodes an announcement.
///
/// # Errors
///
/// Fails if an address is malformed.
pub fn decode_announcement(
    announcement: session::Announcement,
) -> Result<member::Announcement, Malformed> {
    Ok(member::Announcement {
        peer_address: parse_address(&announcement.peer_address)?,
        caller_address: parse_address(&announcement.caller_address)?,
        name: announcement.name,
        nonce: announcement.nonce,
        services: announcement.services,
        failure_domain: announcement.failure_domain,
        slots: announcement.slots,
        checks_fencing: announcement.checks_fencing,
        checks_sender: announcement.checks_sender,
    })
}

/// Returns the number of a reason on the wire.
pub fn encode_reason(reason: outcome::Reason) -> u32 {
    reason as u32
}

/// Returns the reason with this number, or [`outcome::Reason::Protocol`] if the number is unknown.
pub fn decode_reason(number: u32) -> outcome::Reason {
    let index = usize::try_from(number).unwrap_or(usize::MAX);
    let reason = outcome::Reason::ALL.get(index).copied();
    reason.unwrap_or(outcome::Reason::Protocol)
}

/// Sets the outcome in the head of an answer.
pub fn set_outcome(head: &mut stream::Head, outcome: outcome::Outcome) {
    (head.outcome, head.detail) = match outcome {
        outcome::Outcome::Answered(status) => (0, u32::from(status)),
        outcome::Outcome::NotRun(reason) => (1, encode_reason(reason)),
        outcome::Outcome::Unknown(reason) => (2, encode_reason(reason)),
    };
}

/// Returns the outcome in the head of an answer.
///
/// A malformed head gives `Unknown`, the only outcome that makes no claim about the request.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::outcome;
/// use sequoiayoke_wire::{convert, stream};
///
/// let refused = outcome::Outcome::NotRun(outcome::Reason::Draining);
/// let mut head = stream::Head::default();
/// convert::set_outcome(&mut head, refused);
/// assert_eq!(convert::outcome(&head), refused);
/// ```
pub fn outcome(head: &stream::Head) -> outcome::Outcome {
    match (head.outcome, u16::try_from(head.detail)) {
        (0, Ok(status)) if (100..1000).contains(&status) => outcome::Outcome::Answered(status),
        (1, _) => outcome::Outcome::NotRun(decode_reason(head.detail)),
        (2, _) => outcome::Outcome::Unknown(decode_reason(head.detail)),
        _ => outcome::Outcome::Unknown(outcome::Reason::Protocol),
    }
}
