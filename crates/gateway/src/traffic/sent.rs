//! Account of the bytes that are sent to other nodes, by kind of message and by failure domain.

use std::cell;
use std::rc;

use sequoiayoke_dispatch::admission;
use sequoiayoke_link::peer;

/// Kind of a message to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Request of a caller, with a short body.
    Request,
    /// Call between services, with a short body.
    Call,
    /// Part of a long body.
    BodyPart,
    /// Answer of a backend server.
    Answer,
    /// Outcome of a request that has no answer.
    Refusal,
    /// Message that controls requests or the connection.
    Control,
}

impl Kind {
    const ALL: [Self; 6] = [
        Self::Request,
        Self::Call,
        Self::BodyPart,
        Self::Answer,
        Self::Refusal,
        Self::Control,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Call => "call",
            Self::BodyPart => "body-part",
            Self::Answer => "answer",
            Self::Refusal => "refusal",
            Self::Control => "control",
        }
    }
}

/// Where another node is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Scope {
    /// In the failure domain of this node.
    SameDomain,
    /// In another failure domain, or not known.
    #[default]
    OtherDomain,
}

impl Scope {
    const ALL: [Self; 2] = [Self::SameDomain, Self::OtherDomain];

    const fn as_str(self) -> &'static str {
        match self {
            Self::SameDomain => "same-domain",
            Self::OtherDomain => "other-domain",
        }
    }
}

/// A message to another node.
pub(super) trait Message: serde::Serialize {
    /// Returns the kind of the message.
    fn kind(&self) -> Kind;
}

impl Message for peer::ToServer {
    fn kind(&self) -> Kind {
        match self {
            Self::Open(open) if open.rank < admission::MIN_REQUEST_RANK => Kind::Call,
            Self::Open(_) => Kind::Request,
            Self::Part { .. } => Kind::BodyPart,
            Self::Cancel(_) | Self::Ping(_) | Self::Withdraw(_) => Kind::Control,
        }
    }
}

impl Message for peer::ToEntry {
    fn kind(&self) -> Kind {
        match self {
            Self::Reply {
                outcome: peer::Outcome::Answered { .. },
                ..
            } => Kind::Answer,
            Self::Reply { .. } => Kind::Refusal,
            Self::Pull(_) | Self::Pong(_) | Self::Close(_) => Kind::Control,
        }
    }
}

/// Bytes that were sent since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Account([[cell::Cell<u64>; Scope::ALL.len()]; Kind::ALL.len()]);

impl Account {
    fn add(&self, kind: Kind, scope: Scope, bytes: usize) {
        let cell = &self.0[kind as usize][scope as usize];
        cell.set(cell.get() + bytes as u64);
    }

    /// Returns the names of each kind and scope, and the bytes.
    pub(super) fn totals(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        Kind::ALL.into_iter().flat_map(move |kind| {
            let bytes = move |scope: Scope| self.0[kind as usize][scope as usize].get();
            let scopes = Scope::ALL.into_iter();
            scopes.map(move |scope| (kind.as_str(), scope.as_str(), bytes(scope)))
        })
    }
}

/// Adds what is sent on one connection to an account.
#[derive(Clone, Debug, Default)]
pub(super) struct Recorder {
    account: rc::Rc<Account>,
    scope: Scope,
}

impl Recorder {
    pub(super) fn new(account: &rc::Rc<Account>, scope: Scope) -> Self {
        Self {
            account: rc::Rc::clone(account),
            scope,
        }
    }

    pub(super) fn record(&self, kind: Kind, bytes: usize) {
        self.account.add(kind, self.scope, bytes);
    }
}
