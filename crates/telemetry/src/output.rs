//! Bounded output of log lines, which never blocks the thread that logs.
//!
//! Lines go through a bounded queue to one thread that writes them. When the queue is full,
//! lines are dropped and counted, and the count is written with the next lines.

use std::io::{self, Write};
use std::iter;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue, enough for the lines of one second of refused requests on a small VM.
const QUEUE_LINES: usize = 2_048;
/// Maximum number of messages in a write. Without a bound, a batch would grow forever while
/// lines arrive as fast as they are received from the queue.
const BATCH_MESSAGES: usize = 256;

/// Message in the queue.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Asks for a notification when all lines before it are written.
    Flush(mpsc::SyncSender<()>),
}

/// Bounded queue to the thread that writes log lines.
#[derive(Clone, Debug)]
pub struct Output {
    lines: mpsc::SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_telemetry::output;
    ///
    /// let output = output::Output::new(std::io::sink()).expect("a thread can be started");
    /// assert_eq!(output.dropped(), 0);
    /// ```
    pub fn new<W>(target: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = mpsc::sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(target, &queue, &count))?;
        Ok(Self { lines, dropped })
    }

    /// Waits until all lines logged so far are written, but at most for `limit`. Returns
    /// whether they were written.
    pub fn flush(&self, limit: Duration) -> bool {
        let (done, written) = mpsc::sync_channel(1);
        let is_queued = self.lines.try_send(Message::Flush(done)).is_ok();
        is_queued && written.recv_timeout(limit).is_ok()
    }

    /// Returns the number of lines that were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Writes lines until the last sender is dropped or a write fails.
fn write_all<W>(mut target: W, queue: &mpsc::Receiver<Message>, dropped: &AtomicU64)
where
    W: Write,
{
    let mut batch = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(message) = queue.recv() {
        batch.clear();
        let messages = iter::once(message).chain(queue.try_iter());
        for message in messages.take(BATCH_MESSAGES) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushes.push(done),
            }
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > 0 {
            let text = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lost}}}\n"
            );
            batch.extend_from_slice(text.as_bytes());
        }
        // If standard output is closed, logging ends but the process continues.
        if target
            .write_all(&batch)
            .and_then(|()| target.flush())
            .is_err()
        {
            return;
        }
        dropped.fetch_sub(lost, Ordering::Relaxed);
        for done in flushes.drain(..) {
            // The caller of `flush` may no longer be waiting.
            let _ = done.try_send(());
        }
    }
}

/// Buffer of a log line, which is queued when the buffer is dropped.
#[derive(Debug)]
pub struct Line<'a> {
    output: &'a Output,
    text: Vec<u8>,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let text = std::mem::take(&mut self.text);
        if !text.is_empty() && self.output.lines.try_send(Message::Line(text)).is_err() {
            self.output.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for Output {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            output: self,
            text: Vec::with_capacity(256),
        }
    }
}
