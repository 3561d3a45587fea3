//! What the daemons' binaries share: arguments, settings, logs, signals.

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

/// Exit status after malformed settings, as the command line has it.
const EXIT_SETTINGS: u8 = 2;
/// Pause between two looks at the settings file, which may change without a signal.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);

/// Arguments of a daemon.
#[derive(Debug, Parser)]
#[command(
    version,
    about = "A sequoiayoke daemon. SIGTERM drains and ends it, SIGHUP reads the settings again."
)]
struct Arguments {
    /// Settings file, in JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: path::PathBuf,
}

/// Errors of a daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings cannot be used.
    #[error("the settings cannot be used")]
    Settings,
    /// The daemon could not be started.
    #[error("the daemon could not be started")]
    Start,
    /// The daemon has failed.
    #[error("the daemon has failed")]
    Run,
}

/// A kind of daemon.
pub trait Daemon: Sized {
    /// Its settings.
    type Settings: serde::de::DeserializeOwned + check::Check;

    /// Returns the settings of its log.
    fn log(settings: &Self::Settings) -> &common::Log;

    /// Sets up its log.
    ///
    /// # Errors
    ///
    /// Fails if the level filter is malformed.
    fn init_log(settings: &Self::Settings) -> Result<(), Report<log::Error>> {
        log::init(Self::log(settings))
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken, or a file or thread cannot be used.
    fn start(settings: &Self::Settings) -> Result<Self, Report<Error>>;

    /// Returns a text for operators that names its addresses.
    fn addresses(&self) -> String;

    /// Returns the token that asks it to end.
    fn stop(&self) -> Stop;

    /// Returns what puts changed settings into force, as far as that needs no new start.
    fn reloader(&self) -> impl Fn(&Self::Settings) + Send + 'static;

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if a part of it has failed for good.
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
        let started = sequoiayoke_control::Control::start(settings);
        started.map(Self).change_context(Error::Start)
    }

    fn addresses(&self) -> String {
        let all = self.0.addresses();
        let (replica, node, operator) = (all.replica, all.node, all.operator);
        format!("replica={replica} node={node} operator={operator}")
    }

    fn stop(&self) -> Stop {
        self.0.stop().clone()
    }

    fn reloader(&self) -> impl Fn(&Self::Settings) + Send + 'static {
        |_: &Self::Settings| tracing::info!("settings take effect at the next start")
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
        let started = sequoiayoke_node::Node::start(settings);
        started.map(Self).change_context(Error::Start)
    }

    fn addresses(&self) -> String {
        let all = self.0.addresses();
        let (caller, peer, backend) = (all.caller, all.peer, all.backend);
        let metrics = all.metrics.map(|one| format!(" metrics={one}"));
        let metrics = metrics.unwrap_or_default();
        format!("caller={caller} peer={peer} backend={backend}{metrics}")
    }

    fn stop(&self) -> Stop {
        self.0.stop().clone()
    }

    fn reloader(&self) -> impl Fn(&Self::Settings) + Send + 'static {
        |_: &Self::Settings| tracing::info!("settings take effect at the next start")
    }

    fn wait(self) -> Result<(), Report<Error>> {
        self.0.wait().change_context(Error::Run)
    }
}

/// Runs a daemon until it ends; SIGTERM or SIGINT asks it to.
pub fn run<D>() -> process::ExitCode
where
    D: Daemon,
{
    run_file::<D>(&Arguments::parse().settings)
}

/// Runs a daemon with the settings in `file` until it ends.
pub fn run_file<D>(file: &path::Path) -> process::ExitCode
where
    D: Daemon,
{
    match run_with::<D>(file) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            if !io::stderr().is_terminal() {
                Report::set_color_mode(error_stack::fmt::ColorMode::None);
            }
            // Standard error may be closed; the exit status tells the rest.
            let _ = writeln!(io::stderr(), "{report:?}");
            match report.current_context() {
                Error::Settings => process::ExitCode::from(EXIT_SETTINGS),
                Error::Start | Error::Run => process::ExitCode::FAILURE,
            }
        }
    }
}

fn run_with<D>(file: &path::Path) -> Result<(), Report<Error>>
where
    D: Daemon,
{
    let settings: D::Settings = sequoiayoke_settings::load(file).change_context(Error::Settings)?;
    D::init_log(&settings).change_context(Error::Settings)?;
    let daemon = D::start(&settings)?;
    watch_signals(daemon.stop(), reload::<D>(file, daemon.reloader()))?;
    // Scripts and tests wait for this line, and read the ports from it.
    let mut output = io::stdout();
    let (version, addresses) = (env!("CARGO_PKG_VERSION"), daemon.addresses());
    let _ = writeln!(output, "ready {addresses}");
    let _ = output.flush();
    tracing::info!(version, settings = %file.display(), addresses, "started");
    let ended = daemon.wait();
    log::flush();
    ended
}

/// Returns what reads the settings again and puts them into force.
fn reload<D>(
    file: &path::Path,
    apply: impl Fn(&D::Settings) + Send + 'static,
) -> impl FnMut(Cause) + Send + 'static
where
    D: Daemon,
{
    let file = file.to_owned();
    let mut seen = modified(&file);
    move |cause| {
        let now = modified(&file);
        if cause == Cause::Time && now == seen {
            return;
        }
        seen = now;
        match sequoiayoke_settings::load::<D::Settings, _>(&file) {
            Ok(settings) => {
                tracing::info!(?cause, "the settings were read again");
                apply(&settings);
            }
            Err(report) => {
                tracing::error!(?cause, %report, "the changed settings cannot be used; the former ones stay in force");
            }
        }
    }
}

/// Why settings are read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// SIGHUP has come.
    Signal,
    /// It is time to look whether the file has changed.
    Time,
}

fn modified(file: &path::Path) -> Option<SystemTime> {
    let metadata = fs::metadata(file);
    metadata
        .and_then(|metadata| metadata.modified())
        .inspect_err(|error| tracing::warn!(%error, "cannot look at the settings file"))
        .ok()
}

fn watch_signals<Reload>(stop: Stop, mut reload: Reload) -> Result<(), Report<Error>>
where
    Reload: FnMut(Cause) + Send + 'static,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let _context = runtime.enter();
    let mut terminate = unix::signal(unix::SignalKind::terminate()).change_context(Error::Start)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).change_context(Error::Start)?;
    let mut hangup = unix::signal(unix::SignalKind::hangup()).change_context(Error::Start)?;
    drop(_context);
    let watch = move || {
        runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                    _ = hangup.recv() => reload(Cause::Signal),
                    () = time::sleep(SETTINGS_PAUSE) => reload(Cause::Time),
                }
            }
        });
        stop.cancel();
    };
    let thread = thread::Builder::new().name("signals".to_owned());
    thread.spawn(watch).change_context(Error::Start)?;
    Ok(())
}
