//! Log output.

use std::io::{self, IsTerminal as _};
use std::sync;
use std::time::Duration;

use crate::output;
use error_stack::{Report, ResultExt as _};
use sequoiayoke_settings::common;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::{EnvFilter, Layer as _, Registry, fmt};

/// Standard output of this process, once it is used for logs.
static OUTPUT: sync::OnceLock<output::Output> = sync::OnceLock::new();
/// Longest wait for standard output at the end of a process.
const FLUSH: Duration = Duration::from_millis(200);

/// Logging could not be set up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The level filter is malformed.
    #[error("`log.level`: {0:?} is not a filter such as `info` or `info,sequoiayoke_node=debug`")]
    Filter(String),
    /// The thread that writes the lines could not be started.
    #[error("the thread that writes log lines could not be started")]
    Output,
    /// The process has set up logging before.
    #[error("logging is set up already")]
    Repeated,
}

/// Sends the log lines of this process to standard error.
///
/// Lines are coloured only if standard error is a terminal.
///
/// # Errors
///
/// Fails if the level filter is malformed, or if logging was set up before.
///
/// # Examples
///
/// ```
/// use sequoiayoke_settings::common;
/// use sequoiayoke_telemetry::log;
///
/// log::init(&common::Log::default()).expect("logging is set up once");
/// tracing::info!("started");
/// ```
pub fn init(settings: &common::Log) -> Result<(), Report<Error>> {
    let subscriber = subscriber(settings, io::stderr, io::stderr().is_terminal())?;
    tracing::subscriber::set_global_default(subscriber).change_context(Error::Repeated)
}

/// Sends the log lines of this process to standard output through a bounded queue.
///
/// # Errors
///
/// Fails if the level filter is malformed, if the writer's thread cannot be
/// started, or if logging was set up before.
pub fn init_output(settings: &common::Log) -> Result<(), Report<Error>> {
    let output = output::Output::new(io::stdout()).change_context(Error::Output)?;
    let subscriber = subscriber(settings, output.clone(), false)?;
    tracing::subscriber::set_global_default(subscriber).change_context(Error::Repeated)?;
    OUTPUT.get_or_init(|| output);
    Ok(())
}

/// Waits until the lines that [`init_output`] sends to standard output are written.
///
/// A process calls it before it ends; nobody waits for long if standard output
/// is blocked.
pub fn flush() {
    if let Some(output) = OUTPUT.get() {
        output.flush(FLUSH);
    }
}

/// Makes a subscriber that writes the lines that `settings` select to `writer`.
///
/// # Errors
///
/// Fails if the level filter is malformed.
pub fn subscriber<W>(
    settings: &common::Log,
    writer: W,
    colour: bool,
) -> Result<impl tracing::Subscriber + Send + Sync, Report<Error>>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::builder()
        .parse(&settings.level)
        .change_context_lazy(|| Error::Filter(settings.level.clone()))?;
    let lines = match settings.format {
        common::Format::Human => fmt::layer().with_ansi(colour).with_writer(writer).boxed(),
        common::Format::Json => fmt::layer()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(writer)
            .boxed(),
    };
    Ok(Registry::default().with(lines.with_filter(filter)))
}
