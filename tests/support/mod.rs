//! What the tests with processes share.

use std::path::Path;

/// Returns the directory of the programs.
pub(crate) fn programs() -> &'static Path {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap()
}
