//! Compares an operator's session, with the command line and real control replicas, with a golden
//! file.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs;
use std::process::Command;
use std::time::{Duration, Instant};

use sequoiayoke_harness::Deployment;
use sequoiayoke_harness::settings::Spec;

const FIRST_TICKET: &str = r#"{
  "number": 1, // the first one
  "objects": [
    { "service": { "name": "refunds", "slices": 4, "weights": { "unavailable": 4 } } },
    { "pin": { "service": "refunds", "key": "kiosk-17", "server": "refunds-2" } }
  ]
}"#;
const NUMBER_TAKEN_TICKET: &str =
    r#"{ "number": 1, "objects": [{ "server": { "name": "x", "state": "serving" } }] }"#;
const NUMBER_SKIPPED_TICKET: &str =
    r#"{ "number": 7, "objects": [{ "server": { "name": "x", "state": "serving" } }] }"#;

/// Longest wait for an expected output.
const MAX_WAIT: Duration = Duration::from_secs(20);

struct Session {
    control: String,
    folder: tempfile::TempDir,
    transcript: String,
}

impl Session {
    fn write_file(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
    }

    /// Runs a command line as a process; returns the command, its output and its exit code.
    fn capture(&self, line: &str) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_sequoiayoke"))
            .env_clear()
            .env("SEQUOIAYOKE_CONTROL", &self.control)
            .current_dir(self.folder.path())
            .args(line.split_whitespace())
            .output()
            .unwrap();
        let mut shown = format!("$ sequoiayoke {line}\n");
        shown.push_str(&String::from_utf8(output.stdout).unwrap());
        for line in String::from_utf8(output.stderr).unwrap().lines() {
            shown.push_str(format!("! {line}").trim_end());
            shown.push('\n');
        }
        shown + &format!("exit {}\n\n", output.status.code().unwrap())
    }

    /// Runs a command line and appends its output to the transcript.
    fn run(&mut self, line: &str) {
        let shown = self.capture(line);
        self.transcript.push_str(&shown);
    }

    /// Repeats a command line until its output contains `text`, and appends the last output to the
    /// transcript.
    fn run_until(&mut self, line: &str, text: &str) {
        let start = Instant::now();
        loop {
            let shown = self.capture(line);
            if shown.contains(text) {
                return self.transcript.push_str(&shown);
            }
            assert!(start.elapsed() < MAX_WAIT, "no {text:?} in {shown}");
        }
    }
}

/// Guards against requests and answers that the command line and the control replicas interpret
/// differently.
#[tokio::test(flavor = "multi_thread")]
async fn operator() {
    let mut spec = Spec::new(3).with_service("refunds", 2, 4, 0);
    let second = spec.servers.pop().unwrap();
    let mut deployment = Deployment::start(&support::bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    // Servers are listed in the order in which they join, so the second is started later.
    let vm = deployment.start_vm(&second).unwrap();
    deployment.vms.push(vm);
    deployment.wait_joined().await.unwrap();
    let mut session = Session {
        control: deployment.operator_addresses().join(","),
        folder: tempfile::tempdir().unwrap(),
        transcript: String::new(),
    };
    session.write_file("0001.jsonc", FIRST_TICKET);
    session.write_file("other.jsonc", NUMBER_TAKEN_TICKET);
    session.write_file("late.jsonc", NUMBER_SKIPPED_TICKET);
    session.run("ticket list");
    session.run("ticket check 0001.jsonc");
    session.run("ticket submit 0001.jsonc");
    session.run_until("ticket show 1", "in force everywhere");
    session.run("ticket submit 0001.jsonc");
    session.run("ticket submit other.jsonc");
    session.run("ticket submit late.jsonc");
    session.run_until("explain refunds kiosk-17", "owner    refunds-2");
    session.run_until("status", "nothing needs attention");
    session.run("drain refunds-2");
    session.run("drain refunds-2 --submit");
    session.run_until("status", "refunds-2  draining  0 ");
    session.run("drain refunds-1");
    session.run_until("ticket list", "yes (2 of 2 nodes)  server refunds-2");
    let mut settings = insta::Settings::clone_current();
    for (pattern, name) in FILTERS {
        settings.add_filter(pattern, *name);
    }
    settings.bind(|| insta::assert_snapshot!(session.transcript));
}

/// Replacements for output that differs between runs.
const FILTERS: &[(&str, &str)] = &[
    (r"127\.\d+\.\d+\.\d+:\d+", "[address]"),
    // The width of a column depends on the numbers in it.
    (r"([^\n ])  +", "$1  "),
    (r"\d+ ms", "[ms]"),
    (r"leader control-\d, term \d+", "leader [control], term [n]"),
    (r"committed \d+, version \d+", "committed [n], version [n]"),
    (
        r"(refunds-\d)  (\w+)  (0|[1-9]\d*)  \[ms\]  \d+  (domain-\d)  \d+",
        "$1  $2  $3 slices  [ms]  [n]  $4  [n]",
    ),
    (r"[1-9]\d* slices", "[n] slices"),
    (r"refunds  \d+  0  \d+\.\d\d", "refunds  [n]  0  [n]"),
    (
        r"(control-\d)  (leader|follower)  \[address\]  \d+",
        "$1  [role]  [address]  [n]",
    ),
    (r"version \d+\)", "version [n])"),
    (r"in force on \d of 2 live nodes", "[force]"),
    (r"in force everywhere \(2 live nodes\)", "[force]"),
    (r"`sequoiayoke ticket show \d` shows when [^\n]*\n", ""),
    (r"(?m)^(\d)  \d+  yes", "$1  [n]  yes"),
    (r"incarnation \d+, epoch \d+", "incarnation [n], epoch [n]"),
    (r"slice  [0-9a-f]+ to [0-9a-f]+", "slice  [first] to [last]"),
    (r"(?m)^\d+  pinned", "[n]  pinned"),
    (
        r"(?m)^(\d+  (assigned|vacated)[^\n]*\n)+",
        "[assignments]\n",
    ),
];
