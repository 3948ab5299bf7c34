//! A TCP relay between two processes whose link can be disturbed.
//!
//! It ends connections in order only where one of the processes has done so: a fault of a link
//! never looks like an orderly close.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::exchange::reset;
use crate::fakes::runtime;
use crate::loopback::network_octet;

/// Port of all relays.
const PORT: u16 = 7_900;
/// First of the relays' hosts in this process's loopback network; daemons have lower ones.
const FIRST_HOST: u16 = 0x8000;
/// Period in which a squeezed link delivers a piece.
const SQUEEZE_PERIOD: Duration = Duration::from_millis(20);
/// Time from the last byte that is delivered to the reset.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// Settings of a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    pub seed: u64,
    /// Largest piece that is read at once, bytes.
    pub piece: usize,
    /// Pieces under way in one direction.
    pub queue: usize,
    /// Probability that a piece is the one in which a connection is reset.
    pub reset_rate: f64,
}

impl Default for RelaySettings {
    fn default() -> Self {
        RelaySettings {
            seed: 1,
            piece: 4_096,
            queue: 64,
            reset_rate: 0.3,
        }
    }
}

/// Direction of bytes, by the process that has accepted the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToServer,
    ToClient,
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkFault {
    /// Bytes arrive later, in both directions.
    Delay(Duration),
    /// The link carries so many bytes a second only, on each connection and in each direction.
    Squeeze(u64),
    /// Bytes in one direction are held. In the end they are delivered, or the connections that
    /// wait for them are reset.
    Silence { direction: Direction, drops: bool },
    /// All connections are reset. New ones are refused, or accepted and reset.
    Cut { refuses: bool },
    /// The receiving side of a direction has lost all connections; the other side is told in the end.
    HalfOpen(Direction),
    /// Connections are reset in the middle of what is sent in a direction, or directly after it.
    Reset { direction: Direction, whole: bool },
}

/// The faults of a link, and how often its connections were broken.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    delay: Duration,
    rate: Option<u64>,
    silent: Option<Direction>,
    /// Whether connections with held bytes are reset when the silence ends.
    drops: bool,
    refuses: bool,
    closes: bool,
    cuts: u64,
    half: Option<Direction>,
    halves: u64,
    resets: Option<Direction>,
    /// Whether resets come directly after a piece, not in the middle of it.
    whole: bool,
}

type StateReceiver = watch::Receiver<LinkState>;

/// Handle of a relay, which ends with its last handle.
#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(target: SocketAddr, settings: RelaySettings) -> Self {
        static NUMBER: AtomicU16 = AtomicU16::new(0);
        let host = FIRST_HOST + NUMBER.fetch_add(1, Ordering::SeqCst);
        let [high, low] = host.to_be_bytes();
        // A separate loopback address, so that no outgoing connection takes the port.
        let addr = SocketAddr::from(([127, network_octet(), high, low], PORT));
        let listener = std::net::TcpListener::bind(addr).unwrap();
        listener.set_nonblocking(true).unwrap();
        let (sender, state) = watch::channel(LinkState::default());
        let rng = Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed));
        let link = Link {
            target,
            settings,
            rng: Arc::new(rng),
            state,
        };
        runtime().spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            accept(listener, link).await;
        });
        Relay {
            addr,
            state: Arc::new(sender),
        }
    }

    /// Starts a fault, in place of one of its kind.
    pub fn disturb(&self, fault: LinkFault) {
        self.state.send_modify(|s| match fault {
            LinkFault::Delay(delay) => s.delay = delay,
            LinkFault::Squeeze(rate) => s.rate = Some(rate),
            LinkFault::Silence { direction, drops } => {
                s.silent = Some(direction);
                s.drops = drops;
            }
            LinkFault::Cut { refuses } => {
                s.cuts += 1;
                s.refuses = refuses;
                s.closes = !refuses;
            }
            LinkFault::HalfOpen(direction) => {
                s.halves += 1;
                s.half = Some(direction);
            }
            LinkFault::Reset { direction, whole } => {
                s.resets = Some(direction);
                s.whole = whole;
            }
        });
    }

    /// Ends all faults of the kind of this one.
    pub fn mend(&self, fault: LinkFault) {
        self.state.send_modify(|s| match fault {
            LinkFault::Delay(_) => s.delay = Duration::ZERO,
            LinkFault::Squeeze(_) => s.rate = None,
            LinkFault::Silence { .. } => s.silent = None,
            LinkFault::Cut { .. } => (s.refuses, s.closes) = (false, false),
            LinkFault::HalfOpen(_) => s.half = None,
            LinkFault::Reset { .. } => s.resets = None,
        });
    }
}

/// What the connections of a relay share.
#[derive(Clone)]
struct Link {
    target: SocketAddr,
    settings: RelaySettings,
    rng: Arc<Mutex<ChaCha8Rng>>,
    state: StateReceiver,
}

/// Bytes under way.
struct Piece {
    read_at: Instant,
    bytes: Vec<u8>,
}

/// How the relaying of a connection ends.
enum End {
    /// Both processes have closed it.
    Closed,
    Reset,
    /// The receiving side of a direction has lost it, and the other side is not told.
    HalfOpen(Direction),
}

/// Waits for a state; returns whether the relay still has a handle.
async fn wait_for(state: &mut StateReceiver, is: impl FnMut(&LinkState) -> bool) -> bool {
    state.wait_for(is).await.is_ok()
}

/// Accepts connections until the relay has no handle.
async fn accept(mut listener: TcpListener, link: Link) {
    let addr = listener.local_addr().unwrap();
    let mut state = link.state.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // The error is that of a connection that has ended.
                if let Ok((client, _)) = accepted {
                    tokio::spawn(relay(client, link.clone()));
                }
                continue;
            }
            refuses = wait_for(&mut state, |s| s.refuses) => {
                if !refuses {
                    return;
                }
            }
        }
        drop(listener);
        if !wait_for(&mut state, |s| !s.refuses).await {
            return;
        }
        listener = TcpListener::bind(addr).await.unwrap();
    }
}

/// Relays one connection.
async fn relay(mut client: TcpStream, link: Link) {
    let first = *link.state.borrow();
    let connected = match first.closes {
        true => None,
        false => TcpStream::connect(link.target).await.ok(),
    };
    let Some(mut server) = connected else {
        reset_stream(&client);
        return;
    };
    let end = carry(&mut client, &mut server, &link, first).await;
    match end.unwrap_or(End::Reset) {
        End::Closed => {}
        End::Reset => {
            reset_stream(&client);
            reset_stream(&server);
        }
        End::HalfOpen(direction) => {
            let (lost, mut kept) = match direction {
                Direction::ToServer => (server, client),
                Direction::ToClient => (client, server),
            };
            reset_stream(&lost);
            drop(lost);
            swallow(&mut kept, link.state).await;
            reset_stream(&kept);
        }
    }
}

/// Carries bytes in both directions until the connection ends or is broken.
async fn carry(
    client: &mut TcpStream,
    server: &mut TcpStream,
    link: &Link,
    first: LinkState,
) -> io::Result<End> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let directions = async {
        tokio::try_join!(
            pump(from_client, to_server, Direction::ToServer, link.clone()),
            pump(from_server, to_client, Direction::ToClient, link.clone()),
        )
    };
    let (mut cut, mut half) = (link.state.clone(), link.state.clone());
    tokio::select! {
        ended = directions => ended.map(|_| End::Closed),
        _ = wait_for(&mut cut, |s| s.cuts != first.cuts) => Ok(End::Reset),
        _ = wait_for(&mut half, |s| s.halves != first.halves) => {
            let direction = half.borrow().half;
            Ok(direction.map_or(End::Reset, End::HalfOpen))
        }
    }
}

/// Carries bytes in one direction until its sender has closed it. The error ends the connection.
async fn pump(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    link: Link,
) -> io::Result<()> {
    let (sender, mut pieces) = mpsc::channel(link.settings.queue);
    let size = link.settings.piece;
    // Owns the channel, so that reading ends with it.
    let write = async move {
        while let Some(piece) = pieces.recv().await {
            deliver(&mut to, piece?, direction, &link).await?;
        }
        hold(direction, &link).await?;
        to.shutdown().await
    };
    let (written, ()) = tokio::join!(write, read_pieces(from, sender, size));
    written
}

/// Reads pieces until the sender closes its side, or the other side is lost.
async fn read_pieces(mut from: ReadHalf<'_>, pieces: mpsc::Sender<io::Result<Piece>>, size: usize) {
    loop {
        let mut bytes = Vec::with_capacity(size);
        let read = tokio::select! {
            read = from.read_buf(&mut bytes) => read,
            () = pieces.closed() => return,
        };
        let read_at = Instant::now();
        let piece = match read {
            Ok(0) => return,
            Ok(_) => Ok(Piece { read_at, bytes }),
            // A reset must not overtake the bytes before it, so it goes the same way.
            Err(error) => Err(error),
        };
        let is_last = piece.is_err();
        if pieces.send(piece).await.is_err() || is_last {
            return;
        }
    }
}

/// Delivers a piece as the link allows.
async fn deliver(
    to: &mut WriteHalf<'_>,
    piece: Piece,
    direction: Direction,
    link: &Link,
) -> io::Result<()> {
    let Piece { read_at, bytes } = piece;
    let delay = link.state.borrow().delay;
    sleep_until(read_at + delay).await;
    hold(direction, link).await?;
    let state = *link.state.borrow();
    let rate = link.settings.reset_rate;
    if state.resets == Some(direction) && link.rng.lock().unwrap().random_bool(rate) {
        let count = if state.whole {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        to.write_all(&bytes[..count]).await?;
        sleep(RESET_DELAY).await;
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let mut rest = &bytes[..];
    while !rest.is_empty() {
        let rate = link.state.borrow().rate;
        let Some(rate) = rate else {
            return to.write_all(rest).await;
        };
        let count = (rate as f64 * SQUEEZE_PERIOD.as_secs_f64()).ceil() as usize;
        let (piece, after) = rest.split_at(count.min(rest.len()));
        to.write_all(piece).await?;
        sleep(SQUEEZE_PERIOD).await;
        rest = after;
    }
    Ok(())
}

/// Waits while the link is silent. The error drops what was held.
async fn hold(direction: Direction, link: &Link) -> io::Result<()> {
    let mut state = link.state.clone();
    if state.borrow().silent != Some(direction) {
        return Ok(());
    }
    let drops = state.borrow().drops;
    let is_over = wait_for(&mut state, |s| s.silent != Some(direction)).await;
    match is_over && !drops {
        true => Ok(()),
        false => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// Reads what a side sends that does not know that its connection is lost, until the fault ends.
async fn swallow(stream: &mut TcpStream, mut state: StateReceiver) {
    let mut bytes = [0; 1_024];
    let read = async { while matches!(stream.read(&mut bytes).await, Ok(n) if n > 0) {} };
    tokio::select! {
        () = read => {}
        _ = wait_for(&mut state, |s| s.half.is_none()) => {}
    }
}

fn reset_stream(stream: &TcpStream) {
    // The error says that it is to be dropped.
    let _ = reset(stream);
}
