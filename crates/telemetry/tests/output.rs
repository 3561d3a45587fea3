//! Bounded output of log lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use sequoiayoke_telemetry::output;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum time for logging all lines of the test while standard output is blocked.
const MAX_LOGGING_TIME: Duration = Duration::from_millis(500);

/// A writer that blocks until it receives a message from `unblock`.
struct Blocked {
    unblock: mpsc::Receiver<()>,
    is_unblocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_unblocked {
            self.unblock.recv().map_err(io::Error::other)?;
            self.is_unblocked = true;
        }
        let mut written = self.written.lock().expect("not poisoned");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(output: &output::Output, text: &str) {
    let mut writer = output.make_writer();
    writer
        .write_all(text.as_bytes())
        .expect("a line is only buffered");
}

/// Guards against a request that waits for a blocked standard output, and against dropped
/// lines that are not counted.
#[test]
fn a_blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (unblocker, unblock) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let target = Blocked {
        unblock,
        is_unblocked: false,
        written: Arc::clone(&written),
    };
    let output = output::Output::new(target).expect("a thread");
    let start = Instant::now();
    for number in 0..5_000 {
        write_line(&output, &format!("line {number}\n"));
    }
    assert!(start.elapsed() < MAX_LOGGING_TIME);
    assert!(output.dropped() > 0);
    unblocker.send(()).expect("the writer waits");
    while !output.flush(Duration::from_secs(5)) {}
    write_line(&output, "after\n");
    assert!(output.flush(Duration::from_secs(5)));
    let written = written.lock().expect("not poisoned").clone();
    let text = String::from_utf8(written).expect("text");
    assert!(text.starts_with("line 0\n"));
    assert!(text.contains("log lines dropped"));
    assert!(text.contains("after\n"));
}

/// A writer that reports the start of each write and then blocks until it receives a message
/// from `unblock`.
struct Stepped {
    begun: mpsc::Sender<usize>,
    unblock: mpsc::Receiver<()>,
}

impl Write for Stepped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.begun.send(bytes.len()).map_err(io::Error::other)?;
        self.unblock.recv().map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a count of dropped lines that is reset before its report is written, and
/// against a batch that grows as long as lines arrive.
#[test]
fn dropped_lines_are_counted_until_their_number_is_written() {
    let ((begun, writes), (unblocker, unblock)) = (mpsc::channel(), mpsc::channel());
    let output = output::Output::new(Stepped { begun, unblock }).expect("a thread");
    write_line(&output, "first\n");
    assert_eq!(writes.recv(), Ok("first\n".len()));
    for _ in 0..3_000 {
        write_line(&output, "more\n");
    }
    let dropped = output.dropped();
    assert!(dropped > 0);
    unblocker.send(()).expect("the writer waits");
    let bytes = writes.recv().expect("a second batch");
    assert!(bytes < 3_000, "{bytes} bytes at once");
    assert_eq!(output.dropped(), dropped);
}

/// Guards against a process that ends before its last log line is written.
#[test]
fn a_flush_waits_for_the_lines_before_it() {
    let (unblocker, unblock) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let target = Blocked {
        unblock,
        is_unblocked: false,
        written: Arc::clone(&written),
    };
    let output = output::Output::new(target).expect("a thread");
    write_line(&output, "stopped\n");
    assert!(!output.flush(Duration::from_millis(20)));
    unblocker.send(()).expect("the writer waits");
    assert!(output.flush(Duration::from_secs(5)));
    let written = written.lock().expect("not poisoned").clone();
    assert_eq!(written, b"stopped\n");
}
