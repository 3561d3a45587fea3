//! What the processes' logs tell about one request.
//!
//! A diagnosis is made of lines only: the ones that name the request, and the changes of
//! belief of the processes that handled it, in order of time. The cause follows from the
//! reason that the entry node gave and from what the other node said about it.

use serde_json::{Map, Value};

/// Time before the first line of a request in which changes of belief are shown, in
/// microseconds: a lease and a renewal.
const BEFORE_US: u64 = 5_000_000;
/// Changes of belief that are shown at most; the newest are kept.
const MAX_STATE_CHANGES: usize = 20;
/// Fields that every line has and that are shown in columns of their own.
const COLUMNS: [&str; 4] = ["timestamp", "level", "message", "target"];

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Process that wrote it.
    pub process: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` if it is not a structured one.
    ///
    /// Text before the JSON document names the process, as collectors put it there;
    /// otherwise it is `process`.
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
        let (before, _) = text.split_once('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[before.len()..]) else {
            return None;
        };
        let named = before.split_whitespace().next_back();
        let line = Self {
            process: named.unwrap_or(process).to_owned(),
            fields,
        };
        (!line.time().is_empty()).then_some(line)
    }

    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field);
        value.and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    fn time(&self) -> &str {
        self.text("timestamp")
    }

    fn message(&self) -> &str {
        self.text("message")
    }

    /// Returns the time within a day, in microseconds.
    fn micros(&self) -> u64 {
        let clock = self.time().split_once('T').map_or("", |(_, clock)| clock);
        let mut parts = clock.trim_end_matches('Z').split([':', '.']);
        let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok());
        let (hours, minutes, seconds) = (next(), next(), next());
        let micros = next().unwrap_or(0);
        let minutes = hours.unwrap_or(0) * 60 + minutes.unwrap_or(0);
        (minutes * 60 + seconds.unwrap_or(0)) * 1_000_000 + micros
    }

    /// Returns whether the line is about the request or a call that was made for it.
    fn is_about(&self, id: &str) -> bool {
        let own = self.text("id");
        let call = own.strip_prefix(id);
        call.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    fn show(&self) -> String {
        let clock = self.time().split_once('T').map_or("", |(_, clock)| clock);
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

/// What is known about one request.
#[derive(Clone, Debug)]
pub struct Diagnosis<'a> {
    /// Lines that name the request or its calls, in order of time.
    pub lines: Vec<&'a Line>,
    /// Changes of belief around it, in order of time.
    pub state_changes: Vec<&'a Line>,
    /// Changes of belief that are left out.
    pub omitted: usize,
    /// Why it ended as it did.
    pub cause: String,
}

impl<'a> Diagnosis<'a> {
    /// Tells the diagnosis of the request `id`; `None` if no line names it.
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
        lines.sort_by_key(|line| line.micros());
        let (first, last) = (lines.first()?.micros(), lines.last()?.micros());
        let concerns = |line: &&Line| {
            let is_general = line.text("id").is_empty() && !line.message().is_empty();
            let is_near = (first.saturating_sub(BEFORE_US)..=last).contains(&line.micros());
            let handled = lines.iter().any(|one| one.process == line.process);
            is_general && is_near && (handled || is_decision_of_control(line))
        };
        let mut state_changes: Vec<_> = all.iter().filter(concerns).collect();
        state_changes.sort_by_key(|line| line.micros());
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
    pub fn show(&self) -> String {
        let mut text = String::from("the request\n");
        text.extend(self.lines.iter().map(|line| line.show()));
        if !self.state_changes.is_empty() {
            text.push_str("what the processes believed\n");
            if self.omitted > 0 {
                text.push_str(&format!("  ({} earlier lines left out)\n", self.omitted));
            }
            text.extend(self.state_changes.iter().map(|line| line.show()));
        }
        text.push_str(&format!("cause: {}\n", self.cause));
        text
    }
}

/// Returns whether a line says what the control group decided about keys or members.
fn is_decision_of_control(line: &Line) -> bool {
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
    let own = |message: &str| {
        let mut found = lines.iter().rev();
        found.find(|line| line.message() == message && line.text("id") == id)
    };
    let called = lines
        .iter()
        .find(|line| line.text("id") != id && line.message() == "not served");
    let gave_up = own("gave up on a request");
    if let Some(gave_up) = gave_up {
        return given_up(gave_up, lines);
    }
    if let Some(late) = own("answered late") {
        return answered_late(late, own("the backend server answered late").copied());
    }
    if let Some(refused) = own("not served") {
        return match refused.text("failure") {
            "NoRoute" => "no route of the configuration in force matches".to_owned(),
            "NoId" => "the request has no id".to_owned(),
            _ => format!(
                "{} before any backend server was chosen",
                refused.text("failure")
            ),
        };
    }
    match called {
        Some(call) => format!(
            "a call that its backend server made ({}) was answered {}",
            call.text("id"),
            call.number("status").unwrap_or(0)
        ),
        None => "no line says that it failed; successes in time are not logged".to_owned(),
    }
}

fn given_up(gave_up: &Line, lines: &[&Line]) -> String {
    let refusals = [
        "the backend server is full",
        "bodies fill the link to the node",
    ];
    let last = lines.iter().rev();
    let full = last
        .copied()
        .find(|line| refusals.contains(&line.message()));
    let service = gave_up.text("service");
    let server = gave_up
        .number("server")
        .map_or_else(String::new, |server| format!(" (backend server {server})"));
    let key = gave_up.number("key");
    let ran = match gave_up.fields.get("may_have_run") {
        Some(Value::Bool(true)) => "it may have run, so it was not offered again",
        _ => "it did not run",
    };
    let why = match gave_up.text("reason") {
        "busy" => match full {
            Some(full) if full.message() == refusals[1] => {
                "its body would have arrived too late: others fill the link".to_owned()
            }
            Some(full) => {
                let of = |field| full.number(field).unwrap_or(0);
                let (running, slots, waiting) = (of("running"), of("slots"), of("waiting"));
                let (service_ms, useful_ms) = (of("service_ms"), of("useful_ms"));
                format!(
                    "no room in time: {running} of {slots} slots run, {waiting} wait, \
                     {service_ms} ms each, {useful_ms} ms left to the target"
                )
            }
            None if key.is_some() => "the owner of its key had no room in time".to_owned(),
            None => "the backend servers that were asked had no room in time".to_owned(),
        },
        "not-owner" => "its key was changing hands".to_owned(),
        "draining" => "the backend server is leaving".to_owned(),
        "stopping" => "the node beside the backend server was stopping".to_owned(),
        "unreachable" => "no connection to the backend server or its node".to_owned(),
        "other-instance" => "another run of a backend server was at the address".to_owned(),
        "refused-by-server" => "the backend server itself refused it".to_owned(),
        "link-lost" => "the connection between the nodes was lost".to_owned(),
        "malformed" => "the answer of the backend server could not be used".to_owned(),
        "broken" => "the connection to the backend server broke off".to_owned(),
        "deadline" => "its time was over".to_owned(),
        "" => "no backend server or owner was known that could take it".to_owned(),
        other => format!("reason {other}"),
    };
    let error = lines
        .iter()
        .find(|line| line.message() == "no usable answer of the backend server")
        .map_or_else(String::new, |line| format!(" [{}]", line.text("error")));
    format!("{service}{server}: {why}{error}; {ran}")
}

fn answered_late(late: &Line, server: Option<&Line>) -> String {
    let of = |line: &Line, field| line.number(field).unwrap_or(0);
    let (took, beyond) = (of(late, "took_ms"), of(late, "late_ms"));
    let Some(server) = server else {
        return format!("answered after {took} ms, {beyond} ms late; the way there took the time");
    };
    let (waited, ran) = (of(server, "waited_ms"), of(server, "ran_ms"));
    let (running, slots, waiting) = (
        of(server, "running"),
        of(server, "slots"),
        of(server, "waiting"),
    );
    let main = if waited >= ran {
        "waiting for a slot"
    } else {
        "running"
    };
    format!(
        "answered after {took} ms, {beyond} ms late, most of it {main}: {waited} ms for a slot, \
         {ran} ms at the backend server, where {running} of {slots} slots ran and {waiting} waited"
    )
}
