//! The command `status`.

use error_stack::Report;
use sequoiayoke_api::{path, status, ticket};

use crate::{client, failure, output, table};

/// Remaining lease below which a server needs attention, in milliseconds.
///
/// A healthy node renews its lease of 735 ms every 150 ms, so that a lower value means
/// that at least two consecutive renewals were lost.
const LOW_LEASE_MS: u64 = 300;

/// Imbalance above which a service needs attention.
const HIGH_IMBALANCE: f64 = 1.5;

pub(crate) async fn run<N>(
    client: &mut client::Client<'_, N>,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let status: status::Status = client.call(&client::Request::get(path::STATUS)).await?;
    Ok(output::Output::new(render(&status), &status))
}

fn render(status: &status::Status) -> String {
    let mut text = format!(
        "region {}, leader {}, term {}, committed {}, version {}, next ticket {}\n",
        status.region,
        status.leader.as_deref().unwrap_or("none"),
        status.term,
        status.commit,
        status.version.0,
        status.next_ticket.0
    );
    let problems = problems(status);
    if problems.is_empty() {
        text.push_str("nothing needs attention\n");
    } else {
        text.push_str("\nNEEDS ATTENTION\n");
        for line in problems {
            text.push_str(&format!("  {line}\n"));
        }
    }
    text.push_str(&format!("\n{}", services(status)));
    text.push_str(&format!("\n{}", servers(status)));
    text.push_str(&format!("\n{}", replicas(status)));
    text
}

fn problems(status: &status::Status) -> Vec<String> {
    let mut lines = Vec::new();
    if status.leader.is_none() {
        lines.push("the control plane has no leader".to_owned());
    }
    for service in &status.services {
        let name = &service.name;
        if service.vacant > 0 {
            let (vacant, slices) = (service.vacant, service.slices);
            lines.push(format!(
                "service {name}: {vacant} of {slices} slices have no owner"
            ));
        }
        if service.imbalance > HIGH_IMBALANCE {
            let imbalance = service.imbalance;
            lines.push(format!(
                "service {name}: its busiest server has {imbalance:.2} times the mean load"
            ));
        }
    }
    for server in &status.servers {
        let (name, left_ms) = (&server.name, server.lease_left_ms);
        if left_ms < LOW_LEASE_MS {
            lines.push(format!("server {name}: its lease ends in {left_ms} ms"));
        }
        if server.state == ticket::State::Draining && server.slices > 0 {
            let slices = server.slices;
            lines.push(format!(
                "server {name}: draining, {slices} slices left to move"
            ));
        }
    }
    for replica in status.replicas.iter().filter(|replica| !replica.voting) {
        lines.push(format!("replica {}: does not vote", replica.name));
    }
    lines
}

fn services(status: &status::Status) -> String {
    let mut table = table::Table::new(["SERVICE", "SLICES", "VACANT", "IMBALANCE"]);
    for service in &status.services {
        table.push([
            service.name.clone(),
            service.slices.to_string(),
            service.vacant.to_string(),
            format!("{:.2}", service.imbalance),
        ]);
    }
    table.render(0)
}

fn servers(status: &status::Status) -> String {
    let mut table = table::Table::new([
        "SERVER",
        "STATE",
        "SLICES",
        "LEASE LEFT",
        "VERSION",
        "FAILURE DOMAIN",
        "INCARNATION",
        "SERVICES",
    ]);
    for server in &status.servers {
        table.push([
            server.name.clone(),
            server.state.to_string(),
            server.slices.to_string(),
            format!("{} ms", server.lease_left_ms),
            server.version.0.to_string(),
            server.failure_domain.clone(),
            server.incarnation.0.to_string(),
            server.services.join(", "),
        ]);
    }
    table.render(0)
}

fn replicas(status: &status::Status) -> String {
    let mut table = table::Table::new(["REPLICA", "ROLE", "ADDRESS", "MATCHED"]);
    for replica in &status.replicas {
        let role = match (&status.leader, replica.voting) {
            (Some(leader), _) if *leader == replica.name => "leader",
            (_, true) => "follower",
            (_, false) => "not voting",
        };
        table.push([
            replica.name.clone(),
            role.to_owned(),
            replica.address.clone(),
            replica.matched.to_string(),
        ]);
    }
    table.render(0)
}
