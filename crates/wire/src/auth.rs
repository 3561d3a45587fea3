//! Mutual authentication of the project's own processes.
//!
//! Both sides prove that they know the shared secret of the settings without
//! sending it: each answers the other's random challenge with an HMAC-SHA256
//! over both challenges, the kind of connection and its own side.

use std::io;

use hmac::Mac;
use prost::Message;
use rand::Rng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::frame;

type Hmac = hmac::Hmac<sha2::Sha256>;

/// What a connection is for; a proof for one kind does not serve for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Between control replicas.
    Replica = 1,
    /// From a node to control.
    Session = 2,
    /// From node to node.
    Stream = 3,
}

/// One step of the exchange.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Step {
    #[prost(bytes = "vec", tag = "1")]
    challenge: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    proof: Vec<u8>,
}

/// Largest step, in bytes: two fields of 32 bytes and their tags.
const MAX_STEP: usize = 128;

/// Authenticates as the side that connected, and returns the connection.
///
/// # Errors
///
/// Fails if the connection breaks or the other side does not know the secret.
pub async fn connect<Io>(mut io: Io, kind: Kind, secret: &[u8]) -> io::Result<Io>
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let mine = challenge();
    send(&mut io, &mine, &[]).await?;
    let answer = receive(&mut io).await?;
    verify(
        secret,
        b"server",
        kind,
        &mine,
        &answer.challenge,
        &answer.proof,
    )?;
    let proof = proof(secret, b"client", kind, &mine, &answer.challenge);
    send(&mut io, &[], &proof).await?;
    Ok(io)
}

/// Authenticates as the side that was connected to, and returns the connection.
///
/// # Errors
///
/// Fails if the connection breaks or the other side does not know the secret.
pub async fn accept<Io>(mut io: Io, kind: Kind, secret: &[u8]) -> io::Result<Io>
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let theirs = receive(&mut io).await?.challenge;
    let mine = challenge();
    let proof = proof(secret, b"server", kind, &theirs, &mine);
    send(&mut io, &mine, &proof).await?;
    let answer = receive(&mut io).await?;
    verify(secret, b"client", kind, &theirs, &mine, &answer.proof)?;
    Ok(io)
}

fn challenge() -> [u8; 32] {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

async fn send<Io>(io: &mut Io, challenge: &[u8], proof: &[u8]) -> io::Result<()>
where
    Io: AsyncWrite + Unpin,
{
    let step = Step {
        challenge: challenge.to_vec(),
        proof: proof.to_vec(),
    };
    io.write_all(&frame::encode(&step)?).await?;
    io.flush().await
}

/// Reads exactly one step: bytes behind it already belong to the connection's user.
async fn receive<Io>(io: &mut Io) -> io::Result<Step>
where
    Io: AsyncRead + Unpin,
{
    let length = io.read_u32().await? as usize;
    if length > MAX_STEP {
        let text = "the peer does not speak this protocol";
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut bytes = [0; MAX_STEP];
    io.read_exact(&mut bytes[..length]).await?;
    Step::decode(&bytes[..length])
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

fn mac(secret: &[u8], side: &[u8], kind: Kind, client: &[u8], server: &[u8]) -> Hmac {
    let mut mac = Hmac::new_from_slice(secret).expect("HMAC takes a key of any length");
    mac.update(side);
    mac.update(&[kind as u8]);
    // Lengths keep two different pairs of challenges from giving the same input.
    for part in [client, server] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn proof(secret: &[u8], side: &[u8], kind: Kind, client: &[u8], server: &[u8]) -> Vec<u8> {
    let mac = mac(secret, side, kind, client, server);
    mac.finalize().into_bytes().to_vec()
}

fn verify(
    secret: &[u8],
    side: &[u8],
    kind: Kind,
    client: &[u8],
    server: &[u8],
    proof: &[u8],
) -> io::Result<()> {
    // `verify_slice` compares in constant time.
    mac(secret, side, kind, client, server)
        .verify_slice(proof)
        .map_err(|_| {
            let text = "the peer does not know the shared secret";
            io::Error::new(io::ErrorKind::PermissionDenied, text)
        })
}
