//! Daemon of a control replica.

use std::process;

fn main() -> process::ExitCode {
    sequoiayoke::daemon::run::<sequoiayoke::daemon::Control>()
}
