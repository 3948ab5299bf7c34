//! HTTP client of engines and of the store, which reuses idle connections.

mod connection;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

pub use connection::Connection;
use connection::IdlePools;

use crate::edge::carried::{Carried, Earlier, IdHash};
use crate::edge::clock;
use crate::edge::shared_stream::SharedStream;
use crate::edge::time_limit::timeout_unless_arrived;
use crate::edge::unreachable::Cause;
use crate::edge::unread_connection::UnreadConnection;
use crate::platform::headers;

/// Maximum time that sent bytes may stay unacknowledged; several round trips of any
/// link, with retransmissions.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Default time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of the head of a response with the informational ones before it, bytes.
pub(in crate::edge) const MAX_HEAD_BYTES: usize = 256 << 10;
/// Maximum number of connections for one request that are not accepted.
const MAX_DECLINED_CONNECTIONS: u32 = 4;

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("request not sent: {1}")]
    NotSent(Cause, String),
    /// No byte of the request was sent, because the recipient wants none any more.
    #[error("request withheld: its recipient wants no requests now")]
    Withheld,
    /// The request was sent, wholly or in part, and may have run.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
}

/// Client of engines and of the store.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pools: Rc<RefCell<IdlePools>>,
}

impl Client {
    /// Sends `request` to `addr`. Dropping the future closes the connection.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        self.send_if(addr, request, options, || true).await
    }

    /// Sends `request` to `addr` if `is_wanted` holds once there is a connection, which may
    /// take its time.
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
        is_wanted: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let keep = async |_: &mut Connection| Ok(true);
        self.send_prepared(addr, request, options, is_wanted, keep)
            .await
    }

    /// Sends `request` to `addr` on a connection that `prepare` has accepted, if `is_wanted` holds
    /// then. A connection that it has not accepted is closed, and another opened; its error ends
    /// the sending.
    pub async fn send_prepared(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        options: SendOptions,
        is_wanted: impl Fn() -> bool,
        prepare: impl AsyncFn(&mut Connection) -> Result<bool, SendError>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let mut declined = 0;
        loop {
            let idle = match options.new_connection {
                true => None,
                false => self.take_idle(addr, options.id),
            };
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(addr, options.connect_timeout).await?,
            };
            if !prepare(&mut connection).await? {
                declined += 1;
                if declined >= MAX_DECLINED_CONNECTIONS {
                    return Err(SendError::NotSent(
                        Cause::Refused,
                        "connections close at once".to_owned(),
                    ));
                }
                continue;
            }
            if !is_wanted() {
                return Err(SendError::Withheld);
            }
            connection.begin_exchange(options.id);
            let mut error = match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.limit_head(None);
                    return Ok((response, connection));
                }
                Err(error) => error,
            };
            match error.take_message() {
                Some(unsent) if connection.reused => {
                    log::debug!(addr:%, error:% = error.error();
                        "idle connection closed before a byte was written");
                    request = unsent;
                }
                Some(_) => {
                    let text = error_text(error.error());
                    let text = format!("closed before a byte was written: {text}");
                    return Err(SendError::NotSent(Cause::Refused, text));
                }
                None => return Err(SendError::ConnectionLost(error_text(error.error()))),
            }
        }
    }

    /// Sends a request and reads the whole response, which must be short.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<Response<Bytes>, SendError> {
        let options = SendOptions {
            connect_timeout: limits.connect_timeout,
            ..SendOptions::default()
        };
        let exchange = async {
            let (response, connection) = self.send(addr, request, options).await?;
            read_whole(response, connection, limits.max_bytes).await
        };
        within(limits.total_timeout, exchange).await
    }

    /// Returns whether the machine at `addr` answers, if only by refusing a connection.
    pub async fn reaches(&self, addr: SocketAddr) -> bool {
        let connected = timeout_unless_arrived(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        match connected {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => {
                log::debug!(addr:%, error:%; "cannot connect to a silent engine");
                !is_unreachable(error.kind())
            }
            Err(_) => false,
        }
    }

    /// Drops idle connections that have expired or are closed.
    pub fn drop_expired(&self) {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        }
        pools.retain(|_, pool| !pool.is_empty());
    }

    /// Drops all idle connections to `addr`.
    pub fn drop_idle(&self, addr: SocketAddr) {
        self.pools.borrow_mut().remove(&addr);
    }

    /// Drops all idle connections.
    pub fn drop_all_idle(&self) {
        self.pools.borrow_mut().clear();
    }

    /// Closes the idle connections whose engines have answered and not read the whole request yet,
    /// and returns their number.
    pub async fn close_unread(&self) -> u64 {
        let mut unread = Vec::new();
        for pool in self.pools.borrow_mut().values_mut() {
            unread.extend(pool.extract_if(.., |idle| !idle.connection.sender.is_ready()));
        }
        let count = unread.len() as u64;
        for mut idle in unread {
            let task = &mut idle.connection.task;
            task.abort();
            // The task holds the request until it has ended.
            if let Err(error) = task.await
                && error.is_panic()
            {
                log::warn!(error:%; "task of a connection failed");
            }
        }
        count
    }

    /// Takes the usable idle connection to `addr` that was used most recently and has not carried
    /// a request with this id, which a late response could not be told from.
    fn take_idle(&self, addr: SocketAddr, id: Option<IdHash>) -> Option<Connection> {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&addr)?;
        pool.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        loop {
            let index = pool.iter().rposition(|idle| {
                let connection = &idle.connection;
                connection.sender.is_ready() && connection.carried.before(id) != Earlier::SameId
            })?;
            let connection = pool.remove(index).connection;
            if connection.is_silent() {
                return Some(connection);
            }
        }
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        time_limit: Duration,
    ) -> Result<Connection, SendError> {
        let not_sent = |e: String| SendError::NotSent(Cause::Refused, e);
        let stream = timeout(time_limit, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| not_sent("connection timed out".to_owned()))?;
        let stream = stream.map_err(|e| not_sent(e.to_string()))?;
        set_socket_options(&stream);
        let stream = SharedStream::new(stream);
        let handle = stream.handle();
        let io = TokioIo::new(stream);
        let handshake = http1::Builder::new().handshake(io).await;
        let (sender, mut connection) = handshake.map_err(|e| not_sent(e.to_string()))?;
        let (stop, stopped) = oneshot::channel();
        let in_use = Rc::new(Cell::new(true));
        let task = {
            let in_use = in_use.clone();
            tokio::task::spawn_local(async move {
                tokio::select! {
                    ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                        if let Err(error) = ended {
                            log::debug!(addr:%, error:%; "connection to an upstream failed");
                        }
                    }
                    _ = stopped => {}
                }
                in_use
                    .get()
                    .then(|| UnreadConnection::new(connection.into_parts()))
            })
        };
        Ok(Connection {
            sender,
            task,
            stop: Some(stop),
            in_use,
            stream: handle,
            addr,
            reused: false,
            carried: Carried::default(),
            earlier: Earlier::Nothing,
            lifetime: None,
            pools: Rc::downgrade(&self.pools),
        })
    }
}

/// Reads a response of at most `max_bytes` whole, and makes its connection available again.
pub async fn read_whole(
    response: Response<Incoming>,
    connection: Connection,
    max_bytes: usize,
) -> Result<Response<Bytes>, SendError> {
    let (head, body) = response.into_parts();
    let body = read_body(body, max_bytes).await?;
    let headers = headers::parse_response(&head.headers);
    if !headers.closes {
        connection.release(headers.idle_timeout);
    }
    Ok(Response::from_parts(head, body))
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, SendError> {
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|e| SendError::ConnectionLost(e.to_string()))?;
    Ok(body.to_bytes())
}

/// Limits the time of an exchange.
pub async fn within<T>(
    time_limit: Duration,
    exchange: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    let timed_out = || SendError::ConnectionLost("no response in time".to_owned());
    timeout(time_limit, exchange)
        .await
        .map_err(|_| timed_out())?
}

/// Returns whether an error of connecting says that no machine is there. A refusal and errors of
/// this host do not.
fn is_unreachable(kind: io::ErrorKind) -> bool {
    use io::ErrorKind as E;
    matches!(
        kind,
        E::HostUnreachable | E::NetworkUnreachable | E::TimedOut
    )
}

/// Returns the text of an error with that of its source.
fn error_text(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendOptions {
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Whether to open a connection even if there is an idle one. Needed for a request without an
    /// id, as a late response to an earlier one cannot be told from the response to this one.
    pub new_connection: bool,
    /// Id of the request; `None` for a call.
    pub id: Option<IdHash>,
    /// Whether the connection has to lead to the known lifetime of the engine.
    pub checks_lifetime: bool,
}

impl Default for SendOptions {
    fn default() -> Self {
        SendOptions {
            connect_timeout: CONNECT_TIMEOUT,
            new_connection: false,
            id: None,
            checks_lifetime: false,
        }
    }
}

/// Limits of a call with a short response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Time limit for the whole call.
    pub total_timeout: Duration,
    /// Maximum size of the response, bytes.
    pub max_bytes: usize,
}

/// Sets the socket options of a connection: small writes are sent at once, and a peer
/// that has vanished is detected.
pub fn set_socket_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "cannot set TCP_NODELAY");
    }
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
        log::debug!(error:%; "cannot set TCP_USER_TIMEOUT");
    }
}
