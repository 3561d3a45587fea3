//! Daemons that cannot start say why and end.

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use sequoiayoke_harness::process::Process;
use sequoiayoke_harness::settings;
use serde_json::{Value, json};

use crate::{PATIENCE, support};

const CONTROL: &str = "sequoiayoke-control";
const NODE: &str = "sequoiayoke-node";

/// Runs a daemon that is expected to end by itself.
fn run(program: &str, file: &Path, text: &str) -> Output {
    fs::write(file, text).unwrap();
    let mut command = Command::new(support::bin().join(program));
    command.arg("--settings").arg(file).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > PATIENCE {
            child.kill().unwrap();
            let output = child.wait_with_output().unwrap();
            panic!("{program} goes on: {output:?}, {text}");
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}

/// Asserts a failure whose text on standard error holds `parts`.
fn assert_failed(output: &Output, parts: &[&str]) {
    assert!(!output.status.success(), "{output:?}");
    assert!(output.status.code().is_some(), "by a signal: {output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    for part in parts {
        assert!(text.contains(part), "no {part:?} in: {text}");
    }
    assert!(!text.contains("panicked"), "{text}");
    assert!(
        output.stdout.is_empty(),
        "it said that it is ready: {output:?}"
    );
}

/// A loopback address that no other test is likely to use.
fn random_ip() -> String {
    let part = || rand::random_range(20..=219);
    format!("127.{}.{}.{}", part(), part(), part())
}

/// Valid settings of replica number `index`.
fn control(directory: &Path, ip: &str, index: usize) -> Value {
    let data = directory.join("data");
    settings::control(&settings::Spec::new(3), ip, index, &data.to_string_lossy())
}

fn node(ip: &str) -> Value {
    let spec = settings::Spec::new(3).with_service("refunds", 1, 4, 0);
    settings::node(&spec, ip, &spec.servers[0])
}

/// Guards against a daemon that goes on without one of its listeners.
#[test]
fn a_taken_address_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("settings.jsonc");
    let ip = random_ip();
    let text = control(directory.path(), &ip, 0);
    for listener in ["replica", "node", "operator"] {
        let address = text["listen"][listener].as_str().unwrap();
        let _taken = TcpListener::bind(address).unwrap();
        let output = run(CONTROL, &file, &text.to_string());
        let parts = [&*format!("listen.{listener}: cannot listen on {address}")];
        assert_failed(&output, &parts);
    }
    for listener in ["caller", "peer", "backend", "metrics"] {
        let taken = TcpListener::bind((ip.as_str(), 0)).unwrap();
        let address = taken.local_addr().unwrap().to_string();
        let mut text = node(&ip);
        text["listen"][listener] = json!(address);
        let output = run(NODE, &file, &text.to_string());
        let parts = [&*format!("listen.{listener}: cannot listen on {address}")];
        assert_failed(&output, &parts);
    }
}

/// Guards against settings that are refused without their place.
#[test]
fn malformed_settings_are_named_by_file_line_and_field() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("settings.jsonc");
    let shown = file.to_string_lossy().into_owned();
    let place = |line| format!("{shown}:{line}");
    for (program, valid) in [
        (CONTROL, control(directory.path(), "127.0.0.1", 0)),
        (NODE, node("127.0.0.1")),
    ] {
        let text = serde_json::to_string_pretty(&valid).unwrap();
        let line = |part: &str| 1 + text.lines().position(|line| line.contains(part)).unwrap();
        // A line that does not end, an unknown field, a wrong type, a value out of bounds.
        let at = line("\"region\"");
        let cut = text.replacen("\"region\": \"anatolia\"", "\"region\": \"anatolia", 1);
        let output = run(program, &file, &cut);
        assert_failed(&output, &[&place(at), "region", "not closed"]);
        let unknown = text.replacen("\"region\"", "\"regoin\"", 1);
        let output = run(program, &file, &unknown);
        assert_failed(&output, &[&place(at), "regoin"]);
        let wrong = text.replacen("\"anatolia\"", "17", 1);
        let output = run(program, &file, &wrong);
        assert_failed(&output, &[&place(at), "region"]);
        let mut short = valid.clone();
        short["secret"] = json!("short");
        let output = run(program, &file, &short.to_string());
        assert_failed(&output, &[&shown, "secret"]);
        assert!(!String::from_utf8_lossy(&output.stderr).contains("\"short\""));
    }
    for program in [CONTROL, NODE] {
        let output = run(program, &file, "");
        assert_failed(&output, &[&shown]);
        let output = run(program, &file, "\u{0}\u{1}");
        assert_failed(&output, &[&shown]);
        let missing = directory.path().join("absent").join("settings.jsonc");
        let mut command = Command::new(support::bin().join(program));
        let output = command.arg("--settings").arg(&missing).output().unwrap();
        assert_failed(&output, &[&missing.to_string_lossy()]);
    }
}

/// Guards against a replica that votes with the log of another one, or beside it.
#[test]
fn a_foreign_data_directory_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("settings.jsonc");
    let own = directory.path().join("own.jsonc");
    let ip = random_ip();
    fs::write(&own, control(directory.path(), &ip, 0).to_string()).unwrap();
    let arguments = ["--settings".to_owned(), own.to_string_lossy().into_owned()];
    let log = directory.path().join("control-0.log");
    let program = support::bin().join(CONTROL);
    let mut first = Process::start("control-0", &program, &arguments, log.clone()).unwrap();
    let data = directory.path().join("data").to_string_lossy().into_owned();
    // Still in use by the replica that it belongs to.
    let used = control(directory.path(), &random_ip(), 0).to_string();
    let output = run(CONTROL, &file, &used);
    assert_failed(&output, &[&data, "another process uses the data directory"]);
    first.kill();
    let belongs = "the data directory belongs to replica";
    let foreign = control(directory.path(), &ip, 1).to_string();
    let output = run(CONTROL, &file, &foreign);
    assert_failed(&output, &[&data, belongs, "control-0", "control-1"]);
    let mut other = control(directory.path(), &ip, 0);
    other["region"] = json!("thrace");
    let output = run(CONTROL, &file, &other.to_string());
    assert_failed(&output, &[&data, belongs, "anatolia", "thrace"]);
    let node = run(NODE, &file, &control(directory.path(), &ip, 0).to_string());
    assert_failed(&node, &[&file.to_string_lossy()]);
    // The replica that it belongs to starts as before.
    Process::start("control-0", &program, &arguments, log).unwrap();
}
