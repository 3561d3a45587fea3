//! Mutual authentication of nodes and control replicas.
//!
//! Each role proves that it knows the shared secret of the settings without sending it: it answers
//! the random challenge of the other role with an HMAC-SHA256 over both challenges, the kind of the
//! connection and its own role.

use std::io;

use hmac::Mac;
use prost::Message;
use rand::Rng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::frame;

type Hmac = hmac::Hmac<sha2::Sha256>;

/// Kind of a connection; a proof for one kind is not valid for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Connection between control replicas.
    Replica = 1,
    /// Session of a node with a control replica.
    Session = 2,
    /// Connection between nodes, for requests.
    Stream = 3,
}

/// One message of the authentication.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Step {
    #[prost(bytes = "vec", tag = "1")]
    challenge: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    proof: Vec<u8>,
}

/// Largest step, in bytes: two fields of 32 bytes with their tags and lengths.
const MAX_STEP: usize = 128;

/// Authenticates as the client, which opened the connection, and returns the connection.
///
/// # Errors
///
/// Fails if the connection fails or the peer does not know the secret.
pub async fn connect<Io>(mut io: Io, kind: Kind, secret: &[u8]) -> io::Result<Io>
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let own_challenge = generate_challenge();
    send(&mut io, &own_challenge, &[]).await?;
    let answer = receive(&mut io).await?;
    verify(
        secret,
        b"server",
        kind,
        &own_challenge,
        &answer.challenge,
        &answer.proof,
    )?;
    let proof = proof(secret, b"client", kind, &own_challenge, &answer.challenge);
    send(&mut io, &[], &proof).await?;
    Ok(io)
}

/// Authenticates as the server, which accepted the connection, and returns the connection.
///
/// # Errors
///
/// Fails if the connection fails or the peer does not know the secret.
pub async fn accept<Io>(mut io: Io, kind: Kind, secret: &[u8]) -> io::Result<Io>
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let peer_challenge = receive(&mut io).await?.challenge;
    let own_challenge = generate_challenge();
    let proof = proof(secret, b"server", kind, &peer_challenge, &own_challenge);
    send(&mut io, &own_challenge, &proof).await?;
    let answer = receive(&mut io).await?;
    verify(
        secret,
        b"client",
        kind,
        &peer_challenge,
        &own_challenge,
        &answer.proof,
    )?;
    Ok(io)
}

fn generate_challenge() -> [u8; 32] {
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

/// Reads exactly one step: the bytes after it belong to the protocol that uses the connection.
async fn receive<Io>(io: &mut Io) -> io::Result<Step>
where
    Io: AsyncRead + Unpin,
{
    let length = io.read_u32().await? as usize;
    if length > MAX_STEP {
        let text = "the authentication message of the peer is too long";
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut bytes = [0; MAX_STEP];
    io.read_exact(&mut bytes[..length]).await?;
    Step::decode(&bytes[..length])
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

fn mac(secret: &[u8], role: &[u8], kind: Kind, client: &[u8], server: &[u8]) -> Hmac {
    let mut mac = Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length");
    mac.update(role);
    mac.update(&[kind as u8]);
    // The lengths ensure that different pairs of challenges never give the same input.
    for challenge in [client, server] {
        mac.update(&(challenge.len() as u64).to_be_bytes());
        mac.update(challenge);
    }
    mac
}

fn proof(secret: &[u8], role: &[u8], kind: Kind, client: &[u8], server: &[u8]) -> Vec<u8> {
    let mac = mac(secret, role, kind, client, server);
    mac.finalize().into_bytes().to_vec()
}

fn verify(
    secret: &[u8],
    role: &[u8],
    kind: Kind,
    client: &[u8],
    server: &[u8],
    proof: &[u8],
) -> io::Result<()> {
    // `verify_slice` compares in constant time.
    mac(secret, role, kind, client, server)
        .verify_slice(proof)
        .map_err(|_| {
            let text = "the authentication proof of the peer does not match the shared secret";
            io::Error::new(io::ErrorKind::PermissionDenied, text)
        })
}
