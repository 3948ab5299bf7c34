//! Mutual authentication with the shared key at the start of a link.
//!
//! Both sides send a [`Hello`] with a fresh nonce. The dialler then sends
//! an HMAC over both hellos, and the listener sends its own only after it has
//! verified that one, so an unauthenticated client receives no proof. The role of
//! the sender is part of the HMAC, which prevents reflection of a proof.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;

use super::frame::{self, FrameReader, Traffic};
use super::wire::{Body, Hello, Proof, WIRE_VERSION};
use super::{LinkLimits, PeerSettings};
use crate::config::Name;

/// Largest frame of a handshake, bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1 << 10;
/// Shortest nonce that is accepted, bytes.
const MIN_NONCE_BYTES: usize = 32;

/// Side of a handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub enum Role {
    /// The side that connected.
    Dialler,
    /// The side that accepted.
    Listener,
}

/// Why a handshake failed.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection failed, timed out or carried no valid frame.
    #[error("handshake failed: {0}")]
    Io(#[from] io::Error),
    /// A frame of an unexpected type arrived.
    #[error("unexpected frame during the handshake")]
    UnexpectedFrame,
    /// The other side uses another version.
    #[error("wire version {0}, expected {WIRE_VERSION}")]
    Version(u32),
    /// The other side serves another firm.
    #[error("peer belongs to another firm, {0:?}")]
    Firm(String),
    /// The host name of the other side is unknown or not the expected one.
    #[error("unexpected host {0:?}")]
    Host(String),
    /// The nonce is too short.
    #[error("nonce of {0} bytes is too short")]
    Nonce(usize),
    /// The proof does not match the shared key.
    #[error("host {0:?} does not have the shared key")]
    Key(String),
}

/// The authenticated other side of a connection.
pub struct AuthenticatedPeer {
    /// Name of the other side.
    pub host: Name,
    /// Incarnation of the other side.
    pub incarnation: u64,
    /// Reader of the connection; it may have buffered bytes after the handshake.
    pub reader: FrameReader,
}

/// Runs one handshake within [`LinkLimits::handshake_timeout`]; `is_expected`
/// returns whether the other side may have a host name.
pub fn run(
    settings: &PeerSettings,
    stream: &TcpStream,
    role: Role,
    traffic: &Arc<Traffic>,
    is_expected: impl Fn(&str) -> bool,
) -> Result<AuthenticatedPeer, HandshakeError> {
    let mut session = Session {
        deadline: Instant::now() + settings.limits.handshake_timeout,
        limits: settings.limits,
        reader: FrameReader::new(
            stream.try_clone()?,
            MAX_HANDSHAKE_FRAME_BYTES,
            traffic.clone(),
        ),
        stream,
        traffic,
    };
    let local_hello = new_hello(settings);
    session.write(Body::Hello(local_hello.clone()))?;
    let remote_hello = session.read_hello()?;
    check_hello(settings, &remote_hello, is_expected)?;
    let proofs = match role {
        Role::Dialler => Proofs::new(settings, &local_hello, &remote_hello),
        Role::Listener => Proofs::new(settings, &remote_hello, &local_hello),
    };
    match role {
        Role::Dialler => {
            session.send_proof(&proofs, role)?;
            session.read_proof(&proofs, Role::Listener, &remote_hello)?;
        }
        Role::Listener => {
            session.read_proof(&proofs, Role::Dialler, &remote_hello)?;
            session.send_proof(&proofs, role)?;
        }
    }
    Ok(session.finish(&remote_hello))
}

fn new_hello(settings: &PeerSettings) -> Hello {
    Hello {
        wire: WIRE_VERSION,
        firm: settings.firm.to_string(),
        host: settings.host.to_string(),
        incarnation: settings.incarnation,
        nonce: rand::random::<[u8; MIN_NONCE_BYTES]>().to_vec(),
    }
}

fn check_hello(
    settings: &PeerSettings,
    remote_hello: &Hello,
    is_expected: impl Fn(&str) -> bool,
) -> Result<(), HandshakeError> {
    if remote_hello.wire != WIRE_VERSION {
        return Err(HandshakeError::Version(remote_hello.wire));
    }
    if remote_hello.firm != *settings.firm {
        return Err(HandshakeError::Firm(remote_hello.firm.clone()));
    }
    if !is_expected(&remote_hello.host) {
        return Err(HandshakeError::Host(remote_hello.host.clone()));
    }
    if remote_hello.nonce.len() < MIN_NONCE_BYTES {
        return Err(HandshakeError::Nonce(remote_hello.nonce.len()));
    }
    Ok(())
}

struct Session<'a> {
    deadline: Instant,
    limits: LinkLimits,
    reader: FrameReader,
    stream: &'a TcpStream,
    traffic: &'a Arc<Traffic>,
}

impl Session<'_> {
    fn write(&self, body: Body) -> Result<(), HandshakeError> {
        let n = frame::write(
            self.stream,
            body,
            MAX_HANDSHAKE_FRAME_BYTES,
            self.limits.handshake_timeout,
        )?;
        self.traffic.add_sent(n);
        Ok(())
    }

    fn read_hello(&mut self) -> Result<Hello, HandshakeError> {
        match self.reader.read_frame(self.deadline)?.body {
            Some(Body::Hello(hello)) => Ok(hello),
            _ => Err(HandshakeError::UnexpectedFrame),
        }
    }

    fn send_proof(&self, proofs: &Proofs, role: Role) -> Result<(), HandshakeError> {
        let mac = proofs.mac(role).finalize().into_bytes().to_vec();
        self.write(Body::Proof(Proof { mac }))
    }

    fn read_proof(
        &mut self,
        proofs: &Proofs,
        role: Role,
        remote_hello: &Hello,
    ) -> Result<(), HandshakeError> {
        let Some(Body::Proof(proof)) = self.reader.read_frame(self.deadline)?.body else {
            return Err(HandshakeError::UnexpectedFrame);
        };
        // `verify_slice` compares in constant time.
        let result = proofs.mac(role).verify_slice(&proof.mac);
        result.map_err(|_| HandshakeError::Key(remote_hello.host.clone()))
    }

    fn finish(mut self, remote_hello: &Hello) -> AuthenticatedPeer {
        self.reader.set_limit(self.limits.frame_bytes);
        AuthenticatedPeer {
            host: remote_hello.host.as_str().into(),
            incarnation: remote_hello.incarnation,
            reader: self.reader,
        }
    }
}

/// HMAC over both hellos, from which the proofs of both sides are derived.
struct Proofs {
    hmac: Hmac<Sha256>,
}

impl Proofs {
    fn new(settings: &PeerSettings, dialler: &Hello, listener: &Hello) -> Self {
        let key = settings.key.as_bytes();
        let mut hmac = Hmac::<Sha256>::new_from_slice(key).expect("any length is valid");
        hmac.update(&dialler.encode_length_delimited_to_vec());
        hmac.update(&listener.encode_length_delimited_to_vec());
        Proofs { hmac }
    }

    fn mac(&self, role: Role) -> Hmac<Sha256> {
        let name: &str = role.into();
        self.hmac.clone().chain_update(name)
    }
}
