//! Diagnosis of a request from the processes' logs.
//!
//! It uses log lines only: those that name the request, and the state changes of the
//! processes that handled it, in order of time. The cause follows from the reason that the
//! entry node logged and from what the other node logged about the request.

use serde_json::{Map, Value};

/// Time before the first line of a request in which state changes are shown, in
/// microseconds. It covers a lease and a renewal.
const LOOKBACK_US: u64 = 5_000_000;
/// Maximum number of state changes that are shown; the newest are kept.
const MAX_STATE_CHANGES: usize = 20;
/// Fields that every line has. They are shown in their own columns or not at all.
const COLUMNS: [&str; 4] = ["timestamp", "level", "message", "target"];

/// A structured log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name of the process that wrote the line.
    pub process: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; returns `None` if it is not structured.
    ///
    /// The last word before the JSON document, where log collectors put the name of the
    /// process, takes precedence over `process`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_cli::diagnosis;
    ///
    /// let text = r#"node-3 {"timestamp":"2026-01-01T00:00:00.000001Z","message":"ready"}"#;
    /// let line = diagnosis::Line::parse("file", text).expect("a structured line");
    /// assert_eq!(line.process, "node-3");
    /// assert!(diagnosis::Line::parse("file", "ready peers=127.0.0.1:1").is_none());
    /// ```
    pub fn parse(process: &str, text: &str) -> Option<Self> {
        let (prefix, _) = text.split_once('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[prefix.len()..]) else {
            return None;
        };
        let name = prefix.split_whitespace().next_back();
        let line = Self {
            process: name.unwrap_or(process).to_owned(),
            fields,
        };
        (!line.timestamp().is_empty()).then_some(line)
    }

    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field);
        value.and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    fn timestamp(&self) -> &str {
        self.text("timestamp")
    }

    fn message(&self) -> &str {
        self.text("message")
    }

    /// Returns the time in microseconds, from a fixed day on.
    fn time_us(&self) -> u64 {
        let (date, clock) = self.timestamp().split_once('T').unwrap_or_default();
        let mut date = date.split('-').map(|part| part.parse().unwrap_or(0));
        let mut next_number = || date.next().unwrap_or(0);
        let days = days(next_number(), next_number(), next_number());
        let (clock, fraction) = clock
            .trim_end_matches('Z')
            .split_once('.')
            .unwrap_or((clock.trim_end_matches('Z'), ""));
        let seconds = clock
            .split(':')
            .map(|part| part.parse().unwrap_or(0))
            .fold(0, |seconds: u64, part: u64| seconds * 60 + part);
        let digits: String = fraction.chars().chain("000000".chars()).take(6).collect();
        let micros: u64 = digits.parse().unwrap_or(0);
        (days * 86_400 + seconds) * 1_000_000 + micros
    }

    /// Returns whether the line is about the request or a call that was made for it.
    fn is_about(&self, id: &str) -> bool {
        let line_id = self.text("id");
        let suffix = line_id.strip_prefix(id);
        suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('.'))
    }

    fn render(&self) -> String {
        let clock = self
            .timestamp()
            .split_once('T')
            .map_or("", |(_, clock)| clock);
        let mut text = format!("  {clock:<16} {:<20} {}", self.process, self.message());
        let fields = self.fields.iter();
        for (name, value) in fields.filter(|(name, _)| !COLUMNS.contains(&name.as_str())) {
            match value {
                Value::Null => {}
                Value::String(value) => text.push_str(&format!(" {name}={value}")),
                value => text.push_str(&format!(" {name}={value}")),
            }
        }
        text.push('\n');
        text
    }
}

/// Returns the number of days from the first of March of the year 0 to a date.
const fn days(year: u64, month: u64, day: u64) -> u64 {
    // The year begins in March, so that a leap day is its last day.
    let (year, month) = match month {
        0..=2 => (year.saturating_sub(1), month + 9),
        _ => (year, month - 3),
    };
    year * 365 + year / 4 - year / 100 + year / 400 + (month * 153 + 2) / 5 + day
}

/// Diagnosis of one request.
#[derive(Clone, Debug)]
pub struct Diagnosis<'a> {
    /// Lines that name the request or its calls, in order of time.
    pub lines: Vec<&'a Line>,
    /// State changes of processes around the request, in order of time.
    pub state_changes: Vec<&'a Line>,
    /// Number of earlier state changes that are left out.
    pub omitted: usize,
    /// Cause of the outcome.
    pub cause: String,
}

impl<'a> Diagnosis<'a> {
    /// Creates the diagnosis of the request `id`; returns `None` if no line names it.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_cli::diagnosis;
    ///
    /// assert!(diagnosis::Diagnosis::new(&[], "9c41d07be2a35f68").is_none());
    /// ```
    pub fn new(all: &'a [Line], id: &str) -> Option<Self> {
        let mut lines: Vec<_> = all.iter().filter(|line| line.is_about(id)).collect();
        lines.sort_by_key(|line| line.time_us());
        let (first, last) = (lines.first()?.time_us(), lines.last()?.time_us());
        let is_relevant = |line: &&Line| {
            let has_no_id = line.text("id").is_empty() && !line.message().is_empty();
            let is_near = (first.saturating_sub(LOOKBACK_US)..=last).contains(&line.time_us());
            let is_handler = lines
                .iter()
                .any(|request_line| request_line.process == line.process);
            has_no_id && is_near && (is_handler || is_control_decision(line))
        };
        let mut state_changes: Vec<_> = all.iter().filter(is_relevant).collect();
        state_changes.sort_by_key(|line| line.time_us());
        let omitted = state_changes.len().saturating_sub(MAX_STATE_CHANGES);
        state_changes.drain(..omitted);
        let cause = cause(&lines, id);
        Some(Self {
            lines,
            state_changes,
            omitted,
            cause,
        })
    }

    /// Returns the diagnosis as text.
    pub fn render(&self) -> String {
        let mut text = String::from("the request\n");
        text.extend(self.lines.iter().map(|line| line.render()));
        if !self.state_changes.is_empty() {
            text.push_str("what the processes believed\n");
            if self.omitted > 0 {
                text.push_str(&format!("  ({} earlier lines left out)\n", self.omitted));
            }
            text.extend(self.state_changes.iter().map(|line| line.render()));
        }
        text.push_str(&format!("cause: {}\n", self.cause));
        text
    }
}

/// Returns whether a line logs a decision of the control group about keys or members.
fn is_control_decision(line: &Line) -> bool {
    [
        "moving keys",
        "assigning vacant keys",
        "removing a backend server",
        "this replica leads",
        "this replica no longer leads",
        "a node stops; its keys are handed over",
    ]
    .contains(&line.message())
}

fn cause(lines: &[&Line], id: &str) -> String {
    let last_line = |message: &str| {
        let mut newest_first = lines.iter().rev();
        newest_first.find(|line| line.message() == message && line.text("id") == id)
    };
    if let Some(dropped) = last_line("dropped a request at the end of the process") {
        return dropped_cause(dropped, last_line("cancelled a request").copied());
    }
    let failed_call = lines
        .iter()
        .find(|line| line.text("id") != id && line.message() == "not served");
    let abandoned = last_line("gave up on a request");
    if let Some(abandoned) = abandoned {
        return abandoned_cause(abandoned, lines);
    }
    if let Some(late) = last_line("answered late") {
        return late_cause(late, last_line("the backend server answered late").copied());
    }
    if let Some(refused) = last_line("not served") {
        return match refused.text("failure") {
            "NoRoute" => "no route of the configuration in force matches".to_owned(),
            "NoId" => "the request has no id".to_owned(),
            _ => format!(
                "{} before any backend server was chosen",
                refused.text("failure")
            ),
        };
    }
    match failed_call {
        Some(call) => format!(
            "a call that its backend server made ({}) was answered {}",
            call.text("id"),
            call.number("status").unwrap_or(0)
        ),
        None => "no line says that it failed; successes in time are not logged".to_owned(),
    }
}

/// Returns the cause of a request that has no answer because its entry node ended.
fn dropped_cause(dropped: &Line, cancelled: Option<&Line>) -> String {
    let process = &dropped.process;
    let took_ms = dropped.number("took_ms").unwrap_or(0);
    let place = match (dropped.text("stage"), dropped.number("server")) {
        ("answered", _) => return format!("{process} ended before its answer was written"),
        ("sent", Some(server)) => format!("at the node of backend server {server}"),
        (_, _) => "at this node".to_owned(),
    };
    let stage = match cancelled.map(|line| line.text("stage")) {
        Some("fetching-body") => ", where its body was being fetched; it did not run",
        Some("waiting-for-slot") => ", where it waited for a slot; it did not run",
        Some("checking" | "connecting") => ", where it had not been written; it did not run",
        Some(_) => ", where it may have run",
        None => "",
    };
    format!("{process} ended after {took_ms} ms while the request was {place}{stage}")
}

fn abandoned_cause(abandoned: &Line, lines: &[&Line]) -> String {
    let refusals = [
        "the backend server is full",
        "bodies fill the link to the node",
    ];
    let newest_first = lines.iter().rev();
    let refusal = newest_first
        .copied()
        .find(|line| refusals.contains(&line.message()));
    let service = abandoned.text("service");
    let server = abandoned
        .number("server")
        .map_or_else(String::new, |server| format!(" (backend server {server})"));
    let key = abandoned.number("key");
    let execution = match abandoned.fields.get("may_have_run") {
        Some(Value::Bool(true)) => "it may have run, so it was not offered again",
        _ => "it did not run",
    };
    let why = match abandoned.text("reason") {
        "busy" => match refusal {
            Some(refusal) if refusal.message() == refusals[1] => {
                "its body would have arrived too late: others fill the link".to_owned()
            }
            Some(refusal) => {
                let number = |field| refusal.number(field).unwrap_or(0);
                let (running, slots, waiting) =
                    (number("running"), number("slots"), number("waiting"));
                let (service_ms, useful_ms) = (number("service_ms"), number("useful_ms"));
                let is_cold = matches!(refusal.fields.get("is_cold"), Some(Value::Bool(true)));
                let cold = match is_cold {
                    true => "the backend server is cold and is sent few requests a second; ",
                    false => "",
                };
                format!(
                    "{cold}no room in time: {running} of {slots} slots run, {waiting} wait, \
                     {service_ms} ms each, {useful_ms} ms left to the target"
                )
            }
            None if key.is_some() => "the owner of its key had no room in time".to_owned(),
            None => "the backend servers that were asked had no room in time".to_owned(),
        },
        "not-owner" => "its key was changing hands".to_owned(),
        "draining" => "the backend server is leaving".to_owned(),
        "evacuated" => "the failure domain of the backend server is evacuated".to_owned(),
        "stopping" => "the node beside the backend server was stopping".to_owned(),
        "unreachable" => "no connection to the backend server or its node".to_owned(),
        "other-instance" => "another run of a backend server was at the address".to_owned(),
        "refused-by-server" => "the backend server itself refused it".to_owned(),
        "link-lost" => "the connection between the nodes was lost".to_owned(),
        "malformed" => "the answer of the backend server could not be used".to_owned(),
        "broken" => "the connection to the backend server broke off".to_owned(),
        "deadline" => "its time was over".to_owned(),
        "" => "no backend server or owner was known that could take it".to_owned(),
        reason => format!("reason {reason}"),
    };
    let error = lines
        .iter()
        .find(|line| line.message() == "no usable answer of the backend server")
        .map_or_else(String::new, |line| format!(" [{}]", line.text("error")));
    format!("{service}{server}: {why}{error}; {execution}")
}

fn late_cause(late: &Line, server: Option<&Line>) -> String {
    let number = |line: &Line, field| line.number(field).unwrap_or(0);
    let (took_ms, late_ms) = (number(late, "took_ms"), number(late, "late_ms"));
    let Some(server) = server else {
        return format!(
            "answered after {took_ms} ms, {late_ms} ms late; the way there took the time"
        );
    };
    let (waited_ms, ran_ms) = (number(server, "waited_ms"), number(server, "ran_ms"));
    let (running, slots, waiting) = (
        number(server, "running"),
        number(server, "slots"),
        number(server, "waiting"),
    );
    let main_phase = if waited_ms >= ran_ms {
        "waiting for a slot"
    } else {
        "running"
    };
    format!(
        "answered after {took_ms} ms, {late_ms} ms late, most of it {main_phase}: {waited_ms} ms for a slot, \
         {ran_ms} ms at the backend server, where {running} of {slots} slots ran and {waiting} waited"
    )
}
