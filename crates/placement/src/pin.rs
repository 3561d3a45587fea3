//! Pins: ranges of a service that an operator assigns to one server.

use sequoiayoke_model::id;
use sequoiayoke_model::range;

/// Assignment of a key or a range of a service to a server.
///
/// A pin to a server that cannot receive slices is ignored until it can, since
/// availability takes precedence over the operator's choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    /// Service of the range.
    pub service: id::Service,
    /// Pinned range; a range of one position pins a key.
    pub range: range::Range,
    /// Server that is to hold the range.
    pub server: id::Server,
}
