//! Listeners for callers, for queries about this host, and for metrics.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWrite;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::caller_stream::{CallerStream, TrackedBody, closed_in_request};
use super::connections::{Connection, Connections, EndCause, OpenConnection, Phase, PhaseLimits};
use super::desired::RequestLimits;
use super::forward::{self, evidence::Promise, response};
use super::shared_stream::SharedStream;
use super::state::Edge;
use super::{client, clock};
use crate::error::Kind;
use crate::platform::host_queries::{self, HostQuery};
use response::{CutShort, Refusal, ResponseBody};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Pause after a connection could not be accepted, for example for lack of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Period of checking connections against their limits.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// The same once the listener has closed.
const CLOSING_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of callers' connections: half of the smallest number of file
/// descriptors on a host, which leaves as many for engines.
const MAX_CALLER_CONNECTIONS: usize = 1_800;
/// Maximum number of connections beyond those on which requests are refused; further
/// ones wait to be accepted.
const MAX_REFUSED_CONNECTIONS: usize = 200;
/// Maximum number of connections for queries.
const MAX_QUERY_CONNECTIONS: usize = 200;
/// Minimum limit of the buffer for request heads, bytes; `hyper` accepts no lower one.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Maximum time to live of an entry response, which lists the hosts that callers may use,
/// s. Some callers cache it three times as long, which still fits the grace period of a
/// planned shutdown.
const MAX_ENTRY_TTL_S: f64 = 2.0;

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ListenerKind {
    /// Callers' requests.
    Callers,
    /// Queries about this host, and metrics.
    #[strum(serialize = "questions")]
    HostQueries,
}

/// Stages in which a listener stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerStop {
    /// Serves without restrictions.
    #[default]
    Running,
    /// Closes each connection after its next response; still accepts new ones.
    EndConnections,
    /// Accepts no more connections, and closes idle ones.
    CloseListener,
    /// Answers requests in progress with a failure.
    EndRequests,
}

/// Binds a listener to `addr`.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until `stop` closes the listener; returns when all have ended.
pub async fn serve(
    edge: Rc<Edge>,
    listener: TcpListener,
    kind: ListenerKind,
    mut stop: watch::Receiver<ListenerStop>,
) {
    let acceptor = Acceptor {
        edge,
        kind,
        max_connections: match kind {
            ListenerKind::Callers => MAX_CALLER_CONNECTIONS,
            ListenerKind::HostQueries => MAX_QUERY_CONNECTIONS,
        },
        connections: Rc::default(),
        stop: stop.clone(),
    };
    let connections = &acceptor.connections;
    let max_open = acceptor.max_connections + MAX_REFUSED_CONNECTIONS;
    let mut check_at = Instant::now();
    while *stop.borrow_and_update() < ListenerStop::CloseListener {
        let is_full = connections.len() >= max_open;
        if is_full {
            connections.make_room(max_open);
        }
        let accepted = tokio::select! {
            accepted = listener.accept(), if !is_full => accepted,
            () = connections.removed(), if is_full => continue,
            changed = stop.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = sleep_until(check_at), if !connections.is_empty() => {
                connections.check(&acceptor.phase_limits(PhaseLimits::accepting));
                check_at = Instant::now() + CHECK_PERIOD;
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => acceptor.accept(stream),
            Err(error) => {
                let purpose: &'static str = kind.into();
                log::warn!(purpose, error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    acceptor.accept_backlog(listener);
    while !connections.is_empty() {
        // The last check may have been just now, after a suspension.
        tokio::time::sleep(CLOSING_CHECK_PERIOD).await;
        connections.check(&acceptor.phase_limits(PhaseLimits::closing));
    }
}

/// Starts the connections of a listener.
struct Acceptor {
    edge: Rc<Edge>,
    kind: ListenerKind,
    max_connections: usize,
    connections: Rc<Connections>,
    stop: watch::Receiver<ListenerStop>,
}

impl Acceptor {
    /// Returns the limits in force.
    fn limits(&self) -> RequestLimits {
        self.edge.state.borrow().desired.limits
    }

    /// Returns how long connections may stay in their phases now.
    fn phase_limits(&self, of: impl Fn(&RequestLimits) -> PhaseLimits) -> PhaseLimits {
        let held = self.edge.hold_limits();
        let is_full = held.is_full(self.edge.held_bytes.get());
        of(&self.limits()).with_unread(held.unread, is_full)
    }

    /// Starts to serve the connections that wait to be accepted, which the kernel would
    /// reset, and closes the listener.
    fn accept_backlog(&self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!(error:%; "cannot accept the last connections");
                return;
            }
        };
        loop {
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => self.accept(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(error) => {
                    log::warn!(error:%; "cannot accept the last connections");
                    return;
                }
            }
        }
    }

    /// Starts to serve a connection.
    fn accept(&self, stream: TcpStream) {
        let has_room = self.connections.make_room(self.max_connections);
        if !has_room {
            let purpose: &'static str = self.kind.into();
            log::warn!(purpose, most = self.max_connections;
                "too many busy connections: a further one is refused");
        }
        client::set_socket_options(&stream);
        let accepted = Accepted {
            stream: SharedStream::new(stream),
            kind: self.kind,
            has_room,
            open: self.connections.add(self.limits().head),
            stop: self.stop.clone(),
        };
        tokio::task::spawn_local(serve_connection(self.edge.clone(), accepted));
    }
}

/// An accepted connection.
#[derive(Debug)]
struct Accepted {
    stream: SharedStream,
    kind: ListenerKind,
    /// Whether its requests are served; otherwise, they are refused.
    has_room: bool,
    open: OpenConnection,
    stop: watch::Receiver<ListenerStop>,
}

/// Serves one connection until it closes.
async fn serve_connection(edge: Rc<Edge>, accepted: Accepted) {
    let connection = &accepted.open.state;
    let mut stream = CallerStream::new(accepted.stream.clone(), connection.clone());
    loop {
        let limits = edge.state.borrow().desired.limits;
        connection.set_head_bytes(limits.head);
        let mut builder = http1::Builder::new();
        builder
            // `connections` bounds heads and idle connections.
            .header_read_timeout(None)
            .max_buf_size(limits.head.max(MIN_HEAD_BUFFER_BYTES));
        let service = service_fn(|request| respond(&edge, &accepted, request));
        let mut served = builder.serve_connection(TokioIo::new(stream), service);
        let cause = tokio::select! {
            biased;
            outcome = &mut served => {
                if let Err(error) = outcome {
                    log::debug!(error:%; "accepted connection failed");
                }
                return;
            }
            cause = connection.ended() => cause,
            () = closed_in_request(&accepted.stream, connection) => return,
        };
        let parts = served.into_parts();
        stream = parts.io.into_inner();
        let phase = connection.phase();
        let reads_head = matches!(phase, Phase::Idle | Phase::Head);
        if reads_head && !parts.read_buf.is_empty() {
            end_connection(&edge, connection, EndCause::UnfinishedHead);
            refuse_head(&mut stream, connection).await;
            return;
        }
        if phase == Phase::Idle && stream.has_unread_bytes() {
            connection.restart();
            continue;
        }
        if cause == EndCause::LargerHeads {
            log::info!(bytes = limits.head; "open connection renewed for larger heads");
            connection.clear_end();
            continue;
        }
        end_connection(&edge, connection, cause);
        return;
    }
}

/// Records that this host ends a connection.
fn end_connection(edge: &Edge, connection: &Connection, cause: EndCause) {
    let cause: &'static str = cause.into();
    let ms = connection.age().as_millis() as u64;
    log::info!(cause, ms; "connection ended");
    edge.metrics.record_connection_end(cause);
}

/// Tells the caller that the request whose head did not arrive does not run.
async fn refuse_head(stream: &mut CallerStream, connection: &Connection) {
    let bytes = Refusal::not_run(Promise::before_attempts(), Kind::SlowClient).response_bytes();
    if let Err(error) = stream.try_write(&bytes) {
        log::info!(error:%; "cannot refuse an unfinished head");
    }
    connection.start(Phase::Head);
    tokio::select! {
        closed = poll_fn(|cx| Pin::new(&mut *stream).poll_shutdown(cx)) => {
            if let Err(error) = closed {
                log::debug!(error:%; "accepted connection failed");
            }
        }
        _ = connection.ended() => {}
    }
}

/// Responds to one request.
async fn respond(
    edge: &Rc<Edge>,
    accepted: &Accepted,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody<ResponseBody>>, Infallible> {
    let connection = &accepted.open.state;
    connection.start(Phase::Request);
    let version = request.version();
    let mut response = match accepted.kind {
        _ if !accepted.has_room => forward::refuse_connection(edge, &request),
        ListenerKind::Callers => {
            let mut stop = accepted.stop.clone();
            let ended = async move {
                // An error means that the process exits.
                let _ = stop.wait_for(|s| *s >= ListenerStop::EndRequests).await;
            };
            forward::handle(edge.clone(), request, ended).await?
        }
        ListenerKind::HostQueries => host_response(edge, &request),
    };
    if response.extensions().get::<CutShort>().is_some() {
        connection.cut_short();
        response::close_connection(&mut response);
    }
    if *accepted.stop.borrow() >= ListenerStop::EndConnections {
        response::close_connection(&mut response);
    }
    let has_length = response.body().size_hint().exact().is_some();
    if !has_length && version < Version::HTTP_11 {
        // Only an orderly end marks the end of the response.
        connection.end_response_by_close();
        accepted.stream.reset_on_close(true);
    }
    Ok(response.map(|body| {
        let body = body.held(&edge.held_bytes, connection);
        TrackedBody::new(body, connection.clone())
    }))
}

/// Responds to a query about this host.
fn host_response(edge: &Edge, request: &Request<Incoming>) -> Response<ResponseBody> {
    const JSON: &str = "application/json";
    const TEXT: &str = "text/plain; charset=utf-8";
    match host_queries::parse_query(request.method(), request.uri()) {
        Some(HostQuery::Entry) => {
            let addrs = entry_addresses(edge);
            if addrs.is_empty() {
                let text = "{}".to_owned();
                return response::text_response(StatusCode::SERVICE_UNAVAILABLE, JSON, text);
            }
            let ttl = edge.settings().bounds.entry_ttl_s.min(MAX_ENTRY_TTL_S);
            response::text_response(
                StatusCode::OK,
                JSON,
                host_queries::entry_response(&addrs, ttl),
            )
        }
        Some(HostQuery::Ready) if edge.is_ready() => {
            response::text_response(StatusCode::OK, TEXT, "ready\n".to_owned())
        }
        Some(HostQuery::Ready) => {
            let text = "not ready\n".to_owned();
            response::text_response(StatusCode::SERVICE_UNAVAILABLE, TEXT, text)
        }
        Some(HostQuery::Metrics) => {
            let (responses, bodies) = (edge.held_bytes.get(), edge.body_memory.get());
            edge.metrics.set_held_bytes(responses, bodies);
            response::text_response(StatusCode::OK, TEXT, edge.metrics.prometheus_text())
        }
        None => response::text_response(StatusCode::NOT_FOUND, TEXT, "not found\n".to_owned()),
    }
}

/// Returns the addresses that a caller may use: those of all ready hosts, in any failure
/// domain, so that a caller with a cached response survives the loss of any of them.
fn entry_addresses(edge: &Edge) -> Vec<String> {
    let now = clock::now();
    let own = edge
        .is_ready()
        .then(|| edge.settings.borrow().listen.callers);
    let state = edge.state.borrow();
    let entries = state.members.entry_addrs(own, now);
    entries.iter().map(SocketAddr::to_string).collect()
}
