//! Where a request goes: to the local backend server, to another node, or nowhere.
//!
//! The decision depends on the published view only. It grants nothing: the
//! owner still checks its lease when it dispatches the request.

use std::net;

use sequoiayoke_model::{id, key, outcome, range, view};

/// The run of a node that decides, as the control plane knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// The node's backend server.
    pub server: id::Server,
    /// The present run of the node.
    pub incarnation: id::Incarnation,
}

/// The parts of a request that routing depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    /// Service that the request names.
    pub service: id::Service,
    /// Hash of its key.
    pub hash: key::Hash,
    /// For a forwarded request, the epoch that the entry node's view showed.
    pub forwarded: Option<id::Epoch>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// This node's backend server owns the key.
    Local {
        /// Slice that holds the key.
        range: range::Range,
        /// Epoch of the grant.
        epoch: id::Epoch,
    },
    /// Another node's backend server owns the key.
    Forward {
        /// The owner.
        server: id::Server,
        /// Where the owner's node takes frames from other nodes.
        peer_address: net::SocketAddr,
        /// Epoch of the grant, sent along as a hint.
        epoch: id::Epoch,
    },
    /// The key has no reachable owner at present; wait for the next view.
    Wait,
    /// The request does not run.
    Refuse(outcome::Reason),
}

/// Decides where a request goes; allocates nothing.
///
/// A forwarded request is answered here or refused, never forwarded again, so
/// that two nodes with different views cannot pass it back and forth. If the
/// entry node saw a grant that this view does not reach yet, the request waits
/// for the next view: its body may be one that can be sent only once.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{id, key, outcome, view};
/// use sequoiayoke_traffic::route;
///
/// let query = route::Query {
///     service: id::Service(1),
///     hash: key::Hash(7),
///     forwarded: None,
/// };
/// let decision = route::decide(&view::View::new(), None, &query);
/// assert_eq!(decision, route::Decision::Refuse(outcome::Reason::UnknownService));
/// ```
pub fn decide(view: &view::View, me: Option<Identity>, query: &Query) -> Decision {
    let Some(table) = view.table(query.service) else {
        return Decision::Refuse(outcome::Reason::UnknownService);
    };
    if query
        .forwarded
        .is_some_and(|hint| hint.0 > view.version().0)
    {
        return Decision::Wait;
    }
    let (slice, range) = table.find(query.hash);
    let Some(holder) = slice.holder else {
        return elsewhere(query, Decision::Wait);
    };
    let here = me.is_some_and(|me| me.server == holder.server);
    let current = me.is_some_and(|me| me.incarnation == holder.incarnation);
    if here && current {
        let behind = query.forwarded.is_some_and(|hint| hint > holder.epoch);
        return match behind {
            true => Decision::Refuse(outcome::Reason::NotOwner),
            false => Decision::Local {
                range,
                epoch: holder.epoch,
            },
        };
    }
    // A grant to another run of this node cannot be served by this run.
    if here {
        return elsewhere(query, Decision::Wait);
    }
    let decision = match view.server(holder.server) {
        Some(server) if server.incarnation == holder.incarnation => Decision::Forward {
            server: holder.server,
            peer_address: server.peer_address,
            epoch: holder.epoch,
        },
        // The holder's run has ended; its slices become vacant shortly.
        _ => Decision::Wait,
    };
    elsewhere(query, decision)
}

/// A forwarded request ends at the node that it was forwarded to.
fn elsewhere(query: &Query, decision: Decision) -> Decision {
    match query.forwarded {
        Some(_) => Decision::Refuse(outcome::Reason::NotOwner),
        None => decision,
    }
}
