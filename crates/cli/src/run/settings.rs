//! The command `settings check`.

use std::io;
use std::path;

use error_stack::Report;
use sequoiayoke_settings::{
    self as settings, check, control, director, gateway, load, node, standin,
};

use crate::{command, exit, failure, output};

pub(crate) fn run(command: &command::Settings) -> Result<output::Output, Report<failure::Failure>> {
    let command::Settings::Check { role, file } = command;
    match role {
        command::Role::Control => check_file::<control::Control>("control", file),
        command::Role::Node => check_file::<node::Node>("node", file),
        command::Role::Standin => check_file::<standin::Standin>("standin", file),
        command::Role::Load => check_file::<load::Load>("load", file),
        command::Role::Gateway => check_file::<gateway::Gateway>("gateway", file),
        command::Role::Director => check_file::<director::Director>("director", file),
    }
}

fn check_file<T>(role: &str, file: &path::Path) -> Result<output::Output, Report<failure::Failure>>
where
    T: serde::de::DeserializeOwned + check::Check,
{
    let loaded = settings::load::<T, _>(file);
    if let Err(report) = loaded {
        let message = match report.current_context() {
            settings::Error::Unreadable { .. } => {
                let cause = report.downcast_ref::<io::Error>();
                let cause = cause.map_or_else(String::new, |error| format!(": {error}"));
                format!("{report}{cause}")
            }
            error => error.to_string(),
        };
        let failure = failure::Failure::new(exit::Code::Usage, message);
        let advice = "docs/settings.md lists every setting with its unit, default and bound";
        return Err(report.change_context(failure.with_advice(advice)));
    }
    let name = file.display();
    let document = serde_json::json!({ "file": name.to_string(), "role": role, "valid": true });
    Ok(output::Output::new(
        format!("{name}: valid settings of `{role}`\n"),
        &document,
    ))
}
