//! `settings check`.

use std::io;
use std::path;

use error_stack::Report;
use sequoiayoke_settings::{
    self as settings, check, control, director, gateway, load, node, standin,
};

use crate::{answer, command, exit, failure};

pub(crate) fn run(command: &command::Settings) -> Result<answer::Answer, Report<failure::Failure>> {
    let command::Settings::Check { role, file } = command;
    match role {
        command::Role::Control => valid::<control::Control>("control", file),
        command::Role::Node => valid::<node::Node>("node", file),
        command::Role::Standin => valid::<standin::Standin>("standin", file),
        command::Role::Load => valid::<load::Load>("load", file),
        command::Role::Gateway => valid::<gateway::Gateway>("gateway", file),
        command::Role::Director => valid::<director::Director>("director", file),
    }
}

fn valid<T>(role: &str, file: &path::Path) -> Result<answer::Answer, Report<failure::Failure>>
where
    T: serde::de::DeserializeOwned + check::Check,
{
    let loaded = settings::load::<T, _>(file);
    if let Err(report) = loaded {
        let what = match report.current_context() {
            settings::Error::Unreadable { .. } => {
                let cause = report.downcast_ref::<io::Error>();
                let cause = cause.map_or_else(String::new, |error| format!(": {error}"));
                format!("{report}{cause}")
            }
            other => other.to_string(),
        };
        let failure = failure::Failure::new(exit::Code::Usage, what);
        let advice = "docs/settings.md lists every setting with its unit, default and bound";
        return Err(report.change_context(failure.with_advice(advice)));
    }
    let shown = file.display();
    let document = serde_json::json!({ "file": shown.to_string(), "role": role, "valid": true });
    Ok(answer::Answer::new(
        format!("{shown}: valid settings of `{role}`\n"),
        &document,
    ))
}
