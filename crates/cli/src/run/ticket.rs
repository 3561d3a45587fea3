//! The commands `ticket submit`, `ticket check`, `ticket list` and `ticket show`.

use std::fs;
use std::io::{self, Read as _};
use std::path;

use error_stack::Report;
use sequoiayoke_api::path as api_path;
use sequoiayoke_api::{accepted, check, error as api_error, list, ticket};

use crate::{client, command, difference, exit, failure, output, table};

/// Maximum number of objects of a ticket that a list names; further ones are counted.
const MAX_NAMED_OBJECTS: usize = 3;

pub(crate) async fn run<I, N>(
    common: &command::Common,
    command: &command::Ticket,
    stdin: &mut I,
    notices: &mut N,
) -> Result<output::Output, Report<failure::Failure>>
where
    I: io::Read,
    N: client::Notice,
{
    match command {
        command::Ticket::Submit(file) => {
            let ticket = read_ticket(&file.file, stdin)?;
            submit(&mut super::connect(common, notices)?, &ticket).await
        }
        command::Ticket::Check(file) => {
            let ticket = read_ticket(&file.file, stdin)?;
            check(&mut super::connect(common, notices)?, &ticket).await
        }
        command::Ticket::List => list(&mut super::connect(common, notices)?).await,
        command::Ticket::Show { number } => {
            show(&mut super::connect(common, notices)?, *number).await
        }
    }
}

/// Reads and checks a ticket, so that a malformed one is not sent.
fn read_ticket<I>(
    file: &path::Path,
    stdin: &mut I,
) -> Result<ticket::Ticket, Report<failure::Failure>>
where
    I: io::Read,
{
    let mut text = Vec::new();
    let limit = ticket::MAX_BYTES as u64 + 1;
    let (name, outcome) = if file == path::Path::new("-") {
        let outcome = stdin.take(limit).read_to_end(&mut text);
        ("standard input".to_owned(), outcome)
    } else {
        let outcome = fs::File::open(file).and_then(|file| file.take(limit).read_to_end(&mut text));
        (file.display().to_string(), outcome)
    };
    outcome.map_err(|error| malformed_input(format!("{name}: cannot read the ticket: {error}")))?;
    ticket::parse(&text).map_err(|malformed| {
        let message = match &malformed {
            ticket::Malformed::Parse(error) => format!("{name}:{error}"),
            ticket::Malformed::TooLarge(_) => {
                format!("{name}: more than {} bytes", ticket::MAX_BYTES)
            }
            ticket::Malformed::Invalid(problems) => {
                let lines: String = problems
                    .iter()
                    .map(|problem| format!("\n  {problem}"))
                    .collect();
                format!("{name}: the ticket has invalid values:{lines}")
            }
        };
        malformed_input(message)
    })
}

fn malformed_input(message: String) -> Report<failure::Failure> {
    let failure = failure::Failure::new(exit::Code::Usage, message);
    Report::new(
        failure.with_advice("nothing was sent; correct the ticket and run the command again"),
    )
}

/// Submits `ticket`, and retries until the outcome is known or the time limit is reached.
pub(crate) async fn submit<N>(
    client: &mut client::Client<'_, N>,
    ticket: &ticket::Ticket,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let request = client::Request::submit(api_path::TICKETS, serialize(ticket));
    let accepted: accepted::Accepted = client
        .call(&request)
        .await
        .map_err(|report| with_hint(report, ticket))?;
    let status = if accepted.repeated {
        "had been accepted before"
    } else {
        "is accepted"
    };
    let number = accepted.number.0;
    let mut human = format!(
        "ticket {number} {status} (version {})\n{}\n",
        accepted.version.0,
        describe_force(&accepted.in_force)
    );
    if !accepted.in_force.complete {
        human.push_str(&format!(
            "`sequoiayoke ticket show {number}` shows when it is in force everywhere\n"
        ));
    }
    Ok(output::Output::new(human, &accepted))
}

/// Adds a hint on what to do next to a refusal of `ticket`.
fn with_hint(
    report: Report<failure::Failure>,
    ticket: &ticket::Ticket,
) -> Report<failure::Failure> {
    let number = ticket.number.0;
    let code = report.current_context().code();
    let (message, advice) = match report.current_context().refusal() {
        Some(api_error::Error::NumberOutOfOrder { next }) if code == exit::Code::Unknown => (
            format!(
                "the next ticket has number {}, not {number}, but an earlier attempt to submit yours may still be in progress",
                next.0
            ),
            "submit nothing else with its number before `sequoiayoke ticket show` shows whether it was accepted",
        ),
        Some(api_error::Error::NumberTaken { holder, .. }) => (
            format!(
                "number {number} is taken by another ticket:\n{}",
                pretty_json(holder)
            ),
            "check your ticket against what is in force now with `sequoiayoke ticket check`, which also shows the next number",
        ),
        Some(api_error::Error::NumberOutOfOrder { next }) => (
            format!("the next ticket has number {}, not {number}", next.0),
            "check the ticket with `sequoiayoke ticket check` and submit it with the next number if it is still right",
        ),
        Some(api_error::Error::Malformed { detail }) => (
            format!("the control plane refused the ticket: {detail}"),
            "correct the ticket and submit it again",
        ),
        _ => return report,
    };
    let mut failure = failure::Failure::new(code, message).with_advice(advice);
    if let Some(refusal) = report.current_context().refusal() {
        failure = failure.with_refusal(refusal.clone());
    }
    report.change_context(failure)
}

async fn check<N>(
    client: &mut client::Client<'_, N>,
    ticket: &ticket::Ticket,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let request = client::Request::query(api_path::CHECK, serialize(ticket));
    let check: check::Check = client
        .call(&request)
        .await
        .map_err(|report| with_hint(report, ticket))?;
    let mut human = format!("ticket {}, next number {}\n", ticket.number.0, check.next.0);
    human.push_str("\nchanges against what is in force:\n");
    for change in &check.changes {
        human.push_str(&difference::render(change));
    }
    if check.changes.is_empty() {
        human.push_str("  none\n");
    }
    if check.problems.is_empty() {
        human.push_str("\nno problems: the ticket would be accepted\n");
        return Ok(output::Output::new(human, &check));
    }
    human.push_str("\nthe ticket would be refused:\n");
    for problem in &check.problems {
        human.push_str(&format!("  {problem}\n"));
    }
    Ok(output::Output::new(human, &check).with_code(exit::Code::Refused))
}

async fn list<N>(
    client: &mut client::Client<'_, N>,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let list: list::List = client
        .call(&client::Request::get(api_path::TICKETS))
        .await?;
    let mut table = table::Table::new(["TICKET", "VERSION", "IN FORCE", "OBJECTS"]);
    for entry in &list.tickets {
        let complete = if entry.in_force.complete {
            "yes"
        } else {
            "not yet"
        };
        let (confirmed, live) = (entry.in_force.confirmed, entry.in_force.live);
        table.push([
            entry.number.0.to_string(),
            entry.version.0.to_string(),
            format!("{complete} ({confirmed} of {live} nodes)"),
            object_names(&entry.objects),
        ]);
    }
    let human = format!("{}\nnext ticket: {}\n", table.render(0), list.next.0);
    Ok(output::Output::new(human, &list))
}

async fn show<N>(
    client: &mut client::Client<'_, N>,
    number: u64,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let request = client::Request::get(format!("{}/{number}", api_path::TICKETS));
    let entry: list::Entry =
        client
            .call(&request)
            .await
            .map_err(|report| match report.current_context().refusal() {
                Some(api_error::Error::NotFound { .. }) => {
                    let message = format!("no ticket {number} was accepted");
                    let failure = failure::Failure::new(exit::Code::Refused, message);
                    report.change_context(
                        failure.with_advice("`sequoiayoke ticket list` shows the accepted ones"),
                    )
                }
                _ => report,
            })?;
    let ticket = ticket::Ticket {
        number: entry.number,
        objects: entry.objects.clone(),
    };
    let human = format!(
        "// Accepted (version {}), {}.\n{}\n",
        entry.version.0,
        describe_force(&entry.in_force),
        pretty_json(&ticket)
    );
    Ok(output::Output::new(human, &entry))
}

fn serialize(ticket: &ticket::Ticket) -> Vec<u8> {
    serde_json::to_vec(ticket).expect("a parsed ticket has text keys and finite numbers only")
}

/// Returns a ticket as indented JSON that can be submitted.
pub(crate) fn pretty_json(ticket: &ticket::Ticket) -> String {
    serde_json::to_string_pretty(ticket)
        .expect("a parsed ticket has text keys and finite numbers only")
}

fn describe_force(force: &accepted::Rollout) -> String {
    let (confirmed, live) = (force.confirmed, force.live);
    match force.complete {
        true => format!("in force everywhere ({live} live nodes)"),
        false => format!("in force on {confirmed} of {live} live nodes"),
    }
}

fn object_names(objects: &[ticket::Object]) -> String {
    let named = objects.iter().take(MAX_NAMED_OBJECTS);
    let mut names: Vec<_> = named.map(ticket::Object::identity).collect();
    if objects.len() > MAX_NAMED_OBJECTS {
        names.push(format!("{} more", objects.len() - MAX_NAMED_OBJECTS));
    }
    names.join(", ")
}
