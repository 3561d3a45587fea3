//! Load tool for nodes and stand-ins.

use std::process;

use sequoiayoke_emulator::load;

fn main() -> process::ExitCode {
    load::program::main()
}
