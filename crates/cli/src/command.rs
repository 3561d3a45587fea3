//! Definition of the command line's arguments.

use std::path;
use std::time;

use crate::address;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused; nothing changed
  2  the command, a ticket or a settings file is malformed; nothing was sent
  3  no control replica responded; nothing changed
  4  the ticket may or may not have been accepted; run the same command again

Examples:
  sequoiayoke --control 127.0.0.1:7103,127.0.0.1:7113 status
  sequoiayoke ticket check tickets/0002.jsonc
  sequoiayoke ticket submit tickets/0002.jsonc
  sequoiayoke explain refunds kiosk-17
  sequoiayoke drain ank-refunds-1 --submit";

/// Operate a sequoiayoke deployment.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "sequoiayoke", version, after_help = EXIT_CODES)]
pub struct Line {
    /// Options of every command.
    #[command(flatten)]
    pub common: Common,
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of every command.
#[derive(Clone, Debug, clap::Args)]
pub struct Common {
    /// Operators' addresses of the control replicas, separated by commas.
    #[arg(
        long,
        global = true,
        env = "SEQUOIAYOKE_CONTROL",
        value_delimiter = ',',
        value_name = "HOST:PORT",
        hide_env_values = true
    )]
    pub control: Vec<address::Address>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Format,
    /// Longest wait for one response, in milliseconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 3_000,
        value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub timeout_ms: u64,
    /// Longest time for all attempts of a command, in milliseconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 10_000,
        value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub wait_ms: u64,
}

impl Common {
    /// Returns the longest wait for one response.
    pub fn timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.timeout_ms)
    }

    /// Returns the longest time for all attempts.
    pub fn max_wait(&self) -> time::Duration {
        time::Duration::from_millis(self.wait_ms)
    }
}

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Human-readable text and tables.
    #[default]
    Human,
    /// JSON document.
    Json,
}

/// Subcommand of the command line.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Command {
    /// Submit, check, list or show change tickets.
    #[command(subcommand)]
    Ticket(Ticket),
    /// Show replicas, servers and services, and what needs attention.
    Status,
    /// Show who owns a key, and why.
    #[command(after_help = "Examples:\n  sequoiayoke explain refunds kiosk-17\n  \
        sequoiayoke explain intake lot-4711 --scope mill-a")]
    Explain(Explain),
    /// Print the ticket that drains a server, or submit it.
    #[command(
        after_help = "Examples:\n  sequoiayoke drain ank-refunds-1 > tickets/0007.jsonc\n  \
        sequoiayoke drain ank-refunds-1 --submit"
    )]
    Drain(Drain),
    /// Check settings files without starting anything.
    #[command(subcommand)]
    Settings(Settings),
    /// Explain what happened to a request, from the processes' logs.
    #[command(subcommand)]
    Logs(Logs),
    /// Print a completion script for a shell.
    #[command(
        after_help = "Example:\n  sequoiayoke completion bash > ~/.local/share/bash-completion/completions/sequoiayoke"
    )]
    Completion {
        /// Shell to complete in.
        shell: clap_complete::Shell,
    },
}

/// Commands on change tickets.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Ticket {
    /// Submit a ticket, and retry it if the response is lost.
    #[command(
        after_help = "The same ticket is accepted at most once, so that running the same \
        command again is safe.\n\nExamples:\n  sequoiayoke ticket submit tickets/0002.jsonc\n  \
        sequoiayoke drain ank-refunds-1 | sequoiayoke ticket submit -"
    )]
    Submit(File),
    /// Show what a ticket would change, and the next number.
    #[command(
        after_help = "Exit code 1 means that the ticket would be refused.\n\nExample:\n  \
        sequoiayoke ticket check tickets/0002.jsonc"
    )]
    Check(File),
    /// List accepted tickets.
    List,
    /// Show an accepted ticket, and whether it is in force.
    Show {
        /// Number of the ticket.
        #[arg(value_parser = clap::value_parser!(u64).range(1..))]
        number: u64,
    },
}

/// Arguments of commands that read a ticket file.
#[derive(Clone, Debug, clap::Args)]
pub struct File {
    /// Ticket in JSON with comments; `-` reads standard input.
    pub file: path::PathBuf,
}

/// Arguments of `explain`.
#[derive(Clone, Debug, clap::Args)]
pub struct Explain {
    /// Service of the key.
    pub service: String,
    /// The key.
    pub key: String,
    /// Scope of the key, for a scoped service.
    #[arg(long, default_value = "")]
    pub scope: String,
}

/// Arguments of `drain`.
#[derive(Clone, Debug, clap::Args)]
pub struct Drain {
    /// Name of the server.
    pub server: String,
    /// Submit the ticket instead of printing it.
    #[arg(long)]
    pub submit: bool,
    /// Drain it even if it is the last serving server of a service.
    #[arg(long)]
    pub even_if_last: bool,
}

/// Commands on settings files.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Settings {
    /// Check a settings file.
    #[command(after_help = "Example:\n  \
        sequoiayoke settings check control examples/ankesor/control-1.jsonc")]
    Check {
        /// Program that reads the file.
        role: Role,
        /// Settings in JSON with comments.
        file: path::PathBuf,
    },
}

/// Commands on logs.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Logs {
    /// Print the log lines about a request from all processes, and the cause of its outcome.
    #[command(
        after_help = "Each file holds the JSON log lines of one gateway or director, or of several \
        processes with the name of the process before each line.\n\nExample:\n  \
        sequoiayoke logs why 9c41d07be2a35f68 logs/*.log"
    )]
    Why {
        /// Id of the request.
        id: String,
        /// Logs of the processes.
        #[arg(required = true)]
        files: Vec<path::PathBuf>,
    },
}

/// Program that reads a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Role {
    /// A control replica.
    Control,
    /// A node.
    Node,
    /// A backend server emulator.
    Standin,
    /// The load tool.
    Load,
    /// A node of a self-bootstrapping deployment.
    Gateway,
    /// A control replica of a self-bootstrapping deployment.
    Director,
}
