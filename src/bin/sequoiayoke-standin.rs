//! Emulator of a backend server, for tests and the demo.

use std::process;

use sequoiayoke_emulator::standin;

fn main() -> process::ExitCode {
    standin::program::main()
}
