//! The control thread, with queues that are full.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_gateway::coordinator::{Command, Coordinator, Event, state};
use sequoiayoke_link::session;
use sequoiayoke_model::id;
use sequoiayoke_supervise::Stop;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

/// Longest wait for the grants of a started node.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Number of ranges that the backend server owns, more than the queue of commands holds.
const RANGES: u16 = 8;

fn announcement() -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: "i-1".to_owned(),
            born_ms: 10,
        },
        service: "status".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        node: ([127, 0, 0, 1], 2).into(),
        domain: "a".to_owned(),
        slots: 4,
        is_draining: false,
    }
}

fn owned_state() -> session::State {
    let mut table = slice::Table::new();
    for number in 0..RANGES {
        table.replace(slice::Slice {
            range: slice::Range::new(number * 100, number * 100 + 99),
            fence: slice::Fence(u64::from(number) + 5),
            owner: Some(id::Server(1)),
            handover: None,
        });
    }
    let service = config::Service {
        name: "status".to_owned(),
        health_path: "/".to_owned(),
        max_connections: 10,
        is_keyed: true,
        warm_up_ms: 0,
        cold_start: None,
    };
    session::State {
        index: 20,
        config: Some(config::Config {
            version: config::Version(1),
            services: vec![service],
            ..config::Config::default()
        }),
        servers: vec![server::Server {
            id: id::Server(1),
            incarnation: id::Incarnation(3),
            announcement: announcement(),
        }],
        tables: BTreeMap::from([("status".to_owned(), table)]),
        evacuated: BTreeSet::new(),
    }
}

/// Guards against keys that a node never grants because the queue of commands was full once: a grant
/// that was not sent must not count as one in flight.
#[tokio::test]
async fn grants_that_find_the_queue_full_are_sent_later() {
    let config = state::Config {
        domain: "a".to_owned(),
        service: "status".to_owned(),
        lease: Duration::from_millis(4_500),
        backend: ([127, 0, 0, 1], 1).into(),
        max_hold: Duration::from_secs(10),
        started_ms: 0,
    };
    let (commands, mut sent) = mpsc::channel(2);
    let (events, inbox) = mpsc::channel(64);
    let (coordinator, _shared) = Coordinator::new(config, commands);
    let (reply, _accepted) = oneshot::channel();
    let announced = Event::Announced {
        announcement: announcement(),
        sequence: 1,
        report: None,
        reply,
    };
    let state = Event::Control(session::FromControl::State(owned_state()));
    for event in [announced, state] {
        events.send(event).await.expect("the control thread runs");
    }
    let mut granted = BTreeSet::new();
    let executing = async {
        while granted.len() < usize::from(RANGES) {
            let Some(Command::Effect(effect)) = sent.recv().await else {
                continue;
            };
            match effect {
                state::Effect::Renew(renewal) => {
                    let renewed = session::FromControl::Renewed {
                        sequence: renewal.sequence,
                        server: id::Server(1),
                    };
                    let renewed = events.send(Event::Control(renewed)).await;
                    renewed.expect("the control thread runs");
                }
                state::Effect::Grant {
                    range,
                    fence,
                    at,
                    hold,
                    ..
                } => {
                    granted.insert(range.first);
                    let until = at + hold;
                    let confirmed = Event::GrantConfirmed {
                        range,
                        fence,
                        until,
                    };
                    let completed = Event::GrantCompleted {
                        range,
                        fence,
                        unanswered_until: None,
                    };
                    for event in [confirmed, completed] {
                        events.send(event).await.expect("the control thread runs");
                    }
                }
                _ => {}
            }
        }
    };
    tokio::select! {
        executed = time::timeout(MAX_WAIT, executing) => executed.expect("all ranges are granted"),
        ended = coordinator.run(inbox, Stop::new()) => panic!("{ended:?}"),
    }
}
