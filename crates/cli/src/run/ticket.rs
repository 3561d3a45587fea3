//! `ticket submit`, `check`, `list` and `show`.

use std::fs;
use std::io::{self, Read as _};
use std::path;

use error_stack::Report;
use sequoiayoke_api::path as api_path;
use sequoiayoke_api::{accepted, check, error as api_error, list, ticket};

use crate::{answer, client, command, difference, exit, failure, table};

/// Objects that a list names before it only counts the rest.
const NAMED_OBJECTS: usize = 3;

pub(crate) async fn run<I, N>(
    common: &command::Common,
    command: &command::Ticket,
    input: &mut I,
    notices: &mut N,
) -> Result<answer::Answer, Report<failure::Failure>>
where
    I: io::Read,
    N: client::Notice,
{
    match command {
        command::Ticket::Submit(file) => {
            let ticket = read(&file.file, input)?;
            submit(&mut super::connect(common, notices)?, &ticket).await
        }
        command::Ticket::Check(file) => {
            let ticket = read(&file.file, input)?;
            check(&mut super::connect(common, notices)?, &ticket).await
        }
        command::Ticket::List => list(&mut super::connect(common, notices)?).await,
        command::Ticket::Show { number } => {
            show(&mut super::connect(common, notices)?, *number).await
        }
    }
}

/// Reads and checks a ticket, so that a malformed one is not even sent.
fn read<I>(file: &path::Path, input: &mut I) -> Result<ticket::Ticket, Report<failure::Failure>>
where
    I: io::Read,
{
    let mut text = Vec::new();
    let limit = ticket::MAX_BYTES as u64 + 1;
    let (shown, outcome) = if file == path::Path::new("-") {
        let outcome = input.take(limit).read_to_end(&mut text);
        ("standard input".to_owned(), outcome)
    } else {
        let outcome = fs::File::open(file).and_then(|file| file.take(limit).read_to_end(&mut text));
        (file.display().to_string(), outcome)
    };
    outcome.map_err(|error| usage(format!("{shown}: cannot read the ticket: {error}")))?;
    ticket::parse(&text).map_err(|malformed| {
        let what = match &malformed {
            ticket::Malformed::Parse(fault) => format!("{shown}:{fault}"),
            ticket::Malformed::TooLarge(_) => {
                format!("{shown}: more than {} bytes", ticket::MAX_BYTES)
            }
            ticket::Malformed::Invalid(problems) => {
                let lines: String = problems.iter().map(|one| format!("\n  {one}")).collect();
                format!("{shown}: the ticket has wrong values:{lines}")
            }
        };
        usage(what)
    })
}

fn usage(what: String) -> Report<failure::Failure> {
    let failure = failure::Failure::new(exit::Code::Usage, what);
    Report::new(
        failure.with_advice("nothing was sent; correct the ticket and run the command again"),
    )
}

/// Sends `ticket` until its fate is known or the time is over.
pub(crate) async fn submit<N>(
    client: &mut client::Client<'_, N>,
    ticket: &ticket::Ticket,
) -> Result<answer::Answer, Report<failure::Failure>>
where
    N: client::Notice,
{
    let request = client::Request::submit(api_path::TICKETS, body(ticket));
    let accepted: accepted::Accepted = client
        .call(&request)
        .await
        .map_err(|report| refused(report, ticket))?;
    let word = if accepted.repeated {
        "had been accepted before"
    } else {
        "is accepted"
    };
    let number = accepted.number.0;
    let mut human = format!(
        "ticket {number} {word} (version {})\n{}\n",
        accepted.version.0,
        force(&accepted.in_force)
    );
    if !accepted.in_force.complete {
        human.push_str(&format!(
            "`sequoiayoke ticket show {number}` shows when it is in force everywhere\n"
        ));
    }
    Ok(answer::Answer::new(human, &accepted))
}

/// Adds what to do next to a refusal of `ticket`.
fn refused(report: Report<failure::Failure>, ticket: &ticket::Ticket) -> Report<failure::Failure> {
    let number = ticket.number.0;
    let code = report.current_context().code();
    let (what, advice) = match report.current_context().answer() {
        Some(api_error::Error::NumberOutOfOrder { next }) if code == exit::Code::Unknown => (
            format!(
                "the next ticket has number {}, not {number}, but an earlier copy of yours may still be under way",
                next.0
            ),
            "submit nothing else with its number before `sequoiayoke ticket show` tells whether it was accepted",
        ),
        Some(api_error::Error::NumberTaken { holder, .. }) => (
            format!(
                "number {number} is taken by another ticket:\n{}",
                pretty(holder)
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
    let mut failure = failure::Failure::new(code, what).with_advice(advice);
    if let Some(answer) = report.current_context().answer() {
        failure = failure.with_answer(answer.clone());
    }
    report.change_context(failure)
}

async fn check<N>(
    client: &mut client::Client<'_, N>,
    ticket: &ticket::Ticket,
) -> Result<answer::Answer, Report<failure::Failure>>
where
    N: client::Notice,
{
    let request = client::Request::ask(api_path::CHECK, body(ticket));
    let check: check::Check = client
        .call(&request)
        .await
        .map_err(|report| refused(report, ticket))?;
    let mut human = format!("ticket {}, next number {}\n", ticket.number.0, check.next.0);
    human.push_str("\nchanges against what is in force:\n");
    for change in &check.changes {
        human.push_str(&difference::text(change));
    }
    if check.changes.is_empty() {
        human.push_str("  none\n");
    }
    if check.problems.is_empty() {
        human.push_str("\nno problems: the ticket would be accepted\n");
        return Ok(answer::Answer::new(human, &check));
    }
    human.push_str("\nthe ticket would be refused:\n");
    for problem in &check.problems {
        human.push_str(&format!("  {problem}\n"));
    }
    Ok(answer::Answer::new(human, &check).with_code(exit::Code::Refused))
}

async fn list<N>(
    client: &mut client::Client<'_, N>,
) -> Result<answer::Answer, Report<failure::Failure>>
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
        table.row([
            entry.number.0.to_string(),
            entry.version.0.to_string(),
            format!("{complete} ({confirmed} of {live} nodes)"),
            names(&entry.objects),
        ]);
    }
    let human = format!("{}\nnext ticket: {}\n", table.text(0), list.next.0);
    Ok(answer::Answer::new(human, &list))
}

async fn show<N>(
    client: &mut client::Client<'_, N>,
    number: u64,
) -> Result<answer::Answer, Report<failure::Failure>>
where
    N: client::Notice,
{
    let request = client::Request::get(format!("{}/{number}", api_path::TICKETS));
    let entry: list::Entry =
        client
            .call(&request)
            .await
            .map_err(|report| match report.current_context().answer() {
                Some(api_error::Error::NotFound { .. }) => {
                    let what = format!("no ticket {number} was accepted");
                    let failure = failure::Failure::new(exit::Code::Refused, what);
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
        force(&entry.in_force),
        pretty(&ticket)
    );
    Ok(answer::Answer::new(human, &entry))
}

fn body(ticket: &ticket::Ticket) -> Vec<u8> {
    serde_json::to_vec(ticket).expect("a parsed ticket has text keys and finite numbers only")
}

/// Returns a ticket as text that can be submitted.
pub(crate) fn pretty(ticket: &ticket::Ticket) -> String {
    serde_json::to_string_pretty(ticket)
        .expect("a parsed ticket has text keys and finite numbers only")
}

fn force(force: &accepted::Rollout) -> String {
    let (confirmed, live) = (force.confirmed, force.live);
    match force.complete {
        true => format!("in force everywhere ({live} live nodes)"),
        false => format!("in force on {confirmed} of {live} live nodes"),
    }
}

fn names(objects: &[ticket::Object]) -> String {
    let named = objects.iter().take(NAMED_OBJECTS);
    let mut names: Vec<_> = named.map(ticket::Object::identity).collect();
    if objects.len() > NAMED_OBJECTS {
        names.push(format!("{} more", objects.len() - NAMED_OBJECTS));
    }
    names.join(", ")
}
