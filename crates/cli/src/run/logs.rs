//! `logs why`.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path;

use error_stack::Report;

use crate::{answer, command, exit, failure, diagnosis};

pub(crate) fn run(command: &command::Logs) -> Result<answer::Answer, Report<failure::Failure>> {
    let command::Logs::Why { id, files } = command;
    let mut lines = Vec::new();
    for file in files {
        read(file, &mut lines)?;
    }
    let Some(diagnosis) = diagnosis::Diagnosis::new(&lines, id) else {
        let what = format!("no line of {} names the request {id}", count(files.len()));
        let advice = "collect the logs of all nodes; lines about requests are bounded, and \
                      successes in time are not logged";
        let failure = failure::Failure::new(exit::Code::Refused, what);
        return Err(Report::new(failure.with_advice(advice)));
    };
    let document = serde_json::json!({
        "id": id,
        "lines": diagnosis.lines.len(),
        "beliefs": diagnosis.state_changes.len(),
        "cause": diagnosis.cause,
    });
    Ok(answer::Answer::new(diagnosis.show(), &document))
}

fn count(files: usize) -> String {
    match files {
        1 => "the file".to_owned(),
        files => format!("the {files} files"),
    }
}

fn read(file: &path::Path, lines: &mut Vec<diagnosis::Line>) -> Result<(), Report<failure::Failure>> {
    let failed = |error| {
        let what = format!("{}: {error}", file.display());
        Report::new(failure::Failure::new(exit::Code::Usage, what))
    };
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let opened = fs::File::open(file).map_err(failed)?;
    for line in BufReader::new(opened).split(b'\n') {
        let line = line.map_err(failed)?;
        let text = String::from_utf8_lossy(&line);
        lines.extend(diagnosis::Line::parse(&name, &text));
    }
    Ok(())
}
