//! Scripted scenarios of grants and revocations that arrive late or out of order.

use std::fmt::Write as _;

use sequoiayoke_emulator::standin::coordinator::grants;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

fn hash(text: &str) -> key::Hash {
    key::Hash(u64::from_str_radix(text, 16).unwrap())
}

fn run(grants: &mut grants::Grants, line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let range = || range::Range {
        first: hash(words[1]),
        last: hash(words[2]),
    };
    let epoch = |text: &str| id::Epoch(text.parse().unwrap());
    match words[0] {
        "grant" => format!("{:?}", grants.grant("s", range(), epoch(words[3]))),
        "revoke" => format!("{:?}", grants.revoke("s", range(), epoch(words[3]))),
        "prepare" => format!("{:?}", grants.prepare("s", range())),
        "admits" => grants
            .admits("s", hash(words[1]), epoch(words[2]))
            .to_string(),
        "prepared" => grants.is_prepared("s", hash(words[1])).to_string(),
        "epoch" => format!("{:?}", grants.epoch("s", hash(words[1]))),
        other => panic!("no command {other}"),
    }
}

/// Guards against late or doubled commands bringing back what was given up.
#[test]
fn commands_out_of_order() {
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
