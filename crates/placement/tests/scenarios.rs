//! Scenario files: each scripts changes and checks the planner's decisions, and
//! states which failure it guards against.

mod control;

use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_placement::config;
use sequoiayoke_placement::load;
use sequoiayoke_placement::pin;
use sequoiayoke_placement::server;

/// Use of a directive in a scenario file, with its arguments.
struct Call<'a> {
    case: &'a datadriven::TestCase,
}

impl Call<'_> {
    fn text(&self, name: &str) -> Option<&str> {
        let values = self.case.args.get(name)?;
        values.first().map(String::as_str)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name).map(|text| text.parse().expect("a number"))
    }

    fn hash(&self, name: &str) -> key::Hash {
        let text = self.text(name).expect("a position");
        key::Hash(u64::from_str_radix(text, 16).expect("a hexadecimal position"))
    }

    fn config(&self) -> config::Config {
        let mut config = config::Config {
            min_slices_per_server: 1,
            ..config::Config::default()
        };
        let number = |name: &str| self.number(name).map(|number| number as usize);
        config.min_slices_per_server = number("min").unwrap_or(config.min_slices_per_server);
        config.max_slices_per_server = number("max").unwrap_or(config.max_slices_per_server);
        config.max_moves_per_server = number("moves").unwrap_or(config.max_moves_per_server);
        config.budget = number("budget").unwrap_or(config.budget);
        config
    }

    fn servers(&self) -> Vec<u32> {
        let values = self.case.args.get("id").expect("id");
        let numbers = values.iter().map(|id| id.parse().expect("a number"));
        numbers.collect()
    }
}

fn change_servers(control: &mut control::Control, call: &Call<'_>) {
    let now = control.now;
    for number in call.servers() {
        control.announce(number, |server| {
            match call.text("state") {
                Some("draining") => server.state = server::State::Draining,
                Some("joining") => server.state = server::State::Joining { since: now },
                _ => server.state = server::State::Serving,
            }
            server.health.reported = call.text("health") != Some("ill");
            server.health.speed = call.number("speed").unwrap_or(1_000) as u32;
        });
    }
}

fn report_load(control: &mut control::Control, call: &Call<'_>) {
    let rate = call.number("rate").expect("a rate") * 1_000;
    let starts: Vec<_> = match call.text("start") {
        Some(_) => vec![call.hash("start")],
        None => control
            .table
            .slices()
            .iter()
            .map(|slice| slice.start)
            .collect(),
    };
    let keys: Vec<_> = call
        .number("hot")
        .map(|hot| load::Key {
            hash: call.hash("key"),
            rate: hot * 1_000,
        })
        .into_iter()
        .collect();
    for start in starts {
        control.report(start, rate, &keys);
    }
}

fn execute(control: &mut control::Control, call: &Call<'_>) -> String {
    if let Some(at) = call.number("at") {
        control.now = clock::Instant::default() + Duration::from_millis(at);
    }
    match call.case.directive.as_str() {
        "server" => change_servers(control, call),
        "lose" => call
            .servers()
            .iter()
            .for_each(|number| control.lose_server(*number)),
        "load" => report_load(control, call),
        "pin" => control.planner.pin_changed(&pin::Pin {
            service: control::SERVICE,
            range: range::Range {
                first: call.hash("first"),
                last: call.hash("last"),
            },
            server: id::Server(call.number("to").expect("a server") as u32),
        }),
        "plan" => {
            let actions = control.plan();
            let lines: Vec<_> = actions.iter().map(ToString::to_string).collect();
            if lines.is_empty() {
                return "none\n".into();
            }
            return lines.join("\n") + "\n";
        }
        "finish" => control.finish_all(),
        "fail" => {
            for action in std::mem::take(&mut control.running) {
                control.planner.action_failed(control.now, &action);
            }
        }
        "settle" => {
            // Rounds of 100 ms; the actions of each are executed before the next.
            for _ in 0..call.number("rounds").expect("a number of rounds") {
                control.now = control.now + Duration::from_millis(100);
                control.plan();
                control.finish_all();
            }
        }
        "summary" => {}
        name => panic!("unknown directive {name}"),
    }
    control.summary() + "\n"
}

#[test]
fn decisions_match_the_scenario_files() {
    datadriven::walk("tests/scenarios", |file| {
        let mut control = control::Control::new(config::Config::default(), 1);
        file.run(|case| {
            let call = Call { case };
            if case.directive == "new" {
                let slices = call.number("slices").expect("a number of slices");
                control = control::Control::new(call.config(), slices as u32);
                return control.summary() + "\n";
            }
            execute(&mut control, &call)
        });
    });
}
