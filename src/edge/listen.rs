//! Listeners for callers, for queries about this host, and for metrics.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::forward::{self, response};
use super::state::Edge;
use super::{client, clock};
use crate::platform::host_queries::{self, HostQuery};
use response::ResponseBody;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Pause after a connection could not be accepted, for example for lack of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of callers' connections: half of the smallest number of file
/// descriptors on a host, which leaves as many for engines.
const MAX_CALLER_CONNECTIONS: usize = 1_800;
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
    /// Closes connections after the current response; still accepts new ones.
    EndConnections,
    /// Accepts no more connections.
    CloseListener,
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

/// Accepts connections until `stop` closes the listener.
pub async fn serve(
    edge: Rc<Edge>,
    listener: TcpListener,
    kind: ListenerKind,
    mut stop: watch::Receiver<ListenerStop>,
) {
    let max_connections = match kind {
        ListenerKind::Callers => MAX_CALLER_CONNECTIONS,
        ListenerKind::HostQueries => MAX_QUERY_CONNECTIONS,
    };
    let open = Rc::new(RefCell::new(0usize));
    loop {
        if *stop.borrow_and_update() == ListenerStop::CloseListener {
            return;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = stop.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                let purpose: &'static str = kind.into();
                log::warn!(purpose, error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if *open.borrow() >= max_connections {
            let purpose: &'static str = kind.into();
            log::warn!(purpose, most = max_connections; "connection refused: too many connections");
            continue;
        }
        *open.borrow_mut() += 1;
        client::set_socket_options(&stream);
        let (edge, open, stop) = (edge.clone(), open.clone(), stop.clone());
        tokio::task::spawn_local(async move {
            serve_connection(edge, stream, kind, stop).await;
            *open.borrow_mut() -= 1;
        });
    }
}

/// Serves one connection until it closes.
async fn serve_connection(
    edge: Rc<Edge>,
    stream: TcpStream,
    kind: ListenerKind,
    mut stop: watch::Receiver<ListenerStop>,
) {
    let limits = edge.state.borrow().desired.limits;
    let is_stopping = *stop.borrow_and_update() >= ListenerStop::EndConnections;
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(!is_stopping)
        .timer(TokioTimer::new())
        // Also the idle timeout, as an idle connection waits for the next head.
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(MIN_HEAD_BUFFER_BYTES));
    let io = TokioIo::new(stream);
    let service = service_fn(move |request| {
        let edge = edge.clone();
        async move {
            match kind {
                ListenerKind::Callers => forward::handle(edge, request).await,
                ListenerKind::HostQueries => Ok::<_, Infallible>(host_response(&edge, &request)),
            }
        }
    });
    let connection = builder.serve_connection(io, service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            outcome = connection.as_mut() => {
                if let Err(error) = outcome {
                    log::debug!(error:%; "accepted connection failed");
                }
                return;
            }
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow_and_update() >= ListenerStop::EndConnections {
                    connection.as_mut().graceful_shutdown();
                    if let Err(error) = connection.as_mut().await {
                        log::debug!(error:%; "accepted connection failed");
                    }
                    return;
                }
            }
        }
    }
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
