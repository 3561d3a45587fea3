//! One process of a deployment.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process;

use crate::Error;

/// Time that a process has to become ready.
const READY: Duration = Duration::from_secs(20);

/// A process that the harness has started.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready: String,
    log: PathBuf,
}

impl Process {
    /// Starts `program` and waits for its first line, which says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started or does not become ready in time.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: PathBuf,
    ) -> Result<Self, Error> {
        Self::start_with_environment(name, program, arguments, &[], log)
    }

    /// Starts `program` with these additional environment variables.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started or does not become ready in time.
    pub fn start_with_environment(
        name: &str,
        program: &Path,
        arguments: &[String],
        environment: &[(&str, &str)],
        log: PathBuf,
    ) -> Result<Self, Error> {
        let failed = |error| Error::Io("start a process", error);
        let output = fs::OpenOptions::new().create(true).append(true).open(&log);
        let output = output.map_err(failed)?;
        let mut copy = output.try_clone().map_err(failed)?;
        let mut child = Command::new(program)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(output)
            .spawn()
            .map_err(failed)?;
        let lines = child.stdout.take().map(BufReader::new);
        let (sender, receiver) = mpsc::channel();
        // Reads on, so that the process never blocks on a full pipe. What follows the first
        // line is log.
        thread::spawn(move || {
            let mut lines = lines
                .into_iter()
                .flat_map(BufRead::lines)
                .map_while(Result::ok);
            // The starter may have given up waiting.
            if let Some(first) = lines.next()
                && sender.send(first).is_err()
            {
                return;
            }
            for line in lines {
                if writeln!(copy, "{line}").is_err() {
                    return;
                }
            }
        });
        match receiver.recv_timeout(READY) {
            Ok(ready) => Ok(Self {
                name: name.to_owned(),
                child,
                ready,
                log,
            }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                let text = fs::read_to_string(&log).unwrap_or_default();
                Err(Error::NotReady(format!("{name}: {text}")))
            }
        }
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the value behind `field=` in its first line.
    pub fn field(&self, field: &str) -> Option<&str> {
        let mut words = self.ready.split_whitespace();
        words.find_map(|word| word.strip_prefix(field)?.strip_prefix('='))
    }

    /// Returns the last word of its first line.
    pub fn last_word(&self) -> &str {
        self.ready.split_whitespace().next_back().unwrap_or("")
    }

    /// Returns what it has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: process::Signal) {
        let id = i32::try_from(self.child.id()).ok();
        if let Some(id) = id.and_then(process::Pid::from_raw) {
            let _ = process::kill_process(id, signal);
        }
    }

    /// Pauses it; returns when each of its threads has stopped.
    pub fn pause(&self) {
        self.signal(process::Signal::STOP);
        let id = i32::try_from(self.child.id()).ok();
        if let Some(id) = id.and_then(process::Pid::from_raw) {
            // Only the stop is asked for, so that the end of the process stays for `Child`.
            let stopped = process::WaitIdOptions::STOPPED;
            let _ = process::waitid(process::WaitId::Pid(id), stopped);
        }
    }

    /// Resumes it.
    pub fn resume(&self) {
        self.signal(process::Signal::CONT);
    }

    /// Ends it at once, as a lost VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to end; returns whether it ended without an error in time.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        self.signal(process::Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < limit {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => thread::sleep(Duration::from_millis(10)),
                Err(_) => return false,
            }
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
