//! Scripted runs of the state machine.
//!
//! Each file below `tests/scenarios` names the failures that it guards against.
//! After each command the machine is stored, read back and compared.

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::member;
use sequoiayoke_state::ticket;

/// Arguments of a directive or of one line of its input.
struct Words<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Words<'a> {
    fn new(line: &'a str) -> Self {
        let words = line.split_whitespace();
        Self(
            words
                .map(|word| word.split_once('=').unwrap_or((word, "")))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        let mut words = self.0.iter();
        words.find(|(one, _)| *one == name).map(|(_, value)| *value)
    }

    fn text(&self, name: &str) -> String {
        self.get(name).unwrap_or_default().to_owned()
    }

    fn number(&self, name: &str) -> u64 {
        let value = self
            .get(name)
            .unwrap_or_else(|| panic!("{name} is missing"));
        value.parse().expect("a number")
    }

    fn start(&self, name: &str) -> key::Hash {
        let value = self
            .get(name)
            .unwrap_or_else(|| panic!("{name} is missing"));
        key::Hash(u64::from_str_radix(value, 16).expect("a hash"))
    }
}

fn object(line: &str) -> ticket::Object {
    let words = Words::new(line);
    match words.0[0].0 {
        "service" => ticket::Object::Service(ticket::Service {
            name: words.text("name"),
            idempotent: vec!["GET".to_owned()],
            scoped: words.get("scoped").is_some(),
            slices: words.number("slices") as u32,
            weights: ticket::Weights::default(),
        }),
        "server" => ticket::Object::Server(ticket::Server {
            name: words.text("name"),
            intent: match words.get("draining") {
                Some(_) => ticket::Intent::Draining,
                None => ticket::Intent::Serving,
            },
        }),
        "pin" => ticket::Object::Pin(ticket::Pin {
            service: words.text("service"),
            scope: words.text("scope"),
            key: words.text("key"),
            server: words.get("server").map(str::to_owned),
        }),
        "caller" => ticket::Object::Caller(ticket::Caller {
            name: words.text("name"),
            token_digest: [words.number("digest") as u8; 32],
            scope: words.text("scope"),
        }),
        other => panic!("unknown object {other}"),
    }
}

fn announcement(words: &Words<'_>) -> member::Announcement {
    let address = "127.0.0.1:1".parse().expect("an address");
    member::Announcement {
        name: words.text("name"),
        nonce: words.number("nonce"),
        services: vec!["refunds".to_owned()],
        failure_domain: "north".to_owned(),
        peer_address: address,
        caller_address: address,
        slots: 12,
        checks_fencing: true,
        checks_sender: true,
    }
}

fn one_move(line: &str) -> command::Move {
    let words = Words::new(line);
    command::Move {
        service: id::Service(words.number("service") as u32),
        start: words.start("start"),
        server: id::Server(words.number("server") as u32),
        incarnation: id::Incarnation(words.number("run")),
        expected: words
            .get("expected")
            .map(|_| id::Epoch(words.number("expected"))),
        cause: words.text("cause"),
    }
}

fn command(directive: &str, words: &Words<'_>, input: &str) -> command::Command {
    let service = || id::Service(words.number("service") as u32);
    match directive {
        "ticket" => command::Command::Ticket(ticket::Ticket {
            number: id::Ticket(words.number("number")),
            objects: input.lines().map(object).collect(),
        }),
        "join" => command::Command::Join(announcement(words)),
        "leave" => command::Command::Leave {
            server: id::Server(words.number("server") as u32),
            incarnation: id::Incarnation(words.number("run")),
        },
        "assign" => command::Command::Assign(input.lines().map(one_move).collect()),
        "split" => command::Command::Split {
            service: service(),
            at: words.start("at"),
        },
        "merge" => command::Command::Merge {
            service: service(),
            at: words.start("at"),
        },
        other => panic!("unknown directive {other}"),
    }
}

/// Applies a command; the state must survive a snapshot, and a refusal must not change it.
fn apply(machine: &mut machine::Machine, index: u64, command: &command::Command) -> String {
    let before = machine.clone();
    let text = match machine.apply(index, command) {
        Ok(done) => {
            let accepted = done.accepted.map(|version| format!(" accepted={version}"));
            let joined = done
                .joined
                .map(|(server, run)| format!(" joined={server}/{run}"));
            let repeated = if done.repeated { " repeated" } else { "" };
            let moved = if done.moved > 0 {
                format!(" moved={}", done.moved)
            } else {
                String::new()
            };
            let (accepted, joined) = (accepted.unwrap_or_default(), joined.unwrap_or_default());
            format!(
                "ok changes={}{accepted}{joined}{moved}{repeated}\n",
                done.changes.len()
            )
        }
        Err(refusal) => {
            assert_eq!(*machine, before, "a refusal has changed the state");
            format!("refused: {refusal}\n")
        }
    };
    let stored = postcard::to_allocvec(&machine.to_snapshot()).expect("a snapshot");
    let read = postcard::from_bytes(&stored).expect("a stored snapshot");
    assert_eq!(
        machine::Machine::with_snapshot(read),
        *machine,
        "a snapshot differs"
    );
    text
}

fn show(machine: &machine::Machine) -> String {
    let mut text = format!(
        "next {} version {}\n",
        machine.next_ticket(),
        machine.view().version()
    );
    for (id, server) in machine.servers() {
        let run = server.run.as_ref().map(|run| run.incarnation.to_string());
        let stale: Vec<_> = server.stale_runs.iter().map(ToString::to_string).collect();
        let run = run.unwrap_or_else(|| "gone".to_owned());
        let (name, intent) = (&server.name, server.intent);
        text += &format!(
            "{id} {name} {intent:?} run={run} stale=[{}]\n",
            stale.join(" ")
        );
    }
    for (id, table) in machine.view().tables() {
        for slice in table.slices() {
            let holder = slice
                .holder
                .map(|one| format!("{}/{} {}", one.server, one.incarnation, one.epoch));
            let holder = holder.unwrap_or_else(|| "vacant".to_owned());
            text += &format!("{id} {} {holder}\n", slice.start);
        }
    }
    for caller in machine.callers() {
        let (name, digest) = (&caller.name, caller.token_digest[0]);
        text += &format!("caller {name} digest={digest} scope={:?}\n", caller.scope);
    }
    for (pin, server) in machine.pins() {
        text += &format!("pin {} {} to {server}\n", pin.service, pin.hash);
    }
    text
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut machine = machine::Machine::new();
        let mut index = 0;
        file.run(|case| {
            let line: Vec<_> = case
                .args
                .iter()
                .map(|(name, values)| format!("{name}={}", values.join(",")))
                .collect();
            let line = line.join(" ");
            let words = Words::new(&line);
            let count = words.get("times").map_or(1, |_| words.number("times"));
            if case.directive == "show" {
                return show(&machine);
            }
            let mut text = String::new();
            for round in 0..count {
                index += 1;
                let next = words.get("nonce").map(|_| words.number("nonce") + round);
                let joined = next.map(|nonce| format!("{line} nonce={nonce}"));
                let mut words = Words::new(joined.as_deref().unwrap_or(&line));
                words.0.reverse();
                let command = command(&case.directive, &words, &case.input);
                text = format!("{index}: {}", apply(&mut machine, index, &command));
            }
            text
        });
    });
}
