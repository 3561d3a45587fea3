//! Many clients at once that stop short of the end of their requests, send bodies without end, or do not
//! read their answers.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

use crate::{assert_serving, resident_memory, support};

/// Number of clients.
const CLIENTS: usize = 150;
/// Longest time in which a client sends all that it has to send.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer of a client, in bytes; it reads nothing.
const RECEIVE_BUFFER: u32 = 4 * 1024;

/// Lets each client send `once`, and then `repeated` up to `times` times; checks the processes while
/// the clients are connected.
async fn check_with_crowd(once: &str, repeated: &[u8], times: usize) {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let address = world.vms[number % 2].caller().parse().unwrap();
        let (once, repeated) = (once.as_bytes().to_vec(), repeated.to_vec());
        clients.spawn(async move {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
            let mut io: TcpStream = socket.connect(address).await.ok()?;
            let sending = async {
                io.write_all(&once).await?;
                for _ in 0..times {
                    io.write_all(&repeated).await?;
                }
                std::io::Result::Ok(())
            };
            // The node may refuse the client, or stop reading.
            let _ = time::timeout(SEND_TIMEOUT, sending).await;
            Some(io)
        });
    }
    let open = clients.join_all().await;
    assert_serving(&world, &before).await;
    drop(open);
    assert_serving(&world, &before).await;
}

fn post(fields: &str) -> String {
    format!("POST /s/refunds/crowd HTTP/1.1\r\nhost: node\r\n{fields}\r\n")
}

fn chunk(length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against nodes that run out of memory by bodies in large chunks whose end does not arrive.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_that_stop_short_of_their_end() {
    let head = post("transfer-encoding: chunked\r\n");
    check_with_crowd(&head, &chunk(60_000), 15).await;
}

/// Guards against the same by small chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_that_stop_short_of_their_end() {
    let head = post("transfer-encoding: chunked\r\n");
    check_with_crowd(&head, &chunk(8), 100_000).await;
}

/// Guards against the same by bodies that are short enough to be kept for a retry.
#[tokio::test(flavor = "multi_thread")]
async fn short_bodies_that_stop_a_byte_short() {
    let head = post("content-length: 65536\r\n");
    check_with_crowd(&head, &[b'x'; 65_535], 1).await;
}

/// Guards against the same by bodies without end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end() {
    let head = post("transfer-encoding: chunked\r\n");
    check_with_crowd(&head, &chunk(60_000), usize::MAX).await;
}

/// Guards against requests sent ahead, and answers that pile up unread.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_whose_answers_are_not_read() {
    let request = "GET /s/refunds/crowd HTTP/1.1\r\nhost: node\r\n\r\n";
    check_with_crowd("", request.as_bytes(), 4_000).await;
}
