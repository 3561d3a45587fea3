//! Conversion between the operators' documents and the state machine's types.

use sequoiayoke_api::{accepted, error, list, ticket};
use sequoiayoke_lease::registry;
use sequoiayoke_model::id;
use sequoiayoke_state::machine;
use sequoiayoke_state::ticket as replicated;

/// Converts a checked document to the state machine's ticket.
///
/// # Errors
///
/// Fails if the digest of a token is not a SHA-256 in hexadecimal.
pub fn to_ticket(document: &ticket::Ticket) -> Result<replicated::Ticket, error::Error> {
    // Documents that mean the same must become equal tickets for the state machine.
    let document = document.canonical();
    let objects = document.objects.into_iter().map(to_object);
    Ok(replicated::Ticket {
        number: document.number,
        objects: objects.collect::<Result<_, _>>()?,
    })
}

fn to_object(object: ticket::Object) -> Result<replicated::Object, error::Error> {
    Ok(match object {
        ticket::Object::Service(service) => replicated::Object::Service(replicated::Service {
            name: service.name,
            idempotent: service.idempotent,
            scoped: service.scoped,
            slices: service.slices,
            weights: replicated::Weights {
                imbalance: service.weights.imbalance,
                churn: service.weights.churn,
                unavailable: service.weights.unavailable,
            },
        }),
        ticket::Object::Server(server) => replicated::Object::Server(replicated::Server {
            name: server.name,
            intent: match server.state {
                ticket::State::Serving => replicated::Intent::Serving,
                ticket::State::Draining => replicated::Intent::Draining,
            },
        }),
        ticket::Object::Pin(pin) => replicated::Object::Pin(replicated::Pin {
            service: pin.service,
            scope: pin.scope,
            key: pin.key,
            server: pin.server,
        }),
        ticket::Object::Caller(caller) => replicated::Object::Caller(replicated::Caller {
            token_digest: to_digest(&caller.token_sha256)?,
            name: caller.name,
            scope: caller.scope,
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

/// Converts a ticket of the state machine to its document.
pub fn from_ticket(ticket: &replicated::Ticket) -> ticket::Ticket {
    ticket::Ticket {
        number: ticket.number,
        objects: ticket.objects.iter().map(from_object).collect(),
    }
}

/// Converts the state of an object to its document.
pub fn from_object(object: &replicated::Object) -> ticket::Object {
    match object {
        replicated::Object::Service(service) => ticket::Object::Service(ticket::Service {
            name: service.name.clone(),
            idempotent: service.idempotent.clone(),
            scoped: service.scoped,
            slices: service.slices,
            weights: ticket::Weights {
                imbalance: service.weights.imbalance,
                churn: service.weights.churn,
                unavailable: service.weights.unavailable,
            },
        }),
        replicated::Object::Server(server) => ticket::Object::Server(ticket::Server {
            name: server.name.clone(),
            state: from_intent(server.intent),
        }),
        replicated::Object::Pin(pin) => ticket::Object::Pin(ticket::Pin {
            service: pin.service.clone(),
            scope: pin.scope.clone(),
            key: pin.key.clone(),
            server: pin.server.clone(),
        }),
        replicated::Object::Caller(caller) => ticket::Object::Caller(ticket::Caller {
            name: caller.name.clone(),
            token_sha256: caller
                .token_digest
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect(),
            scope: caller.scope.clone(),
        }),
    }
}

/// Converts the intended state of a server to its document.
pub const fn from_intent(intent: replicated::Intent) -> ticket::State {
    match intent {
        replicated::Intent::Serving => ticket::State::Serving,
        replicated::Intent::Draining => ticket::State::Draining,
    }
}

/// Converts a count of confirmations to its document.
pub const fn from_confirmation(confirmation: registry::Confirmation) -> accepted::Rollout {
    accepted::Rollout {
        live: confirmation.live as u64,
        confirmed: confirmation.confirmed as u64,
        complete: confirmation.is_complete(),
    }
}

/// Converts an accepted ticket to an entry of the list.
pub fn from_accepted(accepted: &replicated::Accepted, in_force: accepted::Rollout) -> list::Entry {
    list::Entry {
        number: accepted.ticket.number,
        version: accepted.version,
        objects: accepted.ticket.objects.iter().map(from_object).collect(),
        in_force,
    }
}

/// Converts the refusal of a ticket to the error for the operator.
pub fn from_refusal(number: id::Ticket, refusal: machine::Refusal) -> error::Error {
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
            let holder = holder.map(|accepted| from_ticket(&accepted.ticket));
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
