//! `explain`.

use error_stack::Report;
use sequoiayoke_api::{error, explanation, path};

use crate::{answer, client, command, exit, failure, table};

pub(crate) async fn run<N>(
    client: &mut client::Client<'_, N>,
    key: &command::Explain,
) -> Result<answer::Answer, Report<failure::Failure>>
where
    N: client::Notice,
{
    let mut target = format!(
        "{}/{}/{}",
        path::EXPLAIN,
        segment("service", &key.service)?,
        segment("key", &key.key)?
    );
    if !key.scope.is_empty() {
        target.push_str(&format!("?scope={}", encoded(&key.scope)));
    }
    let explanation: explanation::Explanation = client
        .call(&client::Request::get(target))
        .await
        .map_err(|report| explained(report, &key.service))?;
    Ok(answer::Answer::new(text(&explanation), &explanation))
}

fn text(explanation: &explanation::Explanation) -> String {
    let owner = match &explanation.holder {
        None => "none, the slice is vacant".to_owned(),
        Some(holder) => format!(
            "{} (incarnation {}, epoch {})",
            holder.server, holder.incarnation.0, holder.epoch.0
        ),
    };
    let mut fields = table::Table::plain();
    fields.row(["service".to_owned(), explanation.service.clone()]);
    fields.row(["key".to_owned(), explanation.key.clone()]);
    fields.row(["owner".to_owned(), owner]);
    fields.row(["hash".to_owned(), explanation.hash.clone()]);
    let slice = format!("{} to {}", explanation.first, explanation.last);
    fields.row(["slice".to_owned(), slice]);

    let mut history = table::Table::new(["VERSION", "CAUSE"]);
    for event in &explanation.history {
        history.row([event.version.0.to_string(), event.cause.clone()]);
    }
    format!("{}\n{}", fields.text(0), history.text(0))
}

fn explained(report: Report<failure::Failure>, service: &str) -> Report<failure::Failure> {
    if !matches!(
        report.current_context().answer(),
        Some(error::Error::NotFound { .. })
    ) {
        return report;
    }
    let what = format!("no service `{service}` exists");
    report.change_context(
        failure::Failure::new(exit::Code::Refused, what)
            .with_advice("`sequoiayoke status` lists the services"),
    )
}

/// Encodes a segment of a path.
fn segment(what: &str, text: &str) -> Result<String, Report<failure::Failure>> {
    // URLs drop segments of dots even if they are encoded.
    let problem = match text {
        "" => "is empty",
        "." | ".." => "cannot be part of a URL",
        _ => return Ok(encoded(text)),
    };
    Err(Report::new(failure::Failure::new(
        exit::Code::Usage,
        format!("the {what} {text:?} {problem}"),
    )))
}

fn encoded(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| match plain(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
