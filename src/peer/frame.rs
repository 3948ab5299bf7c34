//! Length-delimited frames over a blocking socket.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::wire::{Body, Frame};

/// Bytes read from a socket at once.
const READ_BYTES: usize = 16 << 10;

/// Counters of the bytes of all links.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Bytes written.
    pub fn sent(&self) -> u64 {
        self.sent.load(Relaxed)
    }

    /// Bytes read.
    pub fn received(&self) -> u64 {
        self.received.load(Relaxed)
    }

    /// Counts `n` written bytes.
    pub fn wrote(&self, n: usize) {
        self.sent.fetch_add(n as u64, Relaxed);
    }
}

/// Codec of frames of at most `limit` bytes.
pub fn codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}

/// A frame of this many bytes exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge(pub usize);

/// The bytes of one frame, length included.
pub fn encode(body: Option<Body>, limit: usize) -> Result<Bytes, TooLarge> {
    let content = Frame { body }.encode_to_vec();
    let size = content.len();
    let mut buf = BytesMut::with_capacity(size + 4);
    let encoded = codec(limit).encode(Bytes::from(content), &mut buf);
    encoded.map_err(|_| TooLarge(size))?;
    Ok(buf.freeze())
}

/// Reads frames from a socket.
pub struct FrameReader {
    stream: TcpStream,
    codec: LengthDelimitedCodec,
    buf: BytesMut,
    traffic: Arc<Traffic>,
}

impl FrameReader {
    /// A reader of frames of at most `limit` bytes.
    pub fn new(stream: TcpStream, limit: usize, traffic: Arc<Traffic>) -> Self {
        FrameReader {
            stream,
            codec: codec(limit),
            buf: BytesMut::new(),
            traffic,
        }
    }

    /// Changes the largest frame from here on.
    pub fn set_limit(&mut self, limit: usize) {
        self.codec.set_max_frame_length(limit);
    }

    /// Blocks for the next frame until `until`; a sender that keeps
    /// sending parts of a frame gains no time.
    pub fn next(&mut self, until: Instant) -> io::Result<Frame> {
        loop {
            if let Some(content) = self.codec.decode(&mut self.buf)? {
                return Frame::decode(content).map_err(io::Error::other);
            }
            self.fill(until)?;
        }
    }

    fn fill(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut part = [0; READ_BYTES];
        let n = match self.stream.read(&mut part) {
            Ok(n) => n,
            // A process that was paused is interrupted when it goes on.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            Err(e) => return Err(e),
        };
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.traffic.received.fetch_add(n as u64, Relaxed);
        self.buf.extend_from_slice(&part[..n]);
        Ok(())
    }
}

/// Writes one frame directly; for handshakes.
pub fn write(stream: &TcpStream, body: Body, limit: usize, wait: Duration) -> io::Result<usize> {
    let bytes = encode(Some(body), limit).map_err(|_| io::ErrorKind::InvalidInput)?;
    stream.set_write_timeout(Some(wait))?;
    (&*stream).write_all(&bytes)?;
    Ok(bytes.len())
}
