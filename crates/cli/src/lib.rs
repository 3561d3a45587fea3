//! The operators' command line.
//!
//! A command returns an [`output::Output`] or a [`failure::Failure`], and only this
//! module writes: outputs to standard output, everything else to standard error.
//! The process has a single thread, which also runs the client's requests.

pub mod address;
pub mod client;
pub mod command;
pub mod diagnosis;
pub mod exit;
pub mod failure;
pub mod output;

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
            eprintln!("error: failed to start the runtime: {error}");
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
/// let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
/// let code = cli::run(["sequoiayoke", "statu"], &mut &b""[..], &mut stdout, &mut stderr).await;
/// assert_eq!(code, exit::Code::Usage);
/// assert!(String::from_utf8_lossy(&stderr).contains("a similar subcommand exists: 'status'"));
/// # });
/// ```
pub async fn run<A, I, O, E>(
    arguments: A,
    stdin: &mut I,
    stdout: &mut O,
    stderr: &mut E,
) -> exit::Code
where
    A: IntoIterator,
    A::Item: Into<ffi::OsString> + Clone,
    I: io::Read,
    O: io::Write,
    E: io::Write,
{
    let command = match command::Line::try_parse_from(arguments) {
        Ok(command) => command,
        Err(error) => return write_usage(&error, stdout, stderr),
    };
    let format = command.common.output;
    let mut notices = Notices { stderr, format };
    match run::command(&command, stdin, &mut notices).await {
        Ok(output) => {
            write_text(stdout, &output.render(format));
            output.code()
        }
        Err(report) => {
            write_text(stderr, &failure::render(&report, format));
            report.current_context().code()
        }
    }
}

/// Writes the requested help, or an error about the arguments.
fn write_usage<O, E>(error: &clap::Error, stdout: &mut O, stderr: &mut E) -> exit::Code
where
    O: io::Write,
    E: io::Write,
{
    if error.use_stderr() {
        write_text(stderr, &error.to_string());
        exit::Code::Usage
    } else {
        write_text(stdout, &error.to_string());
        exit::Code::Done
    }
}

/// Writes `text`, and ignores errors such as a closed pipe, as in `… | head`.
fn write_text<W>(writer: &mut W, text: &str)
where
    W: io::Write,
{
    let _ = writer.write_all(text.as_bytes());
    let _ = writer.flush();
}

/// Writes notices to standard error while a command runs.
struct Notices<'a, E> {
    stderr: &'a mut E,
    format: command::Format,
}

impl<E> client::Notice for Notices<'_, E>
where
    E: io::Write,
{
    fn notice(&mut self, text: &str) {
        let line = match self.format {
            command::Format::Human => format!("note: {text}\n"),
            command::Format::Json => format!("{}\n", serde_json::json!({ "note": text })),
        };
        write_text(self.stderr, &line);
    }
}
