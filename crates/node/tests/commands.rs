//! Answers of the backend server to commands and probes.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync;
use std::time::Duration;

use sequoiayoke_node::traffic::server::{self, command};
use sequoiayoke_traffic::health;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time;

/// Time after which an expected event counts as missing.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Bytes that the sockets and the node may take of an answer without end.
const MAX_TAKEN: usize = 16 << 20;

/// Guards against an answer of the health endpoint that never ends and fills the memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_health_answer_without_end_is_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let written = tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        assert_ne!(io.read(&mut request).await.unwrap(), 0);
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
        io.write_all(head).await.unwrap();
        let block = vec![b' '; 1 << 20];
        let mut count = 0;
        while let Ok(size) = io.write(&block).await {
            count += size;
        }
        count
    });
    let backend = server::Backend {
        name: "desk-1".to_owned(),
        instance: "first".to_owned(),
        services: vec!["desk".to_owned()],
        address,
        slots: 1,
        connections: 1,
        checks_fencing: true,
        checks_sender: true,
    };
    let client = server::client(1, MAX_WAIT).unwrap();
    let commander = command::Commander::new(client, sync::Arc::new(backend), "token".into());
    assert_eq!(commander.health().await, health::Probe::Unresponsive);
    let written = time::timeout(MAX_WAIT, written).await;
    let written = written.expect("the connection stays open").unwrap();
    assert!(written < MAX_TAKEN, "{written} bytes");
}
