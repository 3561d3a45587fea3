//! Authentication of the project's own processes.

use std::io;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_wire::{auth, frame, session};
use tokio_util::codec;

type Client = frame::Codec<session::FromNode, session::FromControl>;
type Server = frame::Codec<session::FromControl, session::FromNode>;

const SECRET: &[u8] = b"the shared secret";

fn renew() -> session::FromNode {
    session::FromNode::from(session::Renew {
        sequence: 1,
        version: 2,
        load: Vec::new(),
        health: None,
    })
}

/// Guards against losing frames that the client sends right behind its proof: they may
/// arrive together with it in one read.
#[tokio::test]
async fn frames_right_behind_the_proof_are_received() {
    let (client, server) = tokio::io::duplex(4096);
    let sending = async {
        let io = auth::connect(client, auth::Kind::Session, SECRET).await?;
        let mut frames = codec::Framed::new(io, Client::new());
        frames.send(&renew()).await?;
        Ok::<_, io::Error>(frames)
    };
    let receiving = async {
        // The client runs first, so that its proof and its frame both wait here.
        tokio::task::yield_now().await;
        let io = auth::accept(server, auth::Kind::Session, SECRET).await?;
        let mut frames = codec::Framed::new(io, Server::new());
        frames.next().await.expect("a frame arrives")
    };
    let (sent, received) = tokio::join!(sending, receiving);
    sent.expect("the client succeeds");
    assert_eq!(received.expect("the server succeeds"), renew());
}

/// Guards against a process that does not know the secret, on either side.
#[tokio::test]
async fn a_wrong_secret_is_refused() {
    let (client, server) = tokio::io::duplex(4096);
    let (connected, accepted) = tokio::join!(
        auth::connect(client, auth::Kind::Stream, b"another secret"),
        auth::accept(server, auth::Kind::Stream, SECRET),
    );
    let refused = connected.expect_err("the server's proof does not fit");
    assert_eq!(refused.kind(), io::ErrorKind::PermissionDenied);
    assert!(accepted.is_err());
}

/// Guards against a proof for one kind of connection being used for another.
#[tokio::test]
async fn a_proof_serves_one_kind_of_connection() {
    let (client, server) = tokio::io::duplex(4096);
    let (connected, accepted) = tokio::join!(
        auth::connect(client, auth::Kind::Session, SECRET),
        auth::accept(server, auth::Kind::Replica, SECRET),
    );
    assert!(connected.is_err());
    assert!(accepted.is_err());
}

/// Guards against a hostile length that would make the server reserve memory.
#[tokio::test]
async fn a_long_first_step_is_refused() {
    let (mut client, server) = tokio::io::duplex(4096);
    tokio::io::AsyncWriteExt::write_all(&mut client, &[0xff; 64])
        .await
        .expect("the pipe takes the bytes");
    let refused = auth::accept(server, auth::Kind::Stream, SECRET).await;
    let refused = refused.expect_err("the length is too large");
    assert_eq!(refused.kind(), io::ErrorKind::InvalidData);
}
