//! Startup code that the daemons share: arguments, settings, logs and signals.

use std::fs;
use std::io;
use std::io::{IsTerminal, Write};
use std::path;
use std::process;
use std::thread;
use std::time::{Duration, SystemTime};

use clap::Parser;
use error_stack::{Report, ResultExt};
use sequoiayoke_settings::{check, common, control, node};
use sequoiayoke_supervise::Stop;
use sequoiayoke_telemetry::log;
use tokio::runtime;
use tokio::signal::unix;
use tokio::time;

/// Exit status for invalid settings, the same as that of the command line.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Interval between two checks of the settings file for changes that no signal announces.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Command line arguments of a daemon.
#[derive(Debug, Parser)]
#[command(
    version,
    about = "A sequoiayoke daemon. SIGTERM drains and stops it, SIGHUP reloads the settings."
)]
struct Arguments {
    /// Settings file, in JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: path::PathBuf,
}

/// Errors of a daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid or cannot be read.
    #[error("invalid or unreadable settings")]
    Settings,
    /// The daemon could not be started.
    #[error("failed to start the daemon")]
    Start,
    /// The daemon failed while it was running.
    #[error("the daemon failed")]
    Run,
}

/// A kind of daemon.
pub trait Daemon: Sized {
    /// Settings of the daemon.
    type Settings: serde::de::DeserializeOwned + check::Check;

    /// Returns the log settings.
    fn log(settings: &Self::Settings) -> &common::Log;

    /// Initializes the log.
    ///
    /// # Errors
    ///
    /// Fails if the level filter is malformed.
    fn init_log(settings: &Self::Settings) -> Result<(), Report<log::Error>> {
        log::init(Self::log(settings))
    }

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use, a file cannot be used, or a thread cannot be started.
    fn start(settings: &Self::Settings) -> Result<Self, Report<Error>>;

    /// Returns the daemon's addresses as text for operators.
    fn addresses(&self) -> String;

    /// Returns the token that requests the daemon to stop.
    fn stop(&self) -> Stop;

    /// Returns a function that applies the changed settings that need no restart.
    fn reloader(&self) -> impl Fn(&Self::Settings) + Send + 'static;

    /// Waits until the daemon stops.
    ///
    /// # Errors
    ///
    /// Fails if a part of the daemon failed permanently.
    fn wait(self) -> Result<(), Report<Error>>;
}

/// A control replica.
#[derive(Debug)]
pub struct Control(sequoiayoke_control::Control);

impl Daemon for Control {
    type Settings = control::Control;

    fn log(settings: &Self::Settings) -> &common::Log {
        &settings.log
    }

    fn start(settings: &Self::Settings) -> Result<Self, Report<Error>> {
        let control = sequoiayoke_control::Control::start(settings);
        control.map(Self).change_context(Error::Start)
    }

    fn addresses(&self) -> String {
        let addresses = self.0.addresses();
        let (replica, node, operator) = (addresses.replica, addresses.node, addresses.operator);
        format!("replica={replica} node={node} operator={operator}")
    }

    fn stop(&self) -> Stop {
        self.0.stop().clone()
    }

    fn reloader(&self) -> impl Fn(&Self::Settings) + Send + 'static {
        |_: &Self::Settings| tracing::info!("changed settings take effect after a restart")
    }

    fn wait(self) -> Result<(), Report<Error>> {
        self.0.wait().change_context(Error::Run)
    }
}

/// A node.
#[derive(Debug)]
pub struct Node(sequoiayoke_node::Node);

impl Daemon for Node {
    type Settings = node::Node;

    fn log(settings: &Self::Settings) -> &common::Log {
        &settings.log
    }

    fn start(settings: &Self::Settings) -> Result<Self, Report<Error>> {
        let node = sequoiayoke_node::Node::start(settings);
        node.map(Self).change_context(Error::Start)
    }

    fn addresses(&self) -> String {
        let addresses = self.0.addresses();
        let (caller, peer, backend) = (addresses.caller, addresses.peer, addresses.backend);
        let metrics = addresses
            .metrics
            .map(|address| format!(" metrics={address}"));
        let metrics = metrics.unwrap_or_default();
        format!("caller={caller} peer={peer} backend={backend}{metrics}")
    }

    fn stop(&self) -> Stop {
        self.0.stop().clone()
    }

    fn reloader(&self) -> impl Fn(&Self::Settings) + Send + 'static {
        |_: &Self::Settings| tracing::info!("changed settings take effect after a restart")
    }

    fn wait(self) -> Result<(), Report<Error>> {
        self.0.wait().change_context(Error::Run)
    }
}

/// Runs a daemon with the settings file on the command line until it stops, on SIGTERM or SIGINT
/// or because of a failure.
pub fn run<D>() -> process::ExitCode
where
    D: Daemon,
{
    run_file::<D>(&Arguments::parse().settings)
}

/// Runs a daemon with the settings in `file` until it stops.
pub fn run_file<D>(file: &path::Path) -> process::ExitCode
where
    D: Daemon,
{
    match load_and_run::<D>(file) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            if !io::stderr().is_terminal() {
                Report::set_color_mode(error_stack::fmt::ColorMode::None);
            }
            // Standard error may be closed; the exit status still reports the kind of failure.
            let _ = writeln!(io::stderr(), "{report:?}");
            match report.current_context() {
                Error::Settings => process::ExitCode::from(EXIT_INVALID_SETTINGS),
                Error::Start | Error::Run => process::ExitCode::FAILURE,
            }
        }
    }
}

fn load_and_run<D>(file: &path::Path) -> Result<(), Report<Error>>
where
    D: Daemon,
{
    // Without a handler, a signal that arrives during the start ends the process.
    let signals = Signals::new()?;
    let last_modified = modification_time(file);
    let settings: D::Settings = sequoiayoke_settings::load(file).change_context(Error::Settings)?;
    D::init_log(&settings).change_context(Error::Settings)?;
    let daemon = D::start(&settings)?;
    let reload = reload_handler::<D>(file, last_modified, daemon.reloader());
    signals.watch(daemon.stop(), reload)?;
    // Scripts and tests wait for this line and parse the ports in it.
    let mut stdout = io::stdout();
    let (version, addresses) = (env!("CARGO_PKG_VERSION"), daemon.addresses());
    let _ = writeln!(stdout, "ready {addresses}");
    let _ = stdout.flush();
    tracing::info!(version, settings = %file.display(), addresses, "started");
    let result = daemon.wait();
    log::flush();
    result
}

/// Returns a function that reloads the settings in `file` and passes them to `apply`. The settings
/// in force were read after the file was modified at `last_modified`.
fn reload_handler<D>(
    file: &path::Path,
    mut last_modified: Option<SystemTime>,
    apply: impl Fn(&D::Settings) + Send + 'static,
) -> impl FnMut(Cause) + Send + 'static
where
    D: Daemon,
{
    let file = file.to_owned();
    move |cause| {
        let modified = modification_time(&file);
        if cause == Cause::Time && modified == last_modified {
            return;
        }
        last_modified = modified;
        match sequoiayoke_settings::load::<D::Settings, _>(&file) {
            Ok(settings) => {
                tracing::info!(?cause, "settings reloaded");
                apply(&settings);
            }
            Err(report) => {
                tracing::error!(?cause, %report, "failed to reload the settings; the previous settings stay in force");
            }
        }
    }
}

/// Reason for a reload of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// SIGHUP was received.
    Signal,
    /// The periodic check of the file for changes is due.
    Time,
}

fn modification_time(file: &path::Path) -> Option<SystemTime> {
    let metadata = fs::metadata(file);
    metadata
        .and_then(|metadata| metadata.modified())
        .inspect_err(|error| tracing::warn!(%error, "cannot read the modification time of the settings file"))
        .ok()
}

/// Handlers of signals; those that arrive before [`Signals::watch`] wait for it.
#[derive(Debug)]
struct Signals {
    runtime: runtime::Runtime,
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Installs the handlers.
    fn new() -> Result<Self, Report<Error>> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(Error::Start)?;
        let context = runtime.enter();
        let handle = |kind| unix::signal(kind).change_context(Error::Start);
        let terminate = handle(unix::SignalKind::terminate())?;
        let interrupt = handle(unix::SignalKind::interrupt())?;
        let hangup = handle(unix::SignalKind::hangup())?;
        drop(context);
        Ok(Self {
            runtime,
            terminate,
            interrupt,
            hangup,
        })
    }

    /// Starts a thread that cancels `stop` on SIGTERM or SIGINT, and calls `reload` on SIGHUP and
    /// periodically.
    fn watch<Reload>(mut self, stop: Stop, mut reload: Reload) -> Result<(), Report<Error>>
    where
        Reload: FnMut(Cause) + Send + 'static,
    {
        let watch = move || {
            self.runtime.block_on(async {
                loop {
                    tokio::select! {
                        _ = self.terminate.recv() => return,
                        _ = self.interrupt.recv() => return,
                        _ = self.hangup.recv() => reload(Cause::Signal),
                        () = time::sleep(SETTINGS_POLL_INTERVAL) => reload(Cause::Time),
                    }
                }
            });
            stop.cancel();
        };
        let thread = thread::Builder::new().name("signals".to_owned());
        thread.spawn(watch).change_context(Error::Start)?;
        Ok(())
    }
}
