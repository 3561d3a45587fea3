//! The operators' command line.

use std::process;

fn main() -> process::ExitCode {
    sequoiayoke_cli::main()
}
