//! Daemons that cannot start report the cause and exit.

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use sequoiayoke_harness::process::Process;
use sequoiayoke_harness::settings;
use serde_json::{Value, json};

use crate::{MAX_WAIT, support};

const CONTROL: &str = "sequoiayoke-control";
const NODE: &str = "sequoiayoke-node";

/// Runs a daemon that is expected to exit by itself, and returns its output.
fn run_to_exit(program: &str, file: &Path, text: &str) -> Output {
    fs::write(file, text).unwrap();
    let mut command = Command::new(support::bin().join(program));
    command.arg("--settings").arg(file).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > MAX_WAIT {
            child.kill().unwrap();
            let output = child.wait_with_output().unwrap();
            panic!("{program} has not exited: {output:?}, {text}");
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}

/// Asserts that a daemon exited with an error message that contains each of `texts`, and that
/// it has not reported that it is ready.
fn assert_failed(output: &Output, texts: &[&str]) {
    assert!(!output.status.success(), "{output:?}");
    assert!(
        output.status.code().is_some(),
        "ended by a signal: {output:?}"
    );
    let message = String::from_utf8_lossy(&output.stderr);
    for text in texts {
        assert!(message.contains(text), "no {text:?} in: {message}");
    }
    assert!(!message.contains("panicked"), "{message}");
    assert!(
        output.stdout.is_empty(),
        "it reported that it is ready: {output:?}"
    );
}

/// Returns a loopback address that no other test is likely to use.
fn random_ip() -> String {
    let octet = || rand::random_range(20..=219);
    format!("127.{}.{}.{}", octet(), octet(), octet())
}

/// Returns valid settings of replica number `index`.
fn control_settings(directory: &Path, ip: &str, index: usize) -> Value {
    let data = directory.join("data");
    settings::control(&settings::Spec::new(3), ip, index, &data.to_string_lossy())
}

/// Returns valid settings of a node.
fn node_settings(ip: &str) -> Value {
    let spec = settings::Spec::new(3).with_service("refunds", 1, 4, 0);
    settings::node(&spec, ip, &spec.servers[0])
}

/// Guards against a daemon that runs without one of its listeners because its address is in use.
#[test]
fn an_address_in_use_is_reported() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("settings.jsonc");
    let ip = random_ip();
    let settings = control_settings(directory.path(), &ip, 0);
    for listener in ["replica", "node", "operator"] {
        let address = settings["listen"][listener].as_str().unwrap();
        let _occupied = TcpListener::bind(address).unwrap();
        let output = run_to_exit(CONTROL, &file, &settings.to_string());
        let texts = [&*format!("listen.{listener}: cannot listen on {address}")];
        assert_failed(&output, &texts);
    }
    for listener in ["caller", "peer", "backend", "metrics"] {
        let occupied = TcpListener::bind((ip.as_str(), 0)).unwrap();
        let address = occupied.local_addr().unwrap().to_string();
        let mut settings = node_settings(&ip);
        settings["listen"][listener] = json!(address);
        let output = run_to_exit(NODE, &file, &settings.to_string());
        let texts = [&*format!("listen.{listener}: cannot listen on {address}")];
        assert_failed(&output, &texts);
    }
}

/// Guards against errors in settings that are reported without their location.
#[test]
fn malformed_settings_are_reported_with_file_line_and_field() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("settings.jsonc");
    let file_name = file.to_string_lossy().into_owned();
    let location = |line| format!("{file_name}:{line}");
    for (program, valid) in [
        (CONTROL, control_settings(directory.path(), "127.0.0.1", 0)),
        (NODE, node_settings("127.0.0.1")),
    ] {
        let text = serde_json::to_string_pretty(&valid).unwrap();
        let find_line = |name: &str| 1 + text.lines().position(|line| line.contains(name)).unwrap();
        // An unterminated string, an unknown field, a wrong type, a value out of bounds.
        let line = find_line("\"region\"");
        let unterminated = text.replacen("\"region\": \"anatolia\"", "\"region\": \"anatolia", 1);
        let output = run_to_exit(program, &file, &unterminated);
        assert_failed(&output, &[&location(line), "region", "not closed"]);
        let unknown = text.replacen("\"region\"", "\"regoin\"", 1);
        let output = run_to_exit(program, &file, &unknown);
        assert_failed(&output, &[&location(line), "regoin"]);
        let mistyped = text.replacen("\"anatolia\"", "17", 1);
        let output = run_to_exit(program, &file, &mistyped);
        assert_failed(&output, &[&location(line), "region"]);
        let mut short_secret = valid.clone();
        short_secret["secret"] = json!("short");
        let output = run_to_exit(program, &file, &short_secret.to_string());
        assert_failed(&output, &[&file_name, "secret"]);
        assert!(!String::from_utf8_lossy(&output.stderr).contains("\"short\""));
    }
    for program in [CONTROL, NODE] {
        let output = run_to_exit(program, &file, "");
        assert_failed(&output, &[&file_name]);
        let output = run_to_exit(program, &file, "\u{0}\u{1}");
        assert_failed(&output, &[&file_name]);
        let missing = directory.path().join("absent").join("settings.jsonc");
        let mut command = Command::new(support::bin().join(program));
        let output = command.arg("--settings").arg(&missing).output().unwrap();
        assert_failed(&output, &[&missing.to_string_lossy()]);
    }
}

/// Guards against a replica that votes with the log of another one, or while another process
/// uses the same log.
#[test]
fn a_foreign_data_directory_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("settings.jsonc");
    let own = directory.path().join("own.jsonc");
    let ip = random_ip();
    fs::write(&own, control_settings(directory.path(), &ip, 0).to_string()).unwrap();
    let arguments = ["--settings".to_owned(), own.to_string_lossy().into_owned()];
    let log = directory.path().join("control-0.log");
    let program = support::bin().join(CONTROL);
    let mut first = Process::start("control-0", &program, &arguments, log.clone()).unwrap();
    let data = directory.path().join("data").to_string_lossy().into_owned();
    // The replica that owns the directory is still running.
    let in_use = control_settings(directory.path(), &random_ip(), 0).to_string();
    let output = run_to_exit(CONTROL, &file, &in_use);
    assert_failed(&output, &[&data, "another process uses the data directory"]);
    first.kill();
    let belongs = "the data directory belongs to replica";
    let foreign = control_settings(directory.path(), &ip, 1).to_string();
    let output = run_to_exit(CONTROL, &file, &foreign);
    assert_failed(&output, &[&data, belongs, "control-0", "control-1"]);
    let mut other_region = control_settings(directory.path(), &ip, 0);
    other_region["region"] = json!("thrace");
    let output = run_to_exit(CONTROL, &file, &other_region.to_string());
    assert_failed(&output, &[&data, belongs, "anatolia", "thrace"]);
    let output = run_to_exit(
        NODE,
        &file,
        &control_settings(directory.path(), &ip, 0).to_string(),
    );
    assert_failed(&output, &[&file.to_string_lossy()]);
    // The replica that owns the directory still starts.
    Process::start("control-0", &program, &arguments, log).unwrap();
}
