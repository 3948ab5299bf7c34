//! Connection of the client for one exchange at a time, and those that are idle.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::{MAX_HEAD_BYTES, SendError, error_text, read_body};
use crate::clock::Moment;
use crate::edge::carried::{Carried, Earlier, IdHash};
use crate::edge::clock;
use crate::edge::shared_stream::StreamHandle;
use crate::edge::unread_connection::UnreadConnection;
use crate::edge::upstream::Lifetime;

/// Idle timeout of a connection whose server does not announce one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the server's idle timeout at which an idle connection is dropped.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum number of idle connections for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A connection in use for one exchange; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) task: JoinHandle<Option<UnreadConnection>>,
    /// Stops the task, so that it returns what was not read.
    pub(super) stop: Option<oneshot::Sender<()>>,
    /// Whether an exchange is in progress; shared with the task.
    pub(super) in_use: Rc<Cell<bool>>,
    /// The stream, until the connection's task ends.
    pub(super) stream: StreamHandle,
    pub(super) addr: SocketAddr,
    /// Whether it was idle before.
    pub(super) reused: bool,
    pub(super) carried: Carried,
    /// What it had carried before the exchange in progress.
    pub(super) earlier: Earlier,
    /// Lifetime of the engine that it leads to, once the engine has said so on it; a connection
    /// does not outlive the process behind it.
    pub(super) lifetime: Option<Lifetime>,
    pub(super) pools: Weak<RefCell<IdlePools>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Returns what the connection had carried before the exchange in progress: a late response
    /// to that may arrive in place of the response.
    pub fn earlier(&self) -> Earlier {
        self.earlier
    }

    /// Begins the exchange of a request with this id, or of a call.
    pub(super) fn begin_exchange(&mut self, id: Option<IdHash>) {
        self.earlier = self.carried.before(id);
        self.carried.add(id);
        self.in_use.set(true);
        self.limit_head(Some(MAX_HEAD_BYTES));
    }

    /// Returns the address that it leads to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a handle of its stream.
    pub fn stream(&self) -> StreamHandle {
        self.stream.clone()
    }

    /// Returns whether it surely leads to this lifetime of an engine.
    pub fn leads_to(&self, lifetime: &Lifetime) -> bool {
        self.lifetime.as_ref() == Some(lifetime)
    }

    /// Records to which lifetime of an engine it leads.
    pub fn set_lifetime(&mut self, lifetime: Lifetime) {
        self.lifetime = Some(lifetime);
    }

    /// Sends a request and reads the whole response, which must be short.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let lost = |error: &hyper::Error| SendError::ConnectionLost(error_text(error));
        self.begin_exchange(None);
        let sent = self.sender.send_request(request).await;
        let (head, body) = sent.map_err(|e| lost(&e))?.into_parts();
        self.limit_head(None);
        let body = read_body(body, max_bytes).await?;
        Ok(Response::from_parts(head, body))
    }

    /// Returns whether another request can be sent after the last response was read whole.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the peer has sent nothing and has not closed the connection.
    pub(super) fn is_silent(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        match stream.peek() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => true,
            Err(error) => {
                log::debug!(addr:% = self.addr, error:%; "idle connection failed");
                false
            }
            Ok(bytes) => {
                log::debug!(addr:% = self.addr, bytes; "idle connection is not silent");
                false
            }
        }
    }

    /// Limits what may arrive before the head of the next response is complete, or lifts
    /// that limit.
    pub(super) fn limit_head(&self, bytes: Option<usize>) {
        if let Some(stream) = self.stream.upgrade() {
            stream.limit_head(bytes);
        }
    }

    /// Drops the idle connections to the same address, for use after this connection
    /// broke: the process behind them may be gone.
    pub fn drop_idle(&self) {
        if let Some(pools) = self.pools.upgrade() {
            pools.borrow_mut().remove(&self.addr);
        }
    }

    /// Ends the use of the connection after a response that was read whole; returns it with
    /// what has arrived after that response.
    pub async fn into_unread(mut self) -> Option<UnreadConnection> {
        // The task may have ended by itself, because something has arrived unasked.
        let _ = self.stop.take()?.send(());
        match (&mut self.task).await {
            Ok(unread) => unread,
            Err(error) => {
                log::debug!(addr:% = self.addr, error:%; "task of a connection failed");
                None
            }
        }
    }

    /// Makes the connection available to another request, once the response was read
    /// whole; `idle_timeout` is the server's.
    pub fn release(mut self, idle_timeout: Option<Duration>) {
        if self.carried.is_full() {
            return;
        }
        let Some(pools) = self.pools.upgrade() else {
            return;
        };
        let keep_time = match idle_timeout {
            Some(time) if time <= IDLE_MARGIN => time / 2,
            Some(time) => time - IDLE_MARGIN,
            None => IDLE_TIMEOUT,
        };
        let expires_at = clock::now().saturating_add(keep_time);
        self.reused = true;
        self.in_use.set(false);
        let mut pools = pools.borrow_mut();
        let pool = pools.entry(self.addr).or_default();
        if pool.len() < MAX_IDLE_CONNECTIONS {
            pool.push(IdleConnection {
                connection: self,
                expires_at,
            });
        }
    }
}

/// A connection that waits for its next exchange.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) expires_at: Moment,
}

/// Idle connections by address.
pub(super) type IdlePools = HashMap<SocketAddr, Vec<IdleConnection>>;
