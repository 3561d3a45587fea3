//! Scripted scenarios. The first comment of each file names the failure that it
//! guards against.

use std::time::Duration;

use datadriven::{TestCase, walk};
use sequoiayoke_consensus::{effect, event, members};
use sequoiayoke_model::id;

use crate::group;

#[test]
fn scenarios_produce_the_recorded_outcome() {
    walk("tests/replica/scenarios", |file| {
        let mut group = group::Group::new(3, 1);
        file.run(|case| {
            let mut case = case.clone();
            let output = run(&mut group, &mut case);
            case.expect_empty().expect("all arguments are used");
            output
        });
    });
}

fn run(group: &mut group::Group, case: &mut TestCase) -> String {
    let text = match case.directive.as_str() {
        "group" => {
            *group = group::Group::new(number(case, "voters"), number(case, "seed"));
            String::new()
        }
        "run" => {
            group.run(Duration::from_millis(number(case, "ms")));
            group.trace.drain(..).map(|line| line + "\n").collect()
        }
        "propose" => propose(group, case),
        "change" => {
            let node = node(group, case, "node");
            let change = change(case);
            response(group.step(node, event::Event::ChangeMember(change)))
        }
        "transfer" => {
            let node = node(group, case, "node");
            let refused = response(group.step(node, event::Event::Transfer));
            format!(
                "{refused}authoritative after: {}\n",
                group.is_authoritative(node)
            )
        }
        "status" => status(group),
        "network" => network(group, case),
        _ => inject_fault(group, case),
    };
    if text.is_empty() {
        "ok\n".to_owned()
    } else {
        text
    }
}

/// Carries out a directive that injects or removes a fault of replicas or links.
fn inject_fault(group: &mut group::Group, case: &mut TestCase) -> String {
    let targets = nodes(group, case, "node");
    match case.directive.as_str() {
        "cut" => {
            let a = nodes(group, case, "a");
            let mut b = nodes(group, case, "b");
            if b.is_empty() {
                b.extend(group.nodes.keys().filter(|id| !a.contains(id)));
            }
            group.cut([&a, &b]);
        }
        "heal" => group.network.cut.clear(),
        "lose-disk" => {
            group.nodes.remove(&targets[0]);
            group.add(number(case, "new"), Vec::new(), 7);
        }
        "crash" => targets.iter().for_each(|id| group.crash(*id)),
        "restart" => targets.iter().for_each(|id| group.restart(*id)),
        "compact" => targets.iter().for_each(|id| group.compact(*id)),
        "pause" => targets.iter().for_each(|id| group.set_paused(*id, true)),
        "resume" => targets.iter().for_each(|id| group.set_paused(*id, false)),
        directive_name => panic!("unknown directive {directive_name}"),
    }
    String::new()
}

fn network(group: &mut group::Group, case: &mut TestCase) -> String {
    let mut take = |name| {
        case.try_take_arg::<u64>(name)
            .expect("a number")
            .unwrap_or(0)
    };
    group.network.drop = take("drop") as u32;
    group.network.duplicate = take("duplicate") as u32;
    group.network.late = take("late") as u32;
    group.network.delay = (500, 500 + 1_000 * take("jitter"));
    String::new()
}

fn propose(group: &mut group::Group, case: &mut TestCase) -> String {
    let node = node(group, case, "node");
    let count: u64 = case.try_take_arg("count").expect("a number").unwrap_or(1);
    let mut text = String::new();
    for number in 0..count {
        let payload = format!("{}-{number}", case.input.trim());
        text = response(group.step(node, event::Event::Propose(payload)));
        // The pause lets entries commit, to stay below the limit of uncommitted entries.
        if count > 1 {
            group.run(Duration::from_millis(2));
        }
    }
    text
}

fn change(case: &mut TestCase) -> members::Change {
    let mut take = |name| {
        case.try_take_arg::<u64>(name)
            .expect("a number")
            .map(id::Replica)
    };
    let add = take("add").map(members::Change::AddLearner);
    let promote = take("promote").map(members::Change::Promote);
    let remove = take("remove").map(members::Change::Remove);
    add.or(promote).or(remove).expect("a change")
}

fn response(effect: Option<effect::Effect<String>>) -> String {
    match effect {
        Some(effect::Effect::Accepted(position)) => format!("accepted at {position}\n"),
        Some(effect::Effect::Refused(refusal)) => format!("refused: {refusal:?}\n"),
        _ => String::new(),
    }
}

fn status(group: &group::Group) -> String {
    let mut text = String::new();
    for (id, node) in &group.nodes {
        let line = match &node.replica {
            None => "down".to_owned(),
            Some(replica) => format!(
                "{:?} {} leader {} commit {} last {} snapshot {} voter {}{}",
                replica.role().kind,
                replica.role().term,
                replica.role().leader.map_or(0, |leader| leader.0),
                replica.commit(),
                replica.last(),
                replica.snapshot_position(),
                replica.members().is_voter(id::Replica(*id)),
                if group.is_authoritative(*id) {
                    " authoritative"
                } else {
                    ""
                },
            ),
        };
        text += &format!("{id}: {line}\n");
    }
    text
}

fn number(case: &mut TestCase, name: &str) -> u64 {
    case.take_arg(name).expect("a number")
}

/// Returns the node that an argument names by its number or as `leader`.
fn node(group: &group::Group, case: &mut TestCase, name: &str) -> u64 {
    resolve(group, &case.take_arg::<String>(name).expect("a node"))
}

fn nodes(group: &group::Group, case: &mut TestCase, name: &str) -> Vec<u64> {
    let names: Option<Vec<String>> = case.try_take_args(name).expect("nodes");
    let names = names.unwrap_or_default();
    names.iter().map(|name| resolve(group, name)).collect()
}

fn resolve(group: &group::Group, name: &str) -> u64 {
    match name {
        "leader" => group
            .authoritative_leader()
            .expect("an authoritative leader"),
        number => number.parse().expect("the number of a node"),
    }
}
