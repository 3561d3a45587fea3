//! Executions as the stand-ins log them.
//!
//! The counters of a stand-in are lost when its process is killed and its log is not, so checks
//! that kill processes read the log.

/// Environment variables that make a stand-in log its executions as plain text.
pub(crate) const ENVIRONMENT: [(&str, &str); 2] = [
    ("RUST_LOG", "sequoiayoke::execution=info"),
    ("NO_COLOR", "1"),
];

/// An execution that a stand-in has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name of the backend server.
    pub server: String,
    /// Time when the stand-in admitted it, in µs of the boot-time clock.
    pub at_us: u64,
    /// Key of the request.
    pub key: String,
    /// Epoch of the request.
    pub epoch: u64,
    /// Request id; empty if the request had none.
    pub request: String,
}

/// Returns the executions in the log of a stand-in.
///
/// # Examples
///
/// ```
/// use sequoiayoke_harness::execution_log;
///
/// let log = "INFO sequoiayoke::execution: execution starts at_us=5 key=a epoch=7 request=x";
/// assert_eq!(execution_log::parse("s", log)[0].epoch, 7);
/// ```
pub fn parse(server: &str, log: &str) -> Vec<Execution> {
    let lines = log.lines().filter(|line| line.contains("execution starts"));
    lines
        .map(|line| Execution {
            server: server.to_owned(),
            at_us: field(line, "at_us").parse().unwrap_or(0),
            key: field(line, "key").to_owned(),
            epoch: field(line, "epoch").parse().unwrap_or(0),
            request: field(line, "request").to_owned(),
        })
        .collect()
}

fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let mut words = line.split_whitespace();
    let value = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or("")
}
