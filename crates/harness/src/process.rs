//! A process of a deployment.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process;

use crate::Error;

/// Timeout for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that the harness has started.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready_line: String,
    log: PathBuf,
}

impl Process {
    /// Starts `program` and waits for its first output line, which reports that it is ready.
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

    /// Starts `program` with additional environment variables, like [`Process::start`].
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
        let io_error = |error| Error::Io("start a process", error);
        let log_file = fs::OpenOptions::new().create(true).append(true).open(&log);
        let log_file = log_file.map_err(io_error)?;
        let mut log_writer = log_file.try_clone().map_err(io_error)?;
        let start_error = |error| Error::Program {
            program: program.to_owned(),
            error,
        };
        let mut child = Command::new(program)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()
            .map_err(start_error)?;
        let lines = child.stdout.take().map(BufReader::new);
        let (sender, receiver) = mpsc::channel();
        // Reads until the end, so that the process never blocks on a full pipe. All lines after
        // the first go to the log.
        thread::spawn(move || {
            let mut lines = lines
                .into_iter()
                .flat_map(BufRead::lines)
                .map_while(Result::ok);
            // The receiver has been dropped if the process became ready too late.
            if let Some(first) = lines.next()
                && sender.send(first).is_err()
            {
                return;
            }
            for line in lines {
                if writeln!(log_writer, "{line}").is_err() {
                    return;
                }
            }
        });
        match receiver.recv_timeout(READY_TIMEOUT) {
            Ok(ready_line) => Ok(Self {
                name: name.to_owned(),
                child,
                ready_line,
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

    /// Returns the name of the process in the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the value after `field=` in the first output line.
    pub fn field(&self, field: &str) -> Option<&str> {
        let mut words = self.ready_line.split_whitespace();
        words.find_map(|word| word.strip_prefix(field)?.strip_prefix('='))
    }

    /// Returns the last word of the first output line.
    pub fn last_word(&self) -> &str {
        self.ready_line.split_whitespace().next_back().unwrap_or("")
    }

    /// Returns the log so far, including earlier processes that used the same log file.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: process::Signal) {
        let id = i32::try_from(self.child.id()).ok();
        if let Some(id) = id.and_then(process::Pid::from_raw) {
            let _ = process::kill_process(id, signal);
        }
    }

    /// Pauses the process; returns when all its threads have stopped.
    pub fn pause(&self) {
        self.signal(process::Signal::STOP);
        let id = i32::try_from(self.child.id()).ok();
        if let Some(id) = id.and_then(process::Pid::from_raw) {
            // Waits for the stop only, so that the exit status is left for `Child`.
            let stopped = process::WaitIdOptions::STOPPED;
            let _ = process::waitid(process::WaitId::Pid(id), stopped);
        }
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal(process::Signal::CONT);
    }

    /// Kills the process, like the loss of its VM.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM; returns whether the process exits with success within `timeout`.
    pub fn terminate(&mut self, timeout: Duration) -> bool {
        self.signal(process::Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < timeout {
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
