//! HTTP/1.1 over blocking sockets: messages with a length, as clients, servers and operators of the
//! cases send them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response. `start` is the first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or zero.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads the head of a message; returns it with the bytes of the body that came along.
pub fn read_head(io: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut buffer = [0; 64 * 1024];
    let end = loop {
        if let Some(end) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            break end;
        }
        let count = io.read(&mut buffer)?;
        if count == 0 {
            return match rest.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        rest.extend_from_slice(&buffer[..count]);
    };
    let head: Vec<u8> = rest.drain(..end + 4).collect();
    let head = String::from_utf8_lossy(&head);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Ok(Some(Message {
        start,
        fields: fields.collect(),
        body: Vec::new(),
    }))
}

/// Reads a whole message; returns `None` at the end of the connection.
pub fn read(io: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(io, rest)? else {
        return Ok(None);
    };
    let length = message.field("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut buffer = [0; 64 * 1024];
    while rest.len() < length {
        let count = io.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&buffer[..count]);
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut io = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(timeout))?;
    io.set_write_timeout(Some(timeout))?;
    let length = body.len();
    let head = format!("{head}host: {address}\r\ncontent-length: {length}\r\n\r\n");
    io.write_all(head.as_bytes())?;
    io.write_all(body)?;
    let answer = read(&mut io, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
