//! Scenarios of grants and revocations that arrive late or out of order.

use std::fmt::Write as _;

use sequoiayoke_emulator::standin::coordinator::grants;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

fn hash(text: &str) -> key::Hash {
    key::Hash(u64::from_str_radix(text, 16).unwrap())
}

fn run(grants: &mut grants::Grants, line: &str) -> String {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    let range = || range::Range {
        first: hash(arguments[1]),
        last: hash(arguments[2]),
    };
    let epoch = |text: &str| id::Epoch(text.parse().unwrap());
    match arguments[0] {
        "grant" => format!("{:?}", grants.grant("s", range(), epoch(arguments[3]))),
        "revoke" => format!("{:?}", grants.revoke("s", range(), epoch(arguments[3]))),
        "prepare" => format!("{:?}", grants.prepare("s", range())),
        "admits" => grants
            .admits("s", hash(arguments[1]), epoch(arguments[2]))
            .to_string(),
        "prepared" => grants.is_prepared("s", hash(arguments[1])).to_string(),
        "epoch" => format!("{:?}", grants.epoch("s", hash(arguments[1]))),
        command => panic!("unknown command {command}"),
    }
}

/// Guards against late or repeated commands that restore the ownership of a revoked range.
#[test]
fn late_and_repeated_commands_do_not_restore_revoked_ranges() {
    datadriven::walk("tests/standin/grants", |file| {
        let mut grants = grants::Grants::default();
        file.run(|case| {
            let mut output = String::new();
            for line in case.input.lines() {
                let result = run(&mut grants, line);
                writeln!(output, "{line}: {result}").unwrap();
            }
            output
        });
    });
}
