//! Setup of the log output.

use std::io::{self, IsTerminal as _};
use std::sync;
use std::time::Duration;

use crate::output;
use error_stack::{Report, ResultExt as _};
use sequoiayoke_settings::common;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::{EnvFilter, Layer as _, Registry, fmt};

/// Queue to standard output, if log lines are sent there.
static OUTPUT: sync::OnceLock<output::Output> = sync::OnceLock::new();
/// Maximum time that a process waits for standard output before it ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Error that occurs while logging is set up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The level filter is malformed.
    #[error("`log.level`: {0:?} is not a filter such as `info` or `info,sequoiayoke_node=debug`")]
    Filter(String),
    /// The thread that writes log lines failed to start.
    #[error("failed to start the thread that writes log lines")]
    Output,
    /// Logging is already set up in this process.
    #[error("logging is already set up")]
    Repeated,
}

/// Sends the log lines of this process to standard error.
///
/// Lines are coloured only if standard error is a terminal.
///
/// # Errors
///
/// Fails if the level filter is malformed, or if logging is already set up.
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
/// Fails if the level filter is malformed, if the thread that writes the lines cannot be
/// started, or if logging is already set up.
pub fn init_output(settings: &common::Log) -> Result<(), Report<Error>> {
    let output = output::Output::new(io::stdout()).change_context(Error::Output)?;
    let subscriber = subscriber(settings, output.clone(), false)?;
    tracing::subscriber::set_global_default(subscriber).change_context(Error::Repeated)?;
    OUTPUT.get_or_init(|| output);
    Ok(())
}

/// Waits until the lines for standard output are written, if [`init_output`] was called.
///
/// A process calls this before it ends. The wait is short if standard output is blocked.
pub fn flush() {
    if let Some(output) = OUTPUT.get() {
        output.flush(FLUSH_TIMEOUT);
    }
}

/// Creates a subscriber that writes the lines selected by `settings` to `writer`.
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
    let layer = match settings.format {
        common::Format::Human => fmt::layer().with_ansi(colour).with_writer(writer).boxed(),
        common::Format::Json => fmt::layer()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(writer)
            .boxed(),
    };
    Ok(Registry::default().with(layer.with_filter(filter)))
}
