//! Log lines on their way to standard output.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use sequoiayoke_telemetry::output;
use tracing_subscriber::fmt::MakeWriter;

/// Longest time that writing a line may take when standard output is blocked.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A target that takes nothing until its gate opens.
struct Blocked {
    gate: mpsc::Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.gate.recv().map_err(io::Error::other)?;
            self.is_open = true;
        }
        let mut written = self.written.lock().expect("not poisoned");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(output: &output::Output, text: &str) {
    let mut writer = output.make_writer();
    writer
        .write_all(text.as_bytes())
        .expect("a line is only kept");
}

/// Guards against a request that waits for a blocked standard output, and against
/// lines that vanish without a count.
#[test]
fn a_blocked_standard_output_delays_nobody_and_lost_lines_are_counted() {
    let (open, gate) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let target = Blocked {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let output = output::Output::new(target).expect("a thread");
    let start = Instant::now();
    for number in 0..5_000 {
        line(&output, &format!("line {number}\n"));
    }
    assert!(start.elapsed() < AT_ONCE);
    assert!(output.dropped() > 0);
    open.send(()).expect("the target waits");
    while !output.flush(Duration::from_secs(5)) {}
    line(&output, "after\n");
    assert!(output.flush(Duration::from_secs(5)));
    let written = written.lock().expect("not poisoned").clone();
    let text = String::from_utf8(written).expect("text");
    assert!(text.starts_with("line 0\n"));
    assert!(text.contains("log lines dropped"));
    assert!(text.contains("after\n"));
}

/// A target that says when a write has begun and takes it when it is told to.
struct Stepped {
    begun: mpsc::Sender<usize>,
    gate: mpsc::Receiver<()>,
}

impl Write for Stepped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.begun.send(bytes.len()).map_err(io::Error::other)?;
        self.gate.recv().map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a count of lost lines that is forgotten while its report waits to be
/// written, and against a batch that grows as long as lines come.
#[test]
fn lost_lines_count_until_their_number_is_written() {
    let ((begun, writes), (open, gate)) = (mpsc::channel(), mpsc::channel());
    let output = output::Output::new(Stepped { begun, gate }).expect("a thread");
    line(&output, "first\n");
    assert_eq!(writes.recv(), Ok("first\n".len()));
    for _ in 0..3_000 {
        line(&output, "more\n");
    }
    let lost = output.dropped();
    assert!(lost > 0);
    open.send(()).expect("the target waits");
    let bytes = writes.recv().expect("a second batch");
    assert!(bytes < 3_000, "{bytes} bytes at once");
    assert_eq!(output.dropped(), lost);
}

/// Guards against a process that ends before its last line is written.
#[test]
fn a_flush_waits_for_the_lines_before_it() {
    let (open, gate) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let target = Blocked {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let output = output::Output::new(target).expect("a thread");
    line(&output, "stopped\n");
    assert!(!output.flush(Duration::from_millis(20)));
    open.send(()).expect("the target waits");
    assert!(output.flush(Duration::from_secs(5)));
    let written = written.lock().expect("not poisoned").clone();
    assert_eq!(written, b"stopped\n");
}
