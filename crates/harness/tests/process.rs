//! Processes that cannot be started.

use std::path::Path;

use sequoiayoke_harness::process::Process;

/// Guards against an error that does not tell which program is missing.
#[test]
fn the_error_of_a_missing_program_names_it() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let program = Path::new("/nowhere/sequoiayoke-node");
    let started = Process::start("node", program, &[], folder.path().join("log"));
    let error = started.expect_err("the program does not exist").to_string();
    assert!(error.contains("/nowhere/sequoiayoke-node"), "{error}");
}
