//! Stream of a caller's connection that records when heads arrive and responses end.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::sleep;

use super::connections::{Connection, Phase};
use super::shared_stream::SharedStream;

/// Size of the buffer for bytes that are discarded.
const DISCARD_CHUNK_BYTES: usize = 16_384;
/// Maximum number of such buffers that are discarded without a turn for other tasks.
const MAX_DISCARD_CHUNKS: usize = 16;
/// Period of looking for the end of a connection behind unread bytes.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Stream of a caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: SharedStream,
    connection: Rc<Connection>,
}

impl CallerStream {
    /// Wraps the stream of `connection`.
    pub fn new(stream: SharedStream, connection: Rc<Connection>) -> Self {
        CallerStream { stream, connection }
    }

    /// Returns whether bytes have arrived that were not read.
    pub fn has_unread_bytes(&self) -> bool {
        self.stream.peek().is_ok_and(|n| n > 0)
    }

    /// Records what became of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending => self.connection.record_blocked(),
            Poll::Ready(Ok(_)) => self.connection.record_written(),
            Poll::Ready(Err(_)) => {}
        }
    }

    /// Writes `bytes` as far as the send buffer has room.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before && self.connection.phase() == Phase::Idle {
            self.connection.start(Phase::Head);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP server flushes when it has written all that it has buffered.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.connection.phase() == Phase::Response {
            self.connection.start(Phase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    /// The HTTP server shuts a connection down after a complete response only.
    ///
    /// Closing a socket with unread bytes resets the connection, which may destroy the
    /// response on its way, so the rest of a request is read first.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.ends_response() {
            self.stream.reset_on_close(false);
        }
        if self.connection.phase() != Phase::Discard {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.connection.has_rest() {
                return Poll::Ready(Ok(()));
            }
            self.connection.start(Phase::Discard);
        }
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        for _ in 0..MAX_DISCARD_CHUNKS {
            let mut buffer = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

/// Waits until the caller closes the connection while its request is handled. The HTTP
/// server does not see that behind bytes that it leaves unread until the response.
pub async fn closed_in_request(stream: &SharedStream, connection: &Connection) {
    loop {
        if stream.readable().await.is_err() {
            // The HTTP server sees the same error.
            std::future::pending().await
        }
        if connection.phase() == Phase::Request && stream.is_read_closed() {
            return;
        }
        // Bytes that the server leaves unread keep the stream readable.
        sleep(CLOSE_CHECK_PERIOD).await;
    }
}

/// Body of a response that records its end.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    connection: Rc<Connection>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response on `connection`.
    pub fn new(body: B, connection: Rc<Connection>) -> Self {
        TrackedBody { body, connection }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.start(Phase::Response);
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
