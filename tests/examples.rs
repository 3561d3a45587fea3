//! The example deployments are valid and consistent, and have the sizes on the design page.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path;

use sequoiayoke_api::ticket;
use sequoiayoke_settings::{self as settings, control, load, node, standin};
use sha2::Digest as _;

#[path = "../examples/trace.rs"]
mod trace;

const DEPLOYMENTS: &[&str] = &["ankesor", "chao-phraya"];

fn folder(deployment: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(deployment)
}

/// Reads all settings of a role, in the order of their file names.
fn load_all<T>(deployment: &str, role: &str) -> Vec<T>
where
    T: serde::de::DeserializeOwned + settings::check::Check,
{
    let files = fs::read_dir(folder(deployment)).unwrap();
    let mut paths: Vec<_> = files.map(|file| file.unwrap().path()).collect();
    paths.sort();
    let of_role = paths.iter().filter(|path| {
        let name = path.file_name().unwrap().to_str().unwrap();
        name.starts_with(role) && name.ends_with(".jsonc")
    });
    of_role
        .map(|path| settings::load(path).unwrap_or_else(|report| panic!("{report}")))
        .collect()
}

fn first_ticket(deployment: &str) -> ticket::Ticket {
    let text = fs::read(folder(deployment).join("tickets/0001.jsonc")).unwrap();
    ticket::parse(&text).unwrap()
}

fn services(ticket: &ticket::Ticket) -> BTreeMap<&str, &ticket::Service> {
    let services = ticket.objects.iter().filter_map(|object| match object {
        ticket::Object::Service(service) => Some((service.name.as_str(), service)),
        _ => None,
    });
    services.collect()
}

fn callers(ticket: &ticket::Ticket) -> BTreeMap<&str, &ticket::Caller> {
    let callers = ticket.objects.iter().filter_map(|object| match object {
        ticket::Object::Caller(caller) => Some((caller.name.as_str(), caller)),
        _ => None,
    });
    callers.collect()
}

/// Guards against settings of one deployment that do not match, so that its processes cannot
/// reach or authenticate each other.
#[test]
fn settings_of_a_deployment_match() {
    for deployment in DEPLOYMENTS {
        let controls: Vec<control::Control> = load_all(deployment, "control");
        assert_eq!(controls.len(), controls[0].replicas.len());
        let addresses: Vec<_> = controls.iter().map(|control| control.listen.node).collect();
        let mut ports = BTreeSet::new();
        for control in &controls {
            assert_eq!(
                control.replicas, controls[0].replicas,
                "{}",
                control.replica
            );
            let listen = control.listen;
            ports.extend([listen.replica, listen.node, listen.operator]);
        }
        let nodes: Vec<node::Node> = load_all(deployment, "node");
        let standins: Vec<standin::Standin> = load_all(deployment, "standin");
        for (node, standin) in nodes.iter().zip(&standins) {
            assert_eq!(node.control, addresses, "{}", standin.name);
            assert_eq!(node.secret, controls[0].secret, "{}", standin.name);
            assert_eq!(node.region, controls[0].region, "{}", standin.name);
            assert_eq!(node.listen.backend, standin.node, "{}", standin.name);
            assert_eq!(node.backend.token, standin.token, "{}", standin.name);
            let listen = node.listen;
            ports.extend([listen.caller, listen.peer, listen.backend, standin.listen]);
            ports.extend(listen.metrics);
        }
        assert_eq!(nodes.len(), standins.len());
        assert_eq!(ports.len(), 3 * controls.len() + 5 * nodes.len());
        let [load] = &load_all::<load::Load>(deployment, "load")[..] else {
            panic!("{deployment} does not have exactly one file for the load tool");
        };
        let callers: Vec<_> = nodes.iter().map(|node| node.listen.caller).collect();
        assert_eq!(
            BTreeSet::from_iter(&load.nodes),
            BTreeSet::from_iter(&callers)
        );
    }
}

/// Guards against sizes that differ from the design page, and against services without a backend
/// server.
#[test]
fn sizes_match_the_design_page() {
    for (deployment, slots, connections) in [("ankesor", 12, 130), ("chao-phraya", 9, 70)] {
        let standins: Vec<standin::Standin> = load_all(deployment, "standin");
        for standin in &standins {
            let sizes = (standin.slots, standin.connections);
            assert_eq!(sizes, (slots, connections), "{}", standin.name);
        }
        let served = standins.iter().flat_map(|standin| &standin.services);
        let ticket = first_ticket(deployment);
        let registered: BTreeSet<_> = services(&ticket).into_keys().collect();
        assert_eq!(BTreeSet::from_iter(served.map(String::as_str)), registered);
    }
}

/// Guards against tokens in the settings of the load tool that the first ticket does not register.
#[test]
fn tokens_of_the_load_tool_are_registered() {
    for deployment in DEPLOYMENTS {
        let ticket = first_ticket(deployment);
        let registered = callers(&ticket);
        let load = load_all::<load::Load>(deployment, "load").remove(0);
        assert_eq!(load.callers.len(), registered.len());
        for caller in &load.callers {
            assert!(
                caller.token.reveal().starts_with("replace-me"),
                "{}",
                caller.name
            );
            let digest = sha2::Sha256::digest(caller.token.reveal());
            let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            assert_eq!(registered[caller.name.as_str()].token_sha256, digits);
        }
    }
}

/// Guards against a trace that differs from the generator's output, or that lacks a kind of
/// request.
#[test]
fn traces_match_the_generator_and_have_all_kinds_of_requests() {
    for deployment in DEPLOYMENTS {
        let text = fs::read_to_string(folder(deployment).join("trace.jsonl")).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        let requests: Vec<trace::Request> = lines.collect();
        assert_eq!(Some(&requests), trace::trace(deployment).as_ref());
        assert!(requests.is_sorted_by_key(|request| request.at_ms));

        let ticket = first_ticket(deployment);
        let (services, callers) = (services(&ticket), callers(&ticket));
        for request in &requests {
            let service = services[request.service.as_str()];
            let scope = &callers[request.caller.as_str()].scope;
            assert_eq!(service.scoped, !scope.is_empty(), "{request:?}");
            let idempotent = service.idempotent.contains(&request.method);
            assert_eq!(request.idempotent, idempotent, "{request:?}");
        }
        let count = |predicate: &dyn Fn(&trace::Request) -> bool| {
            requests.iter().filter(|request| predicate(request)).count()
        };
        assert!(count(&|request| request.method == "GET") >= 100);
        assert!(count(&|request| !request.idempotent) >= 50);
        assert!(count(&|request| request.path == "photo" && request.method == "PUT") >= 5);
    }
}
