//! Single exchanges with the backend server: a request and the response to it.

use std::cell;
use std::rc;
use std::time::Duration;

use sequoiayoke_dispatch::memory;
use sequoiayoke_http1::response;
use sequoiayoke_model::clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{Backend, Connection, Context, Error, IDLE_TIMEOUT};
use crate::frontend;
use crate::measure;

/// Size limits of a response, in bytes.
const LIMITS: response::Limits = response::Limits {
    head: 64 * 1024,
    body: 16 * 1024 * 1024,
};
/// Smallest size of the buffer for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Percentage of the memory of the process for all responses that are read at the same time and all
/// requests that were answered early.
const MEMORY_PERCENT: usize = 25;
/// Percentage of the backend server's own idle timeout after which a connection is not reused.
const IDLE_TIMEOUT_PERCENT: u32 = 80;
/// Longest time to write the remainder of a body after an early answer.
const REMAINDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of responses to other requests that are discarded during one exchange.
const MAX_STRAY_RESPONSES: usize = 4;

/// Memory for responses that are being read and requests that were answered early.
#[derive(Clone, Debug)]
pub(super) struct Memory(rc::Rc<cell::RefCell<memory::Pool>>);

impl Memory {
    /// Creates the part of the memory of the process that is for responses.
    pub(super) fn new(process_memory: usize) -> Self {
        let pool = memory::Pool::new(process_memory / 100 * MEMORY_PERCENT);
        Self(rc::Rc::new(cell::RefCell::new(pool)))
    }
}

/// Memory of one response or request; it is returned when dropped.
struct Share {
    memory: Memory,
    bytes: usize,
}

impl Share {
    const fn new(memory: Memory) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Changes the size, and records a new peak of the size of all shares.
    fn resize(&mut self, measure: &measure::Measure, bytes: usize) -> Result<(), Error> {
        let mut pool = self.memory.0.borrow_mut();
        let peak = pool.peak();
        if !pool.resize(self.bytes, bytes) {
            return Err(Error::Memory);
        }
        self.bytes = bytes;
        if pool.peak() > peak {
            measure.set_response_peak(pool.peak());
        }
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.0.borrow_mut().resize(self.bytes, 0);
    }
}

impl Backend {
    /// Writes a request and reads its response; the connection is kept if it can be reused.
    ///
    /// Only a response with the `id` of the request answers it, and only one without an id answers a
    /// request that the node itself makes. Other responses are discarded: a faulty backend server
    /// may repeat an earlier response on the connection.
    pub(super) async fn exchange<Frontend>(
        &self,
        context: &Context<Frontend>,
        mut connection: Connection,
        request: Vec<u8>,
        id: Option<&str>,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let mut written = 0;
        let mut stray = 0;
        let mut share = Share::new(self.memory.clone());
        let mut decoder = response::Decoder::new().with_method(method(&request));
        let Connection { io, input, .. } = &mut connection;
        let response = 'read: loop {
            // Without a reservation, each read takes 64 bytes at most.
            input.reserve(READ_BYTES);
            let (mut reader, mut writer) = io.split();
            let read = tokio::select! {
                biased;
                read = reader.read_buf(input) => read.map_err(Error::Broken)?,
                count = writer.write(&request[written..]), if written < request.len() => {
                    written += count.map_err(Error::Broken)?;
                    continue;
                }
            };
            share.resize(&context.measure, input.len() + decoder.body_len())?;
            // Several responses may arrive in one read.
            while let Some(response) = decoder.decode(input, LIMITS, read == 0)? {
                if is_answer(&context.frontend.response_metadata(&response), id) {
                    // Only the end of the connection has ended this response. A backend server that
                    // has not read its request may have been about to send more.
                    let is_whole = read > 0 || written == request.len();
                    if !is_whole && (200..300).contains(&response.status) {
                        return Err(sequoiayoke_http1::Error::Incomplete.into());
                    }
                    break 'read response;
                }
                stray += 1;
                if context.may_log() {
                    tracing::warn!(id, "discarding a response to another request");
                }
                if stray > MAX_STRAY_RESPONSES || (read == 0 && input.is_empty()) {
                    return Err(Error::Stray);
                }
            }
        };
        let metadata = context.frontend.response_metadata(&response);
        if let Some(id) = id
            && (metadata.is_refusal || metadata.is_misdirected)
        {
            connection.refusals.add(id);
        }
        let is_reusable = response.keeps_alive
            && stray == 0
            && connection.input.is_empty()
            && !connection.refusals.is_full();
        if is_reusable {
            let idle_timeout = response.fields.get("keep-alive").and_then(parse_keep_alive);
            if let Some(idle_timeout) = idle_timeout {
                connection.idle = IDLE_TIMEOUT.min(idle_timeout * IDLE_TIMEOUT_PERCENT / 100);
            }
            connection.used = clock::Instant::now();
            if written == request.len() {
                self.check_in(connection);
            } else if share.resize(&context.measure, request.len()).is_ok() {
                write_remainder(connection, request, written, share);
            } else {
                tracing::debug!("no memory for the rest of a body that was answered early");
            }
        }
        Ok(response)
    }
}

/// Returns whether a response answers the request with this id, or a request without one. The answer
/// to the latter has none of the fields of an answer to a caller's request.
fn is_answer(metadata: &frontend::Metadata<'_>, id: Option<&str>) -> bool {
    let is_for_caller = metadata.is_refusal || metadata.is_misdirected || metadata.has_stamp;
    metadata.id == id && (id.is_some() || !is_for_caller)
}

/// Returns the method of an encoded request.
fn method(request: &[u8]) -> &str {
    let end = request.iter().position(|byte| *byte == b' ');
    std::str::from_utf8(&request[..end.unwrap_or(0)]).unwrap_or_default()
}

/// Writes the remainder of a body that was answered early: the backend server reads it before the
/// next request on the connection.
fn write_remainder(mut connection: Connection, request: Vec<u8>, written: usize, share: Share) {
    tokio::task::spawn_local(async move {
        let _share = share;
        let write = connection.io.write_all(&request[written..]);
        match tokio::time::timeout(REMAINDER_TIMEOUT, write).await {
            Ok(Ok(())) => tracing::debug!("wrote the rest of a body that was answered early"),
            Ok(Err(error)) => tracing::debug!(%error, "the rest of a body could not be written"),
            Err(_) => tracing::debug!("the rest of a body was not read in time"),
        }
    });
}

/// Parses the timeout of a `Keep-Alive` field.
fn parse_keep_alive(field: &str) -> Option<Duration> {
    let parameters = field.split(',').map(str::trim);
    let seconds = parameters
        .filter_map(|parameter| parameter.strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    seconds.map(Duration::from_secs)
}
