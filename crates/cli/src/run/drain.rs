//! The command `drain`.

use error_stack::Report;
use sequoiayoke_api::{path, status, ticket};

use crate::{client, command, exit, failure, output};

pub(crate) async fn run<N>(
    client: &mut client::Client<'_, N>,
    drain: &command::Drain,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let status: status::Status = client.call(&client::Request::get(path::STATUS)).await?;
    let server = find_server(&status, &drain.server)?;
    if server.state == ticket::State::Draining {
        let name = &server.name;
        let human = format!(
            "{name} is draining already, {} slices left to move\n",
            server.slices
        );
        let document =
            serde_json::json!({ "server": name, "state": "draining", "slices": server.slices });
        return Ok(output::Output::new(human, &document));
    }
    check_not_last(&status, server, drain)?;
    let ticket = ticket::Ticket {
        number: status.next_ticket,
        objects: vec![ticket::Object::Server(ticket::Server {
            name: server.name.clone(),
            state: ticket::State::Draining,
        })],
    };
    if drain.submit {
        return super::ticket::submit(client, &ticket).await;
    }
    let human = format!(
        "// Drains {}.\n{}\n",
        server.name,
        super::ticket::pretty_json(&ticket)
    );
    Ok(output::Output::new(human, &ticket))
}

fn find_server<'a>(
    status: &'a status::Status,
    name: &str,
) -> Result<&'a status::Server, Report<failure::Failure>> {
    let server = status.servers.iter().find(|server| server.name == name);
    server.ok_or_else(|| {
        let names: Vec<_> = status
            .servers
            .iter()
            .map(|server| server.name.as_str())
            .collect();
        let advice = match names.as_slice() {
            [] => "no backend server is currently connected".to_owned(),
            names => format!("connected servers: {}", names.join(", ")),
        };
        let message = format!("no server `{name}` is connected");
        Report::new(failure::Failure::new(exit::Code::Refused, message).with_advice(advice))
    })
}

/// Refuses to drain the last serving server of a service, which would leave its keys without an owner.
fn check_not_last(
    status: &status::Status,
    server: &status::Server,
    drain: &command::Drain,
) -> Result<(), Report<failure::Failure>> {
    let is_served_elsewhere = |service: &String| {
        status.servers.iter().any(|other| {
            other.name != server.name
                && other.state == ticket::State::Serving
                && other.services.contains(service)
        })
    };
    let last_served = server
        .services
        .iter()
        .find(|service| !is_served_elsewhere(service));
    match last_served {
        Some(service) if !drain.even_if_last => {
            let message = format!("{} is the last serving server of `{service}`", server.name);
            Err(Report::new(
                failure::Failure::new(exit::Code::Refused, message).with_advice(
                    "start another one first, or use `--even-if-last`; its keys then have no owner",
                ),
            ))
        }
        _ => Ok(()),
    }
}
