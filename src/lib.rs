//! sequoiayoke.
