//! Emulator of a backend server.
//!
//! Implements the two backend sections of `docs/protocol.md`, counts every execution, and
//! accepts fault commands below `/fault/v1/`. One control thread ([`coordinator`]) owns
//! grants and faults and publishes immutable views; the traffic threads ([`traffic`]) read
//! the views and run requests.

pub mod coordinator;
pub mod program;
pub mod settings;
pub mod traffic;
pub mod view;

use std::net;
use std::sync;
use std::thread;

use error_stack::ResultExt as _;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Largest number of commands that wait for the control thread; more are refused with 503.
const COMMAND_QUEUE: usize = 256;

/// Failure to start a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A thread or its runtime could not be created.
    #[error("failed to start a thread of the stand-in")]
    Thread,
    /// The listening address could not be bound.
    #[error("failed to listen on the configured address")]
    Listen,
}

/// A running emulator of a backend server, which stops when it is dropped.
///
/// # Examples
///
/// ```
/// use sequoiayoke_emulator::standin;
///
/// let settings = standin::settings::Settings::new("ank-status-1").with_service("kiosk-status");
/// let standin = standin::Standin::start(settings).expect("loopback is available");
/// assert_ne!(standin.address().port(), 0);
/// standin.stop();
/// ```
#[derive(Debug)]
pub struct Standin {
    address: net::SocketAddr,
    stop: CancellationToken,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Standin {
    /// Binds the listener and starts the control thread and the traffic threads.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be created.
    pub fn start(settings: settings::Settings) -> Result<Self, error_stack::Report<Error>> {
        let listener = net::TcpListener::bind(settings.listen).change_context(Error::Listen)?;
        listener
            .set_nonblocking(true)
            .change_context(Error::Listen)?;
        let address = listener.local_addr().change_context(Error::Listen)?;
        let stop = CancellationToken::new();
        let publisher = sync::Arc::new(view::Publisher::new());
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE);
        let settings = sync::Arc::new(settings);

        let traffic = traffic::Traffic::new(settings.clone(), publisher.clone(), commands);
        let coordinator = coordinator::Coordinator::new(settings, publisher, address);
        let control = spawn("standin-control", control_runtime()?, {
            let stop = stop.clone();
            move || coordinator.run(inbox, stop)
        })?;
        let workers = traffic_runtime()?;
        let traffic = spawn("standin-traffic", workers, {
            let stop = stop.clone();
            move || traffic.run(listener, stop)
        })?;
        Ok(Self {
            address,
            stop,
            threads: vec![control, traffic],
        })
    }

    /// Returns the listening address.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops immediately, like a killed process, and waits for its threads.
    pub fn stop(mut self) {
        self.stop.cancel();
        for thread in self.threads.drain(..) {
            // The panic hook has already printed the message of a panicked thread.
            let _ = thread.join();
        }
    }

    /// Waits until its threads have ended.
    pub fn wait(mut self) {
        for thread in self.threads.drain(..) {
            // The panic hook has already printed the message of a panicked thread.
            let _ = thread.join();
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn control_runtime() -> Result<runtime::Runtime, error_stack::Report<Error>> {
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Thread)
}

fn traffic_runtime() -> Result<runtime::Runtime, error_stack::Report<Error>> {
    runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("standin-worker")
        .enable_all()
        .build()
        .change_context(Error::Thread)
}

/// Runs the future that `make_future` returns on `runtime` in a named thread.
fn spawn<M, F>(
    name: &str,
    runtime: runtime::Runtime,
    make_future: M,
) -> Result<thread::JoinHandle<()>, error_stack::Report<Error>>
where
    M: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()>,
{
    thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            runtime.block_on(make_future());
            // Requests in flight are dropped, as when a process is killed.
            runtime.shutdown_background();
        })
        .change_context(Error::Thread)
}

/// A command to the control thread with the channel for its result.
#[derive(Debug)]
pub struct Envelope {
    /// The command.
    pub command: coordinator::Command,
    /// Receives the result once the view with the change is published.
    pub reply: oneshot::Sender<Result<(), coordinator::grants::Overflow>>,
}
