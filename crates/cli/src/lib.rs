//! The operators' command line.
//!
//! A command returns an [`answer::Answer`] or a [`failure::Failure`], and only
//! this module writes: answers to standard output, everything else to standard
//! error. The process has one thread, on which the client's requests run too.

pub mod address;
pub mod answer;
pub mod client;
pub mod command;
pub mod diagnosis;
pub mod exit;
pub mod failure;

mod difference;
mod run;
mod table;

use std::env;
use std::ffi;
use std::io;
use std::process;

use clap::Parser as _;

/// Runs the command line of this process.
pub fn main() -> process::ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(run(
            env::args_os(),
            &mut io::stdin(),
            &mut io::stdout(),
            &mut io::stderr(),
        )),
        Err(error) => {
            eprintln!("error: cannot start: {error}");
            exit::Code::Unreachable
        }
    };
    process::ExitCode::from(code.number())
}

/// Runs the command in `arguments` and returns the exit code.
///
/// # Examples
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// # runtime.block_on(async {
/// use sequoiayoke_cli::{self as cli, exit};
///
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// let code = cli::run(["sequoiayoke", "statu"], &mut &b""[..], &mut out, &mut err).await;
/// assert_eq!(code, exit::Code::Usage);
/// assert!(String::from_utf8_lossy(&err).contains("a similar subcommand exists: 'status'"));
/// # });
/// ```
pub async fn run<A, I, O, E>(arguments: A, input: &mut I, out: &mut O, err: &mut E) -> exit::Code
where
    A: IntoIterator,
    A::Item: Into<ffi::OsString> + Clone,
    I: io::Read,
    O: io::Write,
    E: io::Write,
{
    let command = match command::Line::try_parse_from(arguments) {
        Ok(command) => command,
        Err(help) => return show_help(&help, out, err),
    };
    let output = command.common.output;
    let mut notices = Notices { err, output };
    match run::command(&command, input, &mut notices).await {
        Ok(answer) => {
            show(out, &answer.text(output));
            answer.code()
        }
        Err(report) => {
            show(err, &failure::text(&report, output));
            report.current_context().code()
        }
    }
}

/// Shows the help that was asked for, or what is wrong with the arguments.
fn show_help<O, E>(help: &clap::Error, out: &mut O, err: &mut E) -> exit::Code
where
    O: io::Write,
    E: io::Write,
{
    if help.use_stderr() {
        show(err, &help.to_string());
        exit::Code::Usage
    } else {
        show(out, &help.to_string());
        exit::Code::Done
    }
}

/// Writes `text`; a reader that has gone away, as in `… | head`, is no failure.
fn show<W>(writer: &mut W, text: &str)
where
    W: io::Write,
{
    let _ = writer.write_all(text.as_bytes());
    let _ = writer.flush();
}

/// Writes notices to standard error while a command runs.
struct Notices<'a, E> {
    err: &'a mut E,
    output: command::Output,
}

impl<E> client::Notice for Notices<'_, E>
where
    E: io::Write,
{
    fn notice(&mut self, text: &str) {
        let line = match self.output {
            command::Output::Human => format!("note: {text}\n"),
            command::Output::Json => format!("{}\n", serde_json::json!({ "note": text })),
        };
        show(self.err, &line);
    }
}
