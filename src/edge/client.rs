//! Connections to engines and to the store, kept for further requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::clock;
use crate::clock::Moment;

/// Longest time that sent bytes may stay unacknowledged; several round trips
/// of any link, with retransmissions.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_800);
/// Longest time that a connection is kept idle where the other side does not
/// say how long it keeps it.
const IDLE: Duration = Duration::from_secs(4);
/// Time by which a connection is dropped before the other side would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle connections kept for one address.
const IDLE_MOST: usize = 64;

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of it was sent.
    #[error("no connection: {0}")]
    Unreached(String),
    /// It was sent, wholly or in part, and may have run.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// A connection that carries one exchange; dropping it closes the connection.
#[derive(Debug)]
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    addr: SocketAddr,
    home: Weak<RefCell<Pools>>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Conn {
    /// Drops the kept connections to the same address: this one broke, and
    /// the process behind them may be gone.
    pub fn distrust(&self) {
        if let Some(home) = self.home.upgrade() {
            home.borrow_mut().remove(&self.addr);
        }
    }

    /// Keeps the connection for another request, once the answer was read
    /// whole; `idle` is how long the other side keeps it.
    pub fn keep(self, idle: Option<Duration>) {
        let Some(home) = self.home.upgrade() else {
            return;
        };
        let keep = match idle {
            Some(time) if time <= IDLE_MARGIN => time / 2,
            Some(time) => time - IDLE_MARGIN,
            None => IDLE,
        };
        let until = clock::now() + keep;
        let mut pools = home.borrow_mut();
        let pool = pools.entry(self.addr).or_default();
        if pool.len() < IDLE_MOST {
            pool.push(Idle { conn: self, until });
        }
    }
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Moment,
}

type Pools = HashMap<SocketAddr, Vec<Idle>>;

/// Client of engines and of the store.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pools: Rc<RefCell<Pools>>,
}

impl Client {
    /// Sends `request` to `addr`, on a kept connection where there is one.
    ///
    /// Dropping the future closes the connection.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        connect: Duration,
    ) -> Result<(Response<Incoming>, Conn), SendError> {
        loop {
            let (mut conn, kept) = match self.idle(addr) {
                Some(conn) => (conn, true),
                None => (self.connect(addr, connect).await?, false),
            };
            let mut error = match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, conn)),
                Err(error) => error,
            };
            match error.take_message() {
                Some(unsent) if kept => request = unsent,
                Some(_) => return Err(SendError::Unreached(error.error().to_string())),
                None => return Err(SendError::Broken(error.error().to_string())),
            }
        }
    }

    /// Sends a request whose answer is short, and reads that whole.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        times: Times,
    ) -> Result<Response<Bytes>, SendError> {
        let exchange = async {
            let (response, conn) = self.send(addr, request, times.connect).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, times.most).collect().await;
            let body = body.map_err(|e| SendError::Broken(e.to_string()))?;
            conn.keep(crate::platform::headers::parse_response(&head.headers).idle_timeout);
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let silent = || SendError::Broken("no answer in time".to_owned());
        timeout(times.total, exchange).await.map_err(|_| silent())?
    }

    /// Drops kept connections that are too old or closed.
    pub fn sweep(&self) {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.retain(|idle| idle.until > now && !idle.conn.sender.is_closed());
        }
        pools.retain(|_, pool| !pool.is_empty());
    }

    /// Drops all kept connections to `addr`.
    pub fn forget(&self, addr: SocketAddr) {
        self.pools.borrow_mut().remove(&addr);
    }

    /// Drops all kept connections.
    pub fn forget_all(&self) {
        self.pools.borrow_mut().clear();
    }

    /// The kept connection that was used last.
    fn idle(&self, addr: SocketAddr) -> Option<Conn> {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&addr)?;
        pool.retain(|idle| idle.until > now && !idle.conn.sender.is_closed());
        let at = pool.iter().rposition(|idle| idle.conn.sender.is_ready())?;
        Some(pool.remove(at).conn)
    }

    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<Conn, SendError> {
        let unreached = |e: String| SendError::Unreached(e);
        let stream = timeout(limit, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| unreached("no connection in time".to_owned()))?;
        let stream = stream.map_err(|e| unreached(e.to_string()))?;
        prepare(&stream);
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| unreached(e.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(addr:%, error:%; "connection to an upstream ended");
            }
        });
        Ok(Conn {
            sender,
            task,
            addr,
            home: Rc::downgrade(&self.pools),
        })
    }
}

/// Time limits of a short call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// For the connection.
    pub connect: Duration,
    /// For the whole call.
    pub total: Duration,
    /// Longest answer, bytes.
    pub most: usize,
}

/// Sets what every connection needs: small writes go out at once, and a peer
/// that vanished is noticed.
pub fn prepare(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "cannot set TCP_NODELAY");
    }
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)) {
        log::debug!(error:%; "cannot set TCP_USER_TIMEOUT");
    }
}
