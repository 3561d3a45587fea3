//! Conversion between the operators' documents and the state machine's types.

use sequoiayoke_api::{accepted, error, list, ticket};
use sequoiayoke_lease::registry;
use sequoiayoke_model::id;
use sequoiayoke_state::machine;
use sequoiayoke_state::ticket as pure;

/// Turns a checked document into the state machine's ticket.
///
/// # Errors
///
/// Fails if a token's digest is no SHA-256.
pub fn to_ticket(document: &ticket::Ticket) -> Result<pure::Ticket, error::Error> {
    // Equal tickets must be equal to the state machine, however they are written.
    let document = document.canonical();
    let objects = document.objects.into_iter().map(to_object);
    Ok(pure::Ticket {
        number: document.number,
        objects: objects.collect::<Result<_, _>>()?,
    })
}

fn to_object(object: ticket::Object) -> Result<pure::Object, error::Error> {
    Ok(match object {
        ticket::Object::Service(one) => pure::Object::Service(pure::Service {
            name: one.name,
            idempotent: one.idempotent,
            scoped: one.scoped,
            slices: one.slices,
            weights: pure::Weights {
                imbalance: one.weights.imbalance,
                churn: one.weights.churn,
                unavailable: one.weights.unavailable,
            },
        }),
        ticket::Object::Server(one) => pure::Object::Server(pure::Server {
            name: one.name,
            intent: match one.state {
                ticket::State::Serving => pure::Intent::Serving,
                ticket::State::Draining => pure::Intent::Draining,
            },
        }),
        ticket::Object::Pin(one) => pure::Object::Pin(pure::Pin {
            service: one.service,
            scope: one.scope,
            key: one.key,
            server: one.server,
        }),
        ticket::Object::Caller(one) => pure::Object::Caller(pure::Caller {
            token_digest: to_digest(&one.token_sha256)?,
            name: one.name,
            scope: one.scope,
        }),
    })
}

fn to_digest(text: &str) -> Result<[u8; 32], error::Error> {
    let malformed = || error::Error::Malformed {
        detail: "caller.token_sha256: must be 64 hexadecimal digits".to_owned(),
    };
    if text.len() != 64 || !text.is_ascii() {
        return Err(malformed());
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
    }
    Ok(digest)
}

/// Turns an accepted ticket into its document.
pub fn from_ticket(one: &pure::Ticket) -> ticket::Ticket {
    ticket::Ticket {
        number: one.number,
        objects: one.objects.iter().map(from_object).collect(),
    }
}

/// Turns the state of an object into its document.
pub fn from_object(object: &pure::Object) -> ticket::Object {
    match object {
        pure::Object::Service(one) => ticket::Object::Service(ticket::Service {
            name: one.name.clone(),
            idempotent: one.idempotent.clone(),
            scoped: one.scoped,
            slices: one.slices,
            weights: ticket::Weights {
                imbalance: one.weights.imbalance,
                churn: one.weights.churn,
                unavailable: one.weights.unavailable,
            },
        }),
        pure::Object::Server(one) => ticket::Object::Server(ticket::Server {
            name: one.name.clone(),
            state: from_intent(one.intent),
        }),
        pure::Object::Pin(one) => ticket::Object::Pin(ticket::Pin {
            service: one.service.clone(),
            scope: one.scope.clone(),
            key: one.key.clone(),
            server: one.server.clone(),
        }),
        pure::Object::Caller(one) => ticket::Object::Caller(ticket::Caller {
            name: one.name.clone(),
            token_sha256: one
                .token_digest
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect(),
            scope: one.scope.clone(),
        }),
    }
}

/// Turns what operators want of a server into its document.
pub const fn from_intent(intent: pure::Intent) -> ticket::State {
    match intent {
        pure::Intent::Serving => ticket::State::Serving,
        pure::Intent::Draining => ticket::State::Draining,
    }
}

/// Turns a count of confirmations into its document.
pub const fn force(confirmation: registry::Confirmation) -> accepted::Force {
    accepted::Force {
        live: confirmation.live as u64,
        confirmed: confirmation.confirmed as u64,
        complete: confirmation.is_complete(),
    }
}

/// Turns an accepted ticket into an entry of the list.
pub fn entry(one: &pure::Accepted, in_force: accepted::Force) -> list::Entry {
    list::Entry {
        number: one.ticket.number,
        version: one.version,
        objects: one.ticket.objects.iter().map(from_object).collect(),
        in_force,
    }
}

/// Turns a refusal of a ticket into the answer for the operator.
pub fn refusal(number: id::Ticket, refusal: machine::Refusal) -> error::Error {
    match refusal {
        machine::Refusal::Malformed(problems) => error::Error::Malformed {
            detail: problems.join("; "),
        },
        machine::Refusal::OutOfOrder { next } => error::Error::NumberOutOfOrder { next },
        machine::Refusal::NumberTaken { holder } => {
            let unknown = ticket::Ticket {
                number,
                objects: Vec::new(),
            };
            let holder = holder.map(|one| from_ticket(&one.ticket));
            error::Error::NumberTaken {
                number,
                holder: holder.unwrap_or(unknown),
            }
        }
        machine::Refusal::NotPresent | machine::Refusal::Conflict | machine::Refusal::Crowded => {
            error::Error::Malformed {
                detail: refusal.to_string(),
            }
        }
    }
}
