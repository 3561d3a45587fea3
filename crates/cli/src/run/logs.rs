//! The command `logs why`.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path;

use error_stack::Report;

use crate::{command, diagnosis, exit, failure, output};

pub(crate) fn run(command: &command::Logs) -> Result<output::Output, Report<failure::Failure>> {
    let command::Logs::Why { id, files } = command;
    let mut lines = Vec::new();
    for file in files {
        read_lines(file, &mut lines)?;
    }
    let Some(diagnosis) = diagnosis::Diagnosis::new(&lines, id) else {
        let message = format!(
            "no line of {} names the request {id}",
            describe_files(files.len())
        );
        let advice = "collect the logs of all nodes; lines about requests are bounded, and \
                      successes in time are not logged";
        let failure = failure::Failure::new(exit::Code::Refused, message);
        return Err(Report::new(failure.with_advice(advice)));
    };
    let document = serde_json::json!({
        "id": id,
        "lines": diagnosis.lines.len(),
        "beliefs": diagnosis.state_changes.len(),
        "cause": diagnosis.cause,
    });
    Ok(output::Output::new(diagnosis.render(), &document))
}

fn describe_files(files: usize) -> String {
    match files {
        1 => "the file".to_owned(),
        files => format!("the {files} files"),
    }
}

fn read_lines(
    file: &path::Path,
    lines: &mut Vec<diagnosis::Line>,
) -> Result<(), Report<failure::Failure>> {
    let into_failure = |error| {
        let message = format!("{}: {error}", file.display());
        Report::new(failure::Failure::new(exit::Code::Usage, message))
    };
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let open_file = fs::File::open(file).map_err(into_failure)?;
    for line in BufReader::new(open_file).split(b'\n') {
        let line = line.map_err(into_failure)?;
        let text = String::from_utf8_lossy(&line);
        lines.extend(diagnosis::Line::parse(&name, &text));
    }
    Ok(())
}
