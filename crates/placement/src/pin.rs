//! Pins: ranges of a service that an operator ties to one server.

use sequoiayoke_model::id;
use sequoiayoke_model::range;

/// A key or a range of a service tied to a server.
///
/// A pin to a server that cannot take slices is ignored until it can: an
/// available owner counts more than the chosen one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    /// Service of the range.
    pub service: id::Service,
    /// Range; a range of one position pins a key.
    pub range: range::Range,
    /// Chosen server.
    pub server: id::Server,
}
