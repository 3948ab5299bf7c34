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

use super::forward::{self, reply};
use super::state::Edge;
use super::{client, clock};
use crate::platform::entry::{self, Question};
use reply::Reply;

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
pub enum Purpose {
    /// Callers' requests.
    Callers,
    /// Questions about this host, and metrics.
    Questions,
}

/// Stages of a listener's end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// It goes on.
    #[default]
    Not,
    /// Connections are closed between answers; new ones are still accepted.
    Connections,
    /// Nothing is accepted any more.
    Listener,
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
    purpose: Purpose,
    mut stop: watch::Receiver<Stop>,
) {
    let most = match purpose {
        Purpose::Callers => CALLERS,
        Purpose::Questions => ASKERS,
    };
    let open = Rc::new(RefCell::new(0usize));
    loop {
        if *stop.borrow_and_update() == Stop::Listener {
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
        client::prepare(&stream);
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
    purpose: Purpose,
    mut stop: watch::Receiver<Stop>,
) {
    let limits = edge.state.borrow().desired.limits;
    let leaving = *stop.borrow_and_update() >= Stop::Connections;
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
                Purpose::Callers => forward::handle(edge, request).await,
                Purpose::Questions => Ok::<_, Infallible>(answer(&edge, &request)),
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
                if changed.is_err() || *stop.borrow_and_update() >= Stop::Connections {
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
fn answer(edge: &Edge, request: &Request<Incoming>) -> Response<Reply> {
    const JSON: &str = "application/json";
    const TEXT: &str = "text/plain; charset=utf-8";
    match entry::question(request.method(), request.uri()) {
        Some(Question::Entry) => {
            let addrs = entries(edge);
            if addrs.is_empty() {
                let text = "{}".to_owned();
                return reply::text(StatusCode::SERVICE_UNAVAILABLE, JSON, text);
            }
            let ttl = edge.settings().bounds.entry_ttl_s.min(ENTRY_TTL_S);
            reply::text(StatusCode::OK, JSON, entry::entry(&addrs, ttl))
        }
        Some(Question::Ready) if edge.ready() => {
            reply::text(StatusCode::OK, TEXT, "ready\n".to_owned())
        }
        Some(Question::Ready) => {
            let text = "not ready\n".to_owned();
            reply::text(StatusCode::SERVICE_UNAVAILABLE, TEXT, text)
        }
        Some(Question::Metrics) => {
            reply::text(StatusCode::OK, TEXT, edge.metrics.prometheus_text())
        }
        None => reply::text(StatusCode::NOT_FOUND, TEXT, "not found\n".to_owned()),
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
