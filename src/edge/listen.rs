//! Listening for callers, for questions about this host, and for metrics.

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
use crate::platform::entry::{self, Question};
use response::ResponseBody;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Pause after a connection could not be accepted, as when descriptors lack.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections of callers at once; half the least number of descriptors that
/// a host has, which leaves as many for engines.
const CALLERS: usize = 1_800;
/// Connections with questions at once.
const ASKERS: usize = 200;
/// Heads of a connection are read into a buffer of at most this size, bytes;
/// the least that `hyper` takes.
const HEAD_BUFFER: usize = 8_192;
/// Time for which callers may keep an entry answer, s. Some keep it three
/// times as long, which still fits the time of a planned stop.
const ENTRY_TTL_S: f64 = 2.0;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ListenerKind {
    /// Callers' requests.
    Callers,
    /// Questions about this host, and metrics.
    #[strum(serialize = "questions")]
    HostQueries,
}

/// Stages of a listener's end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerStop {
    /// It goes on.
    #[default]
    Running,
    /// Connections are closed between answers; new ones are still accepted.
    EndConnections,
    /// Nothing is accepted any more.
    CloseListener,
}

/// Binds `addr`.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until told to stop.
pub async fn serve(
    edge: Rc<Edge>,
    listener: TcpListener,
    purpose: ListenerKind,
    mut stop: watch::Receiver<ListenerStop>,
) {
    let most = match purpose {
        ListenerKind::Callers => CALLERS,
        ListenerKind::HostQueries => ASKERS,
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
                let purpose: &'static str = purpose.into();
                log::warn!(purpose, error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if *open.borrow() >= most {
            let purpose: &'static str = purpose.into();
            log::warn!(purpose, most; "too many connections, one refused");
            continue;
        }
        *open.borrow_mut() += 1;
        client::set_socket_options(&stream);
        let (edge, open, stop) = (edge.clone(), open.clone(), stop.clone());
        tokio::task::spawn_local(async move {
            connection(edge, stream, purpose, stop).await;
            *open.borrow_mut() -= 1;
        });
    }
}

/// Serves one connection to its end.
async fn connection(
    edge: Rc<Edge>,
    stream: TcpStream,
    purpose: ListenerKind,
    mut stop: watch::Receiver<ListenerStop>,
) {
    let limits = edge.state.borrow().desired.limits;
    let leaving = *stop.borrow_and_update() >= ListenerStop::EndConnections;
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(!leaving)
        .timer(TokioTimer::new())
        // An idle connection waits for a head, too.
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(HEAD_BUFFER));
    let io = TokioIo::new(stream);
    let service = service_fn(move |request| {
        let edge = edge.clone();
        async move {
            match purpose {
                ListenerKind::Callers => forward::handle(edge, request).await,
                ListenerKind::HostQueries => Ok::<_, Infallible>(answer(&edge, &request)),
            }
        }
    });
    let connection = builder.serve_connection(io, service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            outcome = connection.as_mut() => {
                if let Err(error) = outcome {
                    log::debug!(error:%; "connection of a caller ended");
                }
                return;
            }
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow_and_update() >= ListenerStop::EndConnections {
                    connection.as_mut().graceful_shutdown();
                    if let Err(error) = connection.as_mut().await {
                        log::debug!(error:%; "connection of a caller ended");
                    }
                    return;
                }
            }
        }
    }
}

/// Answers a question about this host.
fn answer(edge: &Edge, request: &Request<Incoming>) -> Response<ResponseBody> {
    const JSON: &str = "application/json";
    const TEXT: &str = "text/plain; charset=utf-8";
    match entry::question(request.method(), request.uri()) {
        Some(Question::Entry) => {
            let addrs = entries(edge);
            if addrs.is_empty() {
                let text = "{}".to_owned();
                return response::text_response(StatusCode::SERVICE_UNAVAILABLE, JSON, text);
            }
            let ttl = edge.settings().bounds.entry_ttl_s.min(ENTRY_TTL_S);
            response::text_response(StatusCode::OK, JSON, entry::entry(&addrs, ttl))
        }
        Some(Question::Ready) if edge.ready() => {
            response::text_response(StatusCode::OK, TEXT, "ready\n".to_owned())
        }
        Some(Question::Ready) => {
            let text = "not ready\n".to_owned();
            response::text_response(StatusCode::SERVICE_UNAVAILABLE, TEXT, text)
        }
        Some(Question::Metrics) => {
            response::text_response(StatusCode::OK, TEXT, edge.metrics.text())
        }
        None => response::text_response(StatusCode::NOT_FOUND, TEXT, "not found\n".to_owned()),
    }
}

/// Addresses that a caller may use. All that take callers are named, wherever
/// the caller is: a caller that keeps the answer must outlive any of them.
fn entries(edge: &Edge) -> Vec<String> {
    let now = clock::now();
    let own = edge.ready().then(|| edge.settings.borrow().listen.callers);
    let state = edge.state.borrow();
    let entries = state.members.entries(own, now);
    entries.iter().map(SocketAddr::to_string).collect()
}
