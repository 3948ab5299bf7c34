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

/// Size of the buffer of one read from a socket, bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Byte counters over all links.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Returns the number of bytes written.
    pub fn sent(&self) -> u64 {
        self.sent.load(Relaxed)
    }

    /// Returns the number of bytes read.
    pub fn received(&self) -> u64 {
        self.received.load(Relaxed)
    }

    /// Adds `n` written bytes.
    pub fn add_sent(&self, n: usize) {
        self.sent.fetch_add(n as u64, Relaxed);
    }
}

/// Returns a codec for frames of at most `limit` bytes.
pub fn codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}

/// Error: a frame of this many bytes exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameTooLarge(pub usize);

/// Encodes one frame with its length prefix.
pub fn encode(body: Option<Body>, limit: usize) -> Result<Bytes, FrameTooLarge> {
    let content = Frame { body }.encode_to_vec();
    let size = content.len();
    let mut buf = BytesMut::with_capacity(size + 4);
    let encoded = codec(limit).encode(Bytes::from(content), &mut buf);
    encoded.map_err(|_| FrameTooLarge(size))?;
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
    /// Creates a reader of frames of at most `limit` bytes.
    pub fn new(stream: TcpStream, limit: usize, traffic: Arc<Traffic>) -> Self {
        FrameReader {
            stream,
            codec: codec(limit),
            buf: BytesMut::new(),
            traffic,
        }
    }

    /// Sets the largest size of the frames that follow, bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.codec.set_max_frame_length(limit);
    }

    /// Reads the next frame, blocking until `deadline`. Parts of a frame do not
    /// extend the deadline.
    pub fn read_frame(&mut self, deadline: Instant) -> io::Result<Frame> {
        loop {
            if let Some(content) = self.codec.decode(&mut self.buf)? {
                return Frame::decode(content).map_err(io::Error::other);
            }
            self.fill_buffer(deadline)?;
        }
    }

    /// Reads once from the socket into the buffer.
    fn fill_buffer(&mut self, deadline: Instant) -> io::Result<()> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(remaining))?;
        let mut chunk = [0; READ_BUFFER_BYTES];
        let n = match self.stream.read(&mut chunk) {
            Ok(n) => n,
            // The read returns EINTR when a paused process resumes.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            Err(e) => return Err(e),
        };
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.traffic.received.fetch_add(n as u64, Relaxed);
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(())
    }
}

/// Writes one frame of a handshake, without the send queue.
pub fn write(stream: &TcpStream, body: Body, limit: usize, timeout: Duration) -> io::Result<usize> {
    let bytes = encode(Some(body), limit).map_err(|_| io::ErrorKind::InvalidInput)?;
    stream.set_write_timeout(Some(timeout))?;
    (&*stream).write_all(&bytes)?;
    Ok(bytes.len())
}
