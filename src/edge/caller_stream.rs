//! Stream of a caller's connection that records when heads arrive and responses end.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use http::Version;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::connections::{Connection, Phase};

/// Size of the buffer for bytes that are discarded.
const DISCARD_CHUNK_BYTES: usize = 16_384;
/// Maximum number of such buffers that are discarded without a turn for other tasks.
const MAX_DISCARD_CHUNKS: usize = 16;

/// Period of looking for the end of a connection behind unread bytes.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Stream of a caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<Connection>,
    /// Whether the connection is reset if it closes now.
    resets: bool,
}

impl CallerStream {
    /// Wraps the stream of `connection`.
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<Connection>) -> Self {
        CallerStream {
            stream,
            connection,
            resets: false,
        }
    }

    /// Returns whether bytes have arrived that were not read.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        SockRef::from(&*self.stream.borrow())
            .peek(&mut byte)
            .is_ok_and(|n| n > 0)
    }

    /// Writes `bytes` as far as the send buffer has room.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.borrow().try_write(bytes)
    }

    /// Makes the connection end with a reset, also if the process is killed, until the
    /// response is complete: an orderly end would mark the end of the response.
    fn guard_response(&mut self) {
        if !self.resets && self.connection.ends_response() {
            self.resets = true;
            self.set_linger(Some(Duration::ZERO));
        }
    }

    /// Makes the connection end in order again.
    fn complete_response(&mut self) {
        if self.resets {
            self.resets = false;
            self.set_linger(None);
        }
    }

    fn set_linger(&self, time: Option<Duration>) {
        if let Err(error) = SockRef::from(&*self.stream.borrow()).set_linger(time) {
            log::warn!(error:%; "cannot set how a caller's connection ends");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buffer))?;
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
        self.guard_response();
        let written = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes))?;
        if self.connection.phase() == Phase::Response {
            self.connection.restart();
        }
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard_response();
        let written =
            ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, slices))?;
        if self.connection.phase() == Phase::Response {
            self.connection.restart();
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    /// The HTTP server flushes when it has written all that it has buffered.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx))?;
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
        self.complete_response();
        if self.connection.phase() != Phase::Discard {
            ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx))?;
            if !self.connection.has_rest() {
                return Poll::Ready(Ok(()));
            }
            self.connection.start(Phase::Discard);
        }
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        for _ in 0..MAX_DISCARD_CHUNKS {
            let mut buffer = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buffer))?;
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
pub async fn closed_in_request(stream: &RefCell<TcpStream>, connection: &Connection) {
    loop {
        let readable = poll_fn(|cx| stream.borrow().poll_read_ready(cx)).await;
        if readable.is_err() {
            // The HTTP server sees the same error.
            std::future::pending().await
        }
        if connection.phase() == Phase::Request && is_read_closed(&stream.borrow()) {
            return;
        }
        // Bytes that the server leaves unread keep the stream readable.
        sleep(CLOSE_CHECK_PERIOD).await;
    }
}

/// Returns whether the other side of a readable stream has closed it.
fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
}

/// Body of a response that records its end.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    connection: Rc<Connection>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response on `connection` to a caller of this HTTP version.
    pub fn new(body: B, connection: Rc<Connection>, version: Version) -> Self
    where
        B: Body,
    {
        let has_length = body.size_hint().exact().is_some();
        if !has_length && version < Version::HTTP_11 {
            connection.end_response_by_close();
        }
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
