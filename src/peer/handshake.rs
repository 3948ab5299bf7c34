//! Mutual proof of the shared key at the start of a link.
//!
//! Both sides send a [`Hello`] with a fresh nonce. The dialler then proves the
//! key over both hellos, and the listener answers with its own proof only when
//! that one is right, so a stranger learns no proof at all. The role of the
//! prover is part of the proof, so none can be sent back to its maker.

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
const HANDSHAKE_BYTES: usize = 1 << 10;
/// Shortest nonce that is accepted, bytes.
const NONCE_BYTES: usize = 32;

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
pub enum Refused {
    /// The connection broke, timed out or carried no valid frame.
    #[error("no handshake: {0}")]
    Broken(#[from] io::Error),
    /// A frame of another kind came.
    #[error("an unexpected frame in the handshake")]
    Unexpected,
    /// The other side speaks another version.
    #[error("wire version {0} instead of {WIRE_VERSION}")]
    Version(u32),
    /// The other side serves another firm.
    #[error("firm {0:?} is not ours")]
    Firm(String),
    /// The other side is not the expected or no known host.
    #[error("host {0:?} is not expected here")]
    Host(String),
    /// The nonce is too short.
    #[error("a nonce of {0} bytes is too short")]
    Nonce(usize),
    /// The proof does not fit the shared key.
    #[error("host {0:?} has a wrong key")]
    Key(String),
}

/// A connection whose other side has proved the key.
pub struct Proven {
    /// Name of the other side.
    pub host: Name,
    /// Incarnation of the other side.
    pub incarnation: u64,
    /// Reader that may hold bytes after the handshake.
    pub reader: FrameReader,
}

/// Runs one handshake within [`LinkLimits::handshake_timeout`]; `known` says which
/// host name may be on the other side.
pub fn run(
    settings: &PeerSettings,
    stream: &TcpStream,
    role: Role,
    traffic: &Arc<Traffic>,
    known: impl Fn(&str) -> bool,
) -> Result<Proven, Refused> {
    let mut session = Session {
        until: Instant::now() + settings.limits.handshake_timeout,
        limits: settings.limits,
        reader: FrameReader::new(stream.try_clone()?, HANDSHAKE_BYTES, traffic.clone()),
        stream,
        traffic,
    };
    let ours = hello(settings);
    session.write(Body::Hello(ours.clone()))?;
    let theirs = session.hello()?;
    check(settings, &theirs, known)?;
    let proofs = match role {
        Role::Dialler => Proofs::new(settings, &ours, &theirs),
        Role::Listener => Proofs::new(settings, &theirs, &ours),
    };
    match role {
        Role::Dialler => {
            session.prove(&proofs, role)?;
            session.verify(&proofs, Role::Listener, &theirs)?;
        }
        Role::Listener => {
            session.verify(&proofs, Role::Dialler, &theirs)?;
            session.prove(&proofs, role)?;
        }
    }
    Ok(session.finish(&theirs))
}

fn hello(settings: &PeerSettings) -> Hello {
    Hello {
        wire: WIRE_VERSION,
        firm: settings.firm.to_string(),
        host: settings.host.to_string(),
        incarnation: settings.incarnation,
        nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
    }
}

fn check(
    settings: &PeerSettings,
    theirs: &Hello,
    known: impl Fn(&str) -> bool,
) -> Result<(), Refused> {
    if theirs.wire != WIRE_VERSION {
        return Err(Refused::Version(theirs.wire));
    }
    if theirs.firm != *settings.firm {
        return Err(Refused::Firm(theirs.firm.clone()));
    }
    if !known(&theirs.host) {
        return Err(Refused::Host(theirs.host.clone()));
    }
    if theirs.nonce.len() < NONCE_BYTES {
        return Err(Refused::Nonce(theirs.nonce.len()));
    }
    Ok(())
}

struct Session<'a> {
    until: Instant,
    limits: LinkLimits,
    reader: FrameReader,
    stream: &'a TcpStream,
    traffic: &'a Arc<Traffic>,
}

impl Session<'_> {
    fn write(&self, body: Body) -> Result<(), Refused> {
        let n = frame::write(
            self.stream,
            body,
            HANDSHAKE_BYTES,
            self.limits.handshake_timeout,
        )?;
        self.traffic.wrote(n);
        Ok(())
    }

    fn hello(&mut self) -> Result<Hello, Refused> {
        match self.reader.next(self.until)?.body {
            Some(Body::Hello(hello)) => Ok(hello),
            _ => Err(Refused::Unexpected),
        }
    }

    fn prove(&self, proofs: &Proofs, role: Role) -> Result<(), Refused> {
        let mac = proofs.of(role).finalize().into_bytes().to_vec();
        self.write(Body::Proof(Proof { mac }))
    }

    fn verify(&mut self, proofs: &Proofs, role: Role, theirs: &Hello) -> Result<(), Refused> {
        let Some(Body::Proof(proof)) = self.reader.next(self.until)?.body else {
            return Err(Refused::Unexpected);
        };
        // `verify_slice` compares in constant time.
        let right = proofs.of(role).verify_slice(&proof.mac);
        right.map_err(|_| Refused::Key(theirs.host.clone()))
    }

    fn finish(mut self, theirs: &Hello) -> Proven {
        self.reader.set_limit(self.limits.frame_bytes);
        Proven {
            host: theirs.host.as_str().into(),
            incarnation: theirs.incarnation,
            reader: self.reader,
        }
    }
}

/// Makes the proofs of both sides.
struct Proofs {
    keyed: Hmac<Sha256>,
}

impl Proofs {
    fn new(settings: &PeerSettings, dialler: &Hello, listener: &Hello) -> Self {
        let key = settings.key.as_bytes();
        let mut keyed = Hmac::<Sha256>::new_from_slice(key).expect("any length is valid");
        keyed.update(&dialler.encode_length_delimited_to_vec());
        keyed.update(&listener.encode_length_delimited_to_vec());
        Proofs { keyed }
    }

    fn of(&self, role: Role) -> Hmac<Sha256> {
        let name: &str = role.into();
        self.keyed.clone().chain_update(name)
    }
}
