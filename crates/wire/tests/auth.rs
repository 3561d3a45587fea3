//! Mutual authentication of nodes and control replicas.

use std::io;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_wire::{auth, frame, session};
use tokio_util::codec;

type Client = frame::Codec<session::FromNode, session::FromControl>;
type Server = frame::Codec<session::FromControl, session::FromNode>;

const SECRET: &[u8] = b"the shared secret";

fn renewal() -> session::FromNode {
    session::FromNode::from(session::Renew {
        sequence: 1,
        version: 2,
        load: Vec::new(),
        health: None,
    })
}

/// Guards against losing frames that the client sends immediately after its proof: both can arrive
/// in one read, and a handshake that reads ahead would discard the frames.
#[tokio::test]
async fn frames_sent_immediately_after_the_proof_are_received() {
    let (client, server) = tokio::io::duplex(4096);
    let sending = async {
        let io = auth::connect(client, auth::Kind::Session, SECRET).await?;
        let mut frames = codec::Framed::new(io, Client::new());
        frames.send(&renewal()).await?;
        Ok::<_, io::Error>(frames)
    };
    let receiving = async {
        // Lets the client run first, so that its proof and its frame are both in the pipe.
        tokio::task::yield_now().await;
        let io = auth::accept(server, auth::Kind::Session, SECRET).await?;
        let mut frames = codec::Framed::new(io, Server::new());
        frames.next().await.expect("a frame arrives")
    };
    let (sent, received) = tokio::join!(sending, receiving);
    sent.expect("the client succeeds");
    assert_eq!(received.expect("the server succeeds"), renewal());
}

/// Guards against accepting a peer that does not know the secret, on either side.
#[tokio::test]
async fn a_wrong_secret_is_refused() {
    let (client, server) = tokio::io::duplex(4096);
    let (connected, accepted) = tokio::join!(
        auth::connect(client, auth::Kind::Stream, b"another secret"),
        auth::accept(server, auth::Kind::Stream, SECRET),
    );
    let error = connected.expect_err("the server's proof does not match");
    assert_eq!(error.kind(), io::ErrorKind::PermissionDenied);
    assert!(accepted.is_err());
}

/// Guards against accepting a proof for one kind of connection on another kind.
#[tokio::test]
async fn a_proof_is_valid_for_one_kind_of_connection() {
    let (client, server) = tokio::io::duplex(4096);
    let (connected, accepted) = tokio::join!(
        auth::connect(client, auth::Kind::Session, SECRET),
        auth::accept(server, auth::Kind::Replica, SECRET),
    );
    assert!(connected.is_err());
    assert!(accepted.is_err());
}

/// Guards against reserving memory for the length that an unauthenticated peer announces.
#[tokio::test]
async fn a_first_step_over_the_limit_is_refused() {
    let (mut client, server) = tokio::io::duplex(4096);
    tokio::io::AsyncWriteExt::write_all(&mut client, &[0xff; 64])
        .await
        .expect("the pipe has room for the bytes");
    let result = auth::accept(server, auth::Kind::Stream, SECRET).await;
    let error = result.expect_err("the length is too large");
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
}
