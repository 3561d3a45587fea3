//! The commands.

mod drain;
mod explain;
mod logs;
mod settings;
mod status;
mod ticket;

use std::io;

use clap::CommandFactory as _;
use error_stack::Report;

use crate::{answer, client, command, failure};

/// Carries out `line`; a ticket named `-` is read from `input`.
pub(crate) async fn command<I, N>(
    line: &command::Line,
    input: &mut I,
    notices: &mut N,
) -> Result<answer::Answer, Report<failure::Failure>>
where
    I: io::Read,
    N: client::Notice,
{
    let common = &line.common;
    match &line.command {
        command::Command::Ticket(command) => ticket::run(common, command, input, notices).await,
        command::Command::Status => status::run(&mut connect(common, notices)?).await,
        command::Command::Explain(key) => explain::run(&mut connect(common, notices)?, key).await,
        command::Command::Drain(server) => drain::run(&mut connect(common, notices)?, server).await,
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
    client::Client::new(&common.control, common.timeout(), common.wait(), notices)
}

fn completion(shell: clap_complete::Shell) -> answer::Answer {
    let mut script = Vec::new();
    let mut line = command::Line::command();
    clap_complete::generate(shell, &mut line, "sequoiayoke", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    let document = serde_json::json!({ "script": script });
    answer::Answer::new(script, &document)
}
