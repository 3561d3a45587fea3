//! Implementations of the commands.

mod drain;
mod explain;
mod logs;
mod settings;
mod status;
mod ticket;

use std::io;

use clap::CommandFactory as _;
use error_stack::Report;

use crate::{client, command, failure, output};

/// Runs the command in `line`; a ticket file named `-` is read from `stdin`.
pub(crate) async fn command<I, N>(
    line: &command::Line,
    stdin: &mut I,
    notices: &mut N,
) -> Result<output::Output, Report<failure::Failure>>
where
    I: io::Read,
    N: client::Notice,
{
    let common = &line.common;
    match &line.command {
        command::Command::Ticket(command) => ticket::run(common, command, stdin, notices).await,
        command::Command::Status => status::run(&mut connect(common, notices)?).await,
        command::Command::Explain(key) => explain::run(&mut connect(common, notices)?, key).await,
        command::Command::Drain(drain) => drain::run(&mut connect(common, notices)?, drain).await,
        command::Command::Settings(command) => settings::run(command),
        command::Command::Logs(command) => logs::run(command),
        command::Command::Completion { shell } => Ok(completion(*shell)),
    }
}

fn connect<'a, N>(
    common: &'a command::Common,
    notices: &'a mut N,
) -> Result<client::Client<'a, N>, Report<failure::Failure>>
where
    N: client::Notice,
{
    client::Client::new(
        &common.control,
        common.timeout(),
        common.max_wait(),
        notices,
    )
}

fn completion(shell: clap_complete::Shell) -> output::Output {
    let mut script = Vec::new();
    let mut line = command::Line::command();
    clap_complete::generate(shell, &mut line, "sequoiayoke", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    let document = serde_json::json!({ "script": script });
    output::Output::new(script, &document)
}
