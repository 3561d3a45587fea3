//! Conversion between messages and the pure types.

use std::net;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::outcome;
use sequoiayoke_model::table;
use sequoiayoke_model::view;
use sequoiayoke_state::member;

use crate::session;
use crate::stream;

/// A message that breaks the protocol.
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
        view::Change::Slice(service, one) => session::ChangeBody::Slice(slice(*service, one)),
        view::Change::SliceMerged(service, start) => {
            let one = table::Slice {
                start: *start,
                holder: None,
            };
            session::ChangeBody::SliceMerged(slice(*service, &one))
        }
    };
    session::Change { body: Some(body) }
}

fn slice(service: id::Service, one: &table::Slice) -> session::Slice {
    session::Slice {
        service: service.0,
        start: one.start.0,
        server: one.holder.map_or(0, |holder| holder.server.0),
        incarnation: one.holder.map_or(0, |holder| holder.incarnation.0),
        epoch: one.holder.map_or(0, |holder| holder.epoch.0),
    }
}

/// Decodes a change of the view.
///
/// # Errors
///
/// Fails if a field is missing or malformed.
pub fn decode_change(change: session::Change) -> Result<view::Change, Malformed> {
    let decoded = match change.body.ok_or(Malformed("change without body"))? {
        session::ChangeBody::Service(one) => view::Change::Service(
            id::Service(one.id),
            view::Service {
                name: one.name,
                idempotent: one.idempotent,
                scoped: one.scoped,
            },
        ),
        session::ChangeBody::Server(one) => view::Change::Server(
            id::Server(one.id),
            view::Server {
                name: one.name,
                incarnation: id::Incarnation(one.incarnation),
                peer_address: address(&one.peer_address)?,
                caller_address: address(&one.caller_address)?,
                draining: one.draining,
            },
        ),
        session::ChangeBody::ServerGone(id) => view::Change::ServerGone(id::Server(id)),
        session::ChangeBody::Caller(one) => {
            let digest = one.token_digest.as_slice().try_into();
            let caller = view::Caller {
                name: one.name,
                token_digest: digest.map_err(|_| Malformed("token digest"))?,
                scope: one.scope,
            };
            view::Change::Caller(id::Caller(one.id), caller)
        }
        session::ChangeBody::Slice(one) => {
            view::Change::Slice(id::Service(one.service), to_slice(&one))
        }
        session::ChangeBody::SliceMerged(one) => {
            view::Change::SliceMerged(id::Service(one.service), key::Hash(one.start))
        }
    };
    Ok(decoded)
}

fn to_slice(one: &session::Slice) -> table::Slice {
    let holder = (one.incarnation != 0).then_some(table::Holder {
        server: id::Server(one.server),
        incarnation: id::Incarnation(one.incarnation),
        epoch: id::Epoch(one.epoch),
    });
    table::Slice {
        start: key::Hash(one.start),
        holder,
    }
}

fn address(text: &str) -> Result<net::SocketAddr, Malformed> {
    text.parse().map_err(|_| Malformed("address"))
}

/// Encodes an announcement.
pub fn encode_announcement(one: &member::Announcement) -> session::Announcement {
    session::Announcement {
        name: one.name.clone(),
        nonce: one.nonce,
        services: one.services.clone(),
        failure_domain: one.failure_domain.clone(),
        peer_address: one.peer_address.to_string(),
        caller_address: one.caller_address.to_string(),
        slots: one.slots,
        checks_fencing: one.checks_fencing,
        checks_sender: one.checks_sender,
    }
}

/// Decodes an announcement.
///
/// # Errors
///
/// Fails if an address is malformed.
pub fn decode_announcement(one: session::Announcement) -> Result<member::Announcement, Malformed> {
    Ok(member::Announcement {
        peer_address: address(&one.peer_address)?,
        caller_address: address(&one.caller_address)?,
        name: one.name,
        nonce: one.nonce,
        services: one.services,
        failure_domain: one.failure_domain,
        slots: one.slots,
        checks_fencing: one.checks_fencing,
        checks_sender: one.checks_sender,
    })
}

/// Returns the number of a reason on the wire.
pub fn encode_reason(one: outcome::Reason) -> u32 {
    one as u32
}

/// Returns the reason with this number; an unknown one counts as a breach of the protocol.
pub fn decode_reason(number: u32) -> outcome::Reason {
    let index = usize::try_from(number).unwrap_or(usize::MAX);
    let known = outcome::Reason::ALL.get(index).copied();
    known.unwrap_or(outcome::Reason::Protocol)
}

/// Sets the outcome of an answer's head.
pub fn set_outcome(head: &mut stream::Head, one: outcome::Outcome) {
    (head.outcome, head.detail) = match one {
        outcome::Outcome::Answered(status) => (0, u32::from(status)),
        outcome::Outcome::NotRun(why) => (1, encode_reason(why)),
        outcome::Outcome::Unknown(why) => (2, encode_reason(why)),
    };
}

/// Reads the outcome of an answer's head.
///
/// Whatever is malformed counts as unknown, which never claims too much.
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
