//! Load generator for nodes and backend server emulators.

use std::process;

use sequoiayoke_emulator::load;

fn main() -> process::ExitCode {
    load::program::main()
}
