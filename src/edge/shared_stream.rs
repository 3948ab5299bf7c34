//! TCP stream of an HTTP connection that others may look at while its task uses it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream; all clones are of the same socket.
#[derive(Clone, Debug)]
pub struct SharedStream(Rc<Socket>);

/// Handle of a stream that does not keep its socket open.
#[derive(Clone, Debug)]
pub struct StreamHandle(Weak<Socket>);

#[derive(Debug)]
struct Socket {
    stream: RefCell<TcpStream>,
    /// Number of bytes that may still arrive before the head of a response is complete;
    /// absent while none is awaited.
    head_left: Cell<Option<usize>>,
}

impl StreamHandle {
    /// Returns the stream, unless its socket is closed.
    pub fn upgrade(&self) -> Option<SharedStream> {
        self.0.upgrade().map(SharedStream)
    }
}

impl SharedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        SharedStream(Rc::new(Socket {
            stream: RefCell::new(stream),
            head_left: Cell::new(None),
        }))
    }

    /// Returns a handle that does not keep the socket open.
    pub fn handle(&self) -> StreamHandle {
        StreamHandle(Rc::downgrade(&self.0))
    }

    /// Limits what may arrive before the head of the next response is complete, bytes, or
    /// lifts that limit. A read beyond it fails.
    pub fn limit_head(&self, bytes: Option<usize>) {
        self.0.head_left.set(bytes);
    }

    /// Looks for bytes that have arrived and were not read; returns 0 at the end of the
    /// stream. Asks the socket, because the event loop may not have seen them.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if there are none.
    pub fn peek(&self) -> io::Result<usize> {
        SockRef::from(&*self.0.stream.borrow()).peek(&mut [MaybeUninit::uninit()])
    }

    /// Tells the other side that nothing more comes; what it sends can still be read.
    pub fn close_write(&self) -> io::Result<()> {
        SockRef::from(&*self.0.stream.borrow()).shutdown(Shutdown::Write)
    }

    /// Writes `bytes` as far as the send buffer has room.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.0.stream.borrow().try_write(bytes)
    }

    /// Sets whether the connection ends with a reset when the socket is closed, also if the
    /// process is killed.
    pub fn reset_on_close(&self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&*self.0.stream.borrow()).set_linger(linger) {
            log::warn!(error:%; "cannot set how a connection ends");
        }
    }

    /// Waits until bytes or the end of the stream have arrived.
    pub async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| self.0.stream.borrow().poll_read_ready(cx)).await
    }

    /// Returns whether the other side has closed its end of a readable stream.
    pub fn is_read_closed(&self) -> bool {
        let stream = self.0.stream.borrow();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
    }

    /// Calls `poll` with the stream.
    fn poll_with<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<T>) -> Poll<T> {
        poll(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let head_left = self.0.head_left.get();
        if head_left == Some(0) {
            let error = "the head of the response is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buffer.filled().len();
        ready!(self.poll_with(|stream| stream.poll_read(cx, buffer)))?;
        let arrived = buffer.filled().len() - before;
        let head_left = head_left.map(|left| left.saturating_sub(arrived));
        self.0.head_left.set(head_left);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(|stream| stream.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with(|stream| stream.poll_shutdown(cx))
    }
}
