//! The command `explain`.

use error_stack::Report;
use sequoiayoke_api::{error, explanation, path};

use crate::{client, command, exit, failure, output, table};

pub(crate) async fn run<N>(
    client: &mut client::Client<'_, N>,
    key: &command::Explain,
) -> Result<output::Output, Report<failure::Failure>>
where
    N: client::Notice,
{
    let mut target = format!(
        "{}/{}/{}",
        path::EXPLAIN,
        encode_segment("service", &key.service)?,
        encode_segment("key", &key.key)?
    );
    if !key.scope.is_empty() {
        target.push_str(&format!("?scope={}", percent_encode(&key.scope)));
    }
    let explanation: explanation::Explanation = client
        .call(&client::Request::get(target))
        .await
        .map_err(|report| with_service_hint(report, &key.service))?;
    Ok(output::Output::new(render(&explanation), &explanation))
}

fn render(explanation: &explanation::Explanation) -> String {
    let owner = match &explanation.holder {
        None => "none, the slice is vacant".to_owned(),
        Some(holder) => format!(
            "{} (incarnation {}, epoch {})",
            holder.server, holder.incarnation.0, holder.epoch.0
        ),
    };
    let mut fields = table::Table::without_heading();
    fields.push(["service".to_owned(), explanation.service.clone()]);
    fields.push(["key".to_owned(), explanation.key.clone()]);
    fields.push(["owner".to_owned(), owner]);
    fields.push(["hash".to_owned(), explanation.hash.clone()]);
    let slice = format!("{} to {}", explanation.first, explanation.last);
    fields.push(["slice".to_owned(), slice]);

    let mut history = table::Table::new(["VERSION", "CAUSE"]);
    for event in &explanation.history {
        history.push([event.version.0.to_string(), event.cause.clone()]);
    }
    format!("{}\n{}", fields.render(0), history.render(0))
}

/// Turns "not found" into a failure that names the service.
fn with_service_hint(report: Report<failure::Failure>, service: &str) -> Report<failure::Failure> {
    if !matches!(
        report.current_context().refusal(),
        Some(error::Error::NotFound { .. })
    ) {
        return report;
    }
    let message = format!("no service `{service}` exists");
    report.change_context(
        failure::Failure::new(exit::Code::Refused, message)
            .with_advice("`sequoiayoke status` lists the services"),
    )
}

/// Encodes a path segment of a URL.
fn encode_segment(parameter: &str, text: &str) -> Result<String, Report<failure::Failure>> {
    // URL parsers remove dot segments even if they are encoded.
    let problem = match text {
        "" => "is empty",
        "." | ".." => "cannot be part of a URL",
        _ => return Ok(percent_encode(text)),
    };
    Err(Report::new(failure::Failure::new(
        exit::Code::Usage,
        format!("the {parameter} {text:?} {problem}"),
    )))
}

fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| match is_unreserved(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
