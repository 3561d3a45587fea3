//! Daemon of a node, which runs beside each backend server.

use std::process;

fn main() -> process::ExitCode {
    sequoiayoke::daemon::run::<sequoiayoke::daemon::Node>()
}
