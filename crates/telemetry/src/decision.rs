//! Log lines of routing and placement decisions.
//!
//! The field names are stable, so that operators can search for them.

use std::time;

use sequoiayoke_model::{id, key, outcome, request};

/// Target of routing lines, for level filters.
pub const ROUTE: &str = "sequoiayoke::route";

/// Target of placement lines, for level filters.
pub const PLACEMENT: &str = "sequoiayoke::placement";

/// Routing decision of a node for a request, and the outcome of the request.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Service in the path of the request.
    pub service: &'a str,
    /// Hash of the key; the key itself is not logged.
    pub hash: key::Hash,
    /// Name of the owner, if the slice has one.
    pub owner: Option<&'a str>,
    /// Epoch of the owner's grant, if the slice has an owner.
    pub epoch: Option<id::Epoch>,
    /// Outcome of the request.
    pub outcome: outcome::Outcome,
    /// Time from the header section of the request to that of the response.
    pub elapsed: time::Duration,
    /// Id of the request, if it has one.
    pub request: Option<request::Id>,
}

impl Route<'_> {
    /// Logs the decision, at `WARN` if the outcome is unknown and at `INFO` otherwise.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time;
    ///
    /// use sequoiayoke_model::{key, outcome};
    /// use sequoiayoke_telemetry::decision;
    ///
    /// decision::Route {
    ///     service: "refunds",
    ///     hash: key::Hash::new("", "kiosk-17"),
    ///     owner: None,
    ///     epoch: None,
    ///     outcome: outcome::Outcome::NotRun(outcome::Reason::Vacant),
    ///     elapsed: time::Duration::from_micros(80),
    ///     request: None,
    /// }
    /// .log();
    /// ```
    pub fn log(&self) {
        macro_rules! log_at {
            ($level:expr) => {
                tracing::event!(
                    target: ROUTE,
                    $level,
                    service = self.service,
                    hash = %self.hash,
                    owner = self.owner,
                    epoch = self.epoch.map(|epoch| epoch.0),
                    outcome = self.outcome.as_str(),
                    reason = self.outcome.reason().map(outcome::Reason::as_str),
                    elapsed_us = u64::try_from(self.elapsed.as_micros()).unwrap_or(u64::MAX),
                    request = self.request.map(tracing::field::display),
                    "routed"
                )
            };
        }
        if matches!(self.outcome, outcome::Outcome::Unknown(_)) {
            log_at!(tracing::Level::WARN);
        } else {
            log_at!(tracing::Level::INFO);
        }
    }
}

/// Assignment of a slice to a server by the control plane, or its removal from a server.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Service of the slice.
    pub service: &'a str,
    /// First key hash of the slice.
    pub first: key::Hash,
    /// Previous server of the slice, if any.
    pub from: Option<&'a str>,
    /// New server of the slice, if any.
    pub to: Option<&'a str>,
    /// Epoch of the new grant, if any.
    pub epoch: Option<id::Epoch>,
    /// Cause of the change, for example `lease-expired` or `drain`.
    pub cause: &'a str,
}

impl Placement<'_> {
    /// Logs the decision at `INFO`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::{id, key};
    /// use sequoiayoke_telemetry::decision;
    ///
    /// decision::Placement {
    ///     service: "refunds",
    ///     first: key::Hash::MIN,
    ///     from: Some("ank-refunds-1"),
    ///     to: Some("ank-refunds-2"),
    ///     epoch: Some(id::Epoch(41)),
    ///     cause: "drain",
    /// }
    /// .log();
    /// ```
    pub fn log(&self) {
        tracing::info!(
            target: PLACEMENT,
            service = self.service,
            first = %self.first,
            from = self.from,
            to = self.to,
            epoch = self.epoch.map(|epoch| epoch.0),
            cause = self.cause,
            "placed"
        );
    }
}
