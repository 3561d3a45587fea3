//! Command line of the stand-in.

use std::io::Write as _;
use std::net;
use std::process;
use std::time::Duration;

use clap::Parser;

use crate::standin;
use crate::standin::settings;

/// Emulator of a backend server.
#[derive(Debug, Parser)]
#[command(name = "sequoiayoke-standin", version)]
struct Arguments {
    /// Name of the backend server.
    #[arg(long)]
    name: String,
    /// Service of the backend server; may be repeated.
    #[arg(long = "service", required = true)]
    services: Vec<String>,
    /// Listening address; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: net::SocketAddr,
    /// Address of the backend listener of its node.
    #[arg(long)]
    node: Option<net::SocketAddr>,
    /// Largest number of running requests.
    #[arg(long, default_value_t = 12)]
    slots: usize,
    /// Largest number of requests that wait for a slot.
    #[arg(long, default_value_t = 64)]
    queue: usize,
    /// Largest number of open connections.
    #[arg(long, default_value_t = 130)]
    connections: usize,
    /// Time that each request takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Additional time that the first access of a key takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// Refuse requests for ranges and epochs that it does not own.
    #[arg(long)]
    checks_fencing: bool,
    /// Refuse commands that do not carry the token.
    #[arg(long, requires = "token")]
    checks_sender: bool,
    /// Token of the node.
    #[arg(long)]
    token: Option<String>,
}

impl Arguments {
    fn into_settings(self) -> settings::Settings {
        settings::Settings {
            services: self.services,
            listen: self.listen,
            node: self.node,
            slots: self.slots,
            queue: self.queue,
            connections: self.connections,
            delay: Duration::from_millis(self.delay_ms),
            cold_delay: Duration::from_millis(self.cold_ms),
            checks_fencing: self.checks_fencing,
            token: self.token.filter(|_| self.checks_sender),
            ..settings::Settings::new(&self.name)
        }
    }
}

/// Runs the stand-in until its threads end; prints `listening ADDRESS` when ready.
pub fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let standin = match standin::Standin::start(arguments.into_settings()) {
        Ok(standin) => standin,
        Err(report) => {
            tracing::error!(?report, "failed to start the stand-in");
            eprintln!("{report:?}");
            return process::ExitCode::FAILURE;
        }
    };
    let mut output = std::io::stdout();
    // The server keeps serving if standard output is closed.
    let _ = writeln!(output, "listening {}", standin.address());
    let _ = output.flush();
    standin.wait();
    process::ExitCode::SUCCESS
}
