//! Scripted scenarios of the state machine.
//!
//! Each file in `tests/scenarios` names the failures that it guards against. After
//! each command, a snapshot is encoded, decoded and compared with the machine.

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::member;
use sequoiayoke_state::ticket;

/// Arguments of a directive or of one line of its input.
struct Arguments<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Arguments<'a> {
    fn new(line: &'a str) -> Self {
        let words = line.split_whitespace();
        Self(
            words
                .map(|word| word.split_once('=').unwrap_or((word, "")))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        let mut arguments = self.0.iter();
        arguments
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
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
    let arguments = Arguments::new(line);
    match arguments.0[0].0 {
        "service" => ticket::Object::Service(ticket::Service {
            name: arguments.text("name"),
            idempotent: vec!["GET".to_owned()],
            scoped: arguments.get("scoped").is_some(),
            slices: arguments.number("slices") as u32,
            weights: ticket::Weights::default(),
        }),
        "server" => ticket::Object::Server(ticket::Server {
            name: arguments.text("name"),
            intent: match arguments.get("draining") {
                Some(_) => ticket::Intent::Draining,
                None => ticket::Intent::Serving,
            },
        }),
        "pin" => ticket::Object::Pin(ticket::Pin {
            service: arguments.text("service"),
            scope: arguments.text("scope"),
            key: arguments.text("key"),
            server: arguments.get("server").map(str::to_owned),
        }),
        "caller" => ticket::Object::Caller(ticket::Caller {
            name: arguments.text("name"),
            token_digest: [arguments.number("digest") as u8; 32],
            scope: arguments.text("scope"),
        }),
        kind => panic!("unknown object {kind}"),
    }
}

fn announcement(arguments: &Arguments<'_>) -> member::Announcement {
    let address = "127.0.0.1:1".parse().expect("an address");
    member::Announcement {
        name: arguments.text("name"),
        nonce: arguments.number("nonce"),
        services: vec!["refunds".to_owned()],
        failure_domain: "north".to_owned(),
        peer_address: address,
        caller_address: address,
        slots: 12,
        checks_fencing: true,
        checks_sender: true,
    }
}

fn slice_move(line: &str) -> command::Move {
    let arguments = Arguments::new(line);
    command::Move {
        service: id::Service(arguments.number("service") as u32),
        start: arguments.start("start"),
        server: id::Server(arguments.number("server") as u32),
        incarnation: id::Incarnation(arguments.number("run")),
        expected: arguments
            .get("expected")
            .map(|_| id::Epoch(arguments.number("expected"))),
        cause: arguments.text("cause"),
    }
}

fn command(directive: &str, arguments: &Arguments<'_>, input: &str) -> command::Command {
    let service = || id::Service(arguments.number("service") as u32);
    match directive {
        "ticket" => command::Command::Ticket(ticket::Ticket {
            number: id::Ticket(arguments.number("number")),
            objects: input.lines().map(object).collect(),
        }),
        "join" => command::Command::Join(announcement(arguments)),
        "leave" => command::Command::Leave {
            server: id::Server(arguments.number("server") as u32),
            incarnation: id::Incarnation(arguments.number("run")),
        },
        "assign" => command::Command::Assign(input.lines().map(slice_move).collect()),
        "split" => command::Command::Split {
            service: service(),
            at: arguments.start("at"),
        },
        "merge" => command::Command::Merge {
            service: service(),
            at: arguments.start("at"),
        },
        directive => panic!("unknown directive {directive}"),
    }
}

/// Applies a command and checks that a refused one changes nothing and that a snapshot
/// restores the state.
fn apply(machine: &mut machine::Machine, index: u64, command: &command::Command) -> String {
    let before = machine.clone();
    let text = match machine.apply(index, command) {
        Ok(applied) => {
            let accepted = applied
                .accepted
                .map(|version| format!(" accepted={version}"));
            let joined = applied
                .joined
                .map(|(server, run)| format!(" joined={server}/{run}"));
            let repeated = if applied.repeated { " repeated" } else { "" };
            let moved = if applied.moved > 0 {
                format!(" moved={}", applied.moved)
            } else {
                String::new()
            };
            let (accepted, joined) = (accepted.unwrap_or_default(), joined.unwrap_or_default());
            format!(
                "ok changes={}{accepted}{joined}{moved}{repeated}\n",
                applied.changes.len()
            )
        }
        Err(refusal) => {
            assert_eq!(*machine, before, "a refused command has changed the state");
            format!("refused: {refusal}\n")
        }
    };
    let stored = postcard::to_allocvec(&machine.to_snapshot()).expect("a snapshot");
    let snapshot = postcard::from_bytes(&stored).expect("a stored snapshot");
    assert_eq!(
        machine::Machine::with_snapshot(snapshot),
        *machine,
        "the restored state differs"
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
        let run = run.unwrap_or_else(|| "none".to_owned());
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
                .map(|holder| format!("{}/{} {}", holder.server, holder.incarnation, holder.epoch));
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
            let arguments = Arguments::new(&line);
            let count = arguments
                .get("times")
                .map_or(1, |_| arguments.number("times"));
            if case.directive == "show" {
                return show(&machine);
            }
            let mut text = String::new();
            for round in 0..count {
                index += 1;
                let nonce = arguments
                    .get("nonce")
                    .map(|_| arguments.number("nonce") + round);
                let numbered_line = nonce.map(|nonce| format!("{line} nonce={nonce}"));
                let mut arguments = Arguments::new(numbered_line.as_deref().unwrap_or(&line));
                arguments.0.reverse();
                let command = command(&case.directive, &arguments, &case.input);
                text = format!("{index}: {}", apply(&mut machine, index, &command));
            }
            text
        });
    });
}
