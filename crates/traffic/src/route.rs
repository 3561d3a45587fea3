//! Routing of a request to the local backend server or to another node.
//!
//! The decision depends only on the published view. It is no permission to run the
//! request: the owner still checks its lease when it dispatches the request.

use std::net;

use sequoiayoke_model::{id, key, outcome, range, view};

/// Identity of the deciding node and its run, as known to the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// The node's backend server.
    pub server: id::Server,
    /// Current run of the node.
    pub incarnation: id::Incarnation,
}

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    /// Service that the request names.
    pub service: id::Service,
    /// Hash of its key.
    pub hash: key::Hash,
    /// For a forwarded request, the epoch that the entry node's view showed.
    pub forwarded: Option<id::Epoch>,
}

/// Routing decision for a request.
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
        /// Address at which the owner's node accepts frames from other nodes.
        peer_address: net::SocketAddr,
        /// Epoch of the grant, sent along as a hint.
        epoch: id::Epoch,
    },
    /// The key has no reachable owner at present; the request waits for the next view.
    Wait,
    /// The request does not run.
    Refuse(outcome::Reason),
}

/// Decides where a request is sent, without allocating.
///
/// A forwarded request is answered here or refused, never forwarded again, so
/// that two nodes with different views cannot forward it in a loop. If the entry
/// node saw a grant that is not in this view yet, the request waits for the next
/// view instead of being refused, since its body may not be replayable.
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
pub fn decide(view: &view::View, identity: Option<Identity>, query: &Query) -> Decision {
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
        return refuse_if_forwarded(query, Decision::Wait);
    };
    let is_local = identity.is_some_and(|identity| identity.server == holder.server);
    let is_current = identity.is_some_and(|identity| identity.incarnation == holder.incarnation);
    if is_local && is_current {
        let is_stale = query.forwarded.is_some_and(|hint| hint > holder.epoch);
        return match is_stale {
            true => Decision::Refuse(outcome::Reason::NotOwner),
            false => Decision::Local {
                range,
                epoch: holder.epoch,
            },
        };
    }
    // A grant to another run of this node cannot be served by this run.
    if is_local {
        return refuse_if_forwarded(query, Decision::Wait);
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
    refuse_if_forwarded(query, decision)
}

/// Refuses a forwarded request, since it must not be forwarded again; otherwise returns
/// `decision`.
fn refuse_if_forwarded(query: &Query, decision: Decision) -> Decision {
    match query.forwarded {
        Some(_) => Decision::Refuse(outcome::Reason::NotOwner),
        None => decision,
    }
}
