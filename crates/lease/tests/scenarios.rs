//! Scripted scenarios of a holder and a registry on two clocks.
//!
//! Each file in `tests/scenarios` names the failure that it guards against.
//! Times are simulated milliseconds, which each side reads on its own clock.

use std::collections;
use std::time::Duration;

use sequoiayoke_lease::holder;
use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

const SERVER: id::Server = id::Server(1);

/// A clock that starts at `offset` and runs fast by `drift` parts per thousand.
struct SkewedClock {
    offset: u64,
    drift: u64,
}

impl SkewedClock {
    fn at(&self, millis: u64) -> clock::Instant {
        clock::Instant::from_micros(self.offset + millis * (1_000 + self.drift))
    }
}

struct World {
    node: SkewedClock,
    control: SkewedClock,
    holder: holder::Holder,
    registry: registry::Registry,
    /// Acknowledgements in flight, by sequence number.
    acks: collections::BTreeMap<u64, id::Version>,
}

impl World {
    fn new(node_drift: u64, control_drift: u64) -> Self {
        // The offsets differ so that comparing readings of the two clocks would fail the test.
        Self {
            node: SkewedClock {
                offset: 7_000_000,
                drift: node_drift,
            },
            control: SkewedClock {
                offset: 900_000_000,
                drift: control_drift,
            },
            holder: holder::Holder::new(holder::Config::default()),
            registry: registry::Registry::new(registry::Config::default()),
            acks: collections::BTreeMap::new(),
        }
    }

    fn renew(&mut self, call: &Call<'_>) -> String {
        let now = self.control.at(call.at());
        let applied = id::Version(call.number_or("applied", 0));
        match self.registry.renew(now, call.member(), applied) {
            Ok(()) => {
                let version = id::Version(call.number_or("version", 0));
                self.acks.insert(call.number("seq"), version);
                "accepted".into()
            }
            Err(refusal) => format!("refused: {refusal:?}"),
        }
    }

    fn check(&mut self, call: &Call<'_>) -> String {
        let (node, control) = (self.node.at(call.at()), self.control.at(call.at()));
        let is_holding = self.holder.is_valid(node);
        let live = self.registry.is_live(control, call.member());
        assert!(
            !is_holding || live,
            "the node holds a lease that has lapsed"
        );
        let view = self
            .holder
            .is_view_confirmed(node, id::Version(call.number_or("applied", 0)));
        format!("node holds={is_holding} view={view}, control live={live}")
    }

    fn run(&mut self, call: &Call<'_>) -> String {
        let control = self.control.at(call.at());
        let output = match call.case.directive.as_str() {
            "send" => {
                let recorded = self
                    .holder
                    .record_sent(self.node.at(call.at()), call.number("seq"));
                format!("recorded={recorded}")
            }
            "renew" => self.renew(call),
            "ack" => {
                let sequence = call.number("seq");
                let version = self.acks[&sequence];
                format!("taken={}", self.holder.acknowledge(sequence, version))
            }
            "check" => self.check(call),
            "join" => format!("{:?}", self.registry.add(control, call.member())),
            "lead" => {
                self.registry.become_leader(control, [call.member()]);
                "leads".into()
            }
            "expired" => format!("{:?}", self.registry.collect_lapsed(control)),
            "release" => format!("released={}", self.registry.release(call.member())),
            "remove" => {
                let until = self.registry.remove(call.member());
                let remaining = until.map(|until| control.saturating_until(until));
                format!("early={remaining:?}")
            }
            "left" => format!("{:?}", self.registry.remaining(control, SERVER)),
            "confirmed" => {
                let version = id::Version(call.number("version"));
                format!("{:?}", self.registry.confirmation(version))
            }
            "drop" => {
                self.holder.drop_lease();
                format!("left={:?}", self.holder.remaining(self.node.at(call.at())))
            }
            directive => panic!("unknown directive {directive}"),
        };
        output + "\n"
    }
}

/// A directive with its arguments.
struct Call<'a> {
    case: &'a datadriven::TestCase,
}

impl Call<'_> {
    fn number_or(&self, name: &str, default: u64) -> u64 {
        let values = self.case.args.get(name);
        values.map_or(default, |values| values[0].parse().expect("a number"))
    }

    fn number(&self, name: &str) -> u64 {
        assert!(self.case.args.contains_key(name), "{name} is missing");
        self.number_or(name, 0)
    }

    fn at(&self) -> u64 {
        self.number("at")
    }

    fn member(&self) -> registry::Member {
        registry::Member::new(SERVER, id::Incarnation(self.number_or("inc", 1)))
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut world = World::new(0, 0);
        file.run(|case| {
            let call = Call { case };
            if case.directive == "clocks" {
                world = World::new(call.number("node"), call.number("control"));
                return "set\n".into();
            }
            world.run(&call)
        });
    });
}

/// Guards against a table that grows with each lost acknowledgement: a renewal that
/// was evicted is ignored, so the lease can end earlier but not later.
#[test]
fn evicted_renewals_do_not_extend_the_lease() {
    let config = holder::Config {
        capacity: 2,
        ..holder::Config::default()
    };
    let mut lease = holder::Holder::new(config);
    for sequence in 0..3 {
        lease.record_sent(clock::Instant::from_micros(sequence), sequence);
    }
    assert!(!lease.acknowledge(0, id::Version(1)));
    assert!(lease.acknowledge(1, id::Version(1)));
    let until = clock::Instant::from_micros(1) + Duration::from_millis(700);
    assert_eq!(lease.valid_until(), Some(until));
}

/// Guards against a registry that grows without bound, and against dropping
/// valid leases because the table is full.
#[test]
fn a_full_registry_refuses_new_members_only() {
    let config = registry::Config {
        capacity: 1,
        ..registry::Config::default()
    };
    let mut leases = registry::Registry::new(config);
    let now = clock::Instant::from_micros(0);
    let [first, second] =
        [1, 2].map(|number| registry::Member::new(id::Server(number), id::Incarnation(1)));
    assert_eq!(leases.add(now, first), Ok(()));
    assert_eq!(leases.add(now, second), Err(registry::Refusal::Full));
    assert_eq!(leases.renew(now, first, id::Version(1)), Ok(()));
    leases.become_leader(now, [first, second]);
    assert!(leases.is_live(now, first) && leases.is_live(now, second));
}
