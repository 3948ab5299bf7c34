//! Requests on which a fake engine crashes, and what its address does then.

use std::pin::pin;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::{DOWN_TIME, Engine, EngineState, runs::reset};
use crate::fakes::{ReceivedRequest, read_request, write_response};

/// Requests on which an engine crashes.
#[derive(Clone, Debug)]
pub struct Deadly {
    pub trigger: Trigger,
    pub moment: CrashMoment,
    /// From when on it crashes; it answers them before.
    pub from: Instant,
}

/// What these requests have in common.
#[derive(Clone, Debug)]
pub enum Trigger {
    /// How their bodies begin.
    Body(&'static str),
    /// A part of their prompts, not the last.
    Part(String),
}

/// When an engine crashes on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMoment {
    /// Before any byte of the answer.
    BeforeHead,
    /// After the head of the answer.
    AfterHead,
    /// After its first event.
    AfterEvent,
}

/// What the address of an engine does after a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashedAddress {
    /// Closes connections in order and refuses others for [`DOWN_TIME`].
    #[default]
    Refuses,
    /// Resets connections and refuses others for that time.
    Resets,
    /// Accepts and closes them for that time.
    Closes,
    /// Accepts them: the engine has started again.
    Accepts,
    /// Refuses connections for that time, though the engine lives on.
    RefusesAlive,
    /// Leaves connections open, accepts others and sends nothing for that time.
    Silent,
    /// Something before the engine answers 502 for that time.
    Gateway,
}

impl EngineState {
    /// Records that a request has arrived.
    pub(super) fn record_arrival(&mut self, request: &ReceivedRequest) {
        self.arrivals.push(request.clone());
        self.arrival_times.push(Instant::now());
    }
}

impl Trigger {
    fn matches(&self, request: &ReceivedRequest) -> bool {
        match self {
            Trigger::Body(start) => request.body.starts_with(start.as_bytes()),
            Trigger::Part(part) => has_part(request, part),
        }
    }
}

impl Engine {
    /// Ends the lifetime; the next one begins after [`DOWN_TIME`].
    pub fn crash_and_restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.ends.push(Instant::now());
        state.down = true;
        drop(state);
        self.crashed.notify_waiters();
    }

    /// Sets the part of prompts on which the engine crashes as it begins to answer.
    pub fn crash_on(&self, part: &str) {
        self.set_deadly(Deadly {
            trigger: Trigger::Part(part.to_owned()),
            moment: CrashMoment::AfterHead,
            from: Instant::now(),
        });
    }

    /// Sets the requests on which the engine crashes.
    pub fn set_deadly(&self, deadly: Deadly) {
        self.state.lock().unwrap().deadly = Some(deadly);
    }

    /// Lets the engine answer all requests.
    pub fn mend(&self) {
        self.state.lock().unwrap().deadly = None;
    }

    /// Sets what the address of the engine does after a crash.
    pub fn set_crashed_address(&self, address: CrashedAddress) {
        self.state.lock().unwrap().crashed_address = address;
    }

    /// Sets the pause before each event of a stream.
    pub fn set_pace(&self, pace: Duration) {
        self.state.lock().unwrap().pace = Some(pace);
    }

    /// Returns when its lifetimes ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.state.lock().unwrap().ends.clone()
    }

    /// Returns when it crashed on requests, with their bodies.
    pub fn crashes(&self) -> Vec<(Instant, Vec<u8>)> {
        self.state.lock().unwrap().crashes.clone()
    }

    /// Returns when requests arrived that have this part in their prompts, not as the last.
    pub fn arrivals_with(&self, part: &str) -> Vec<Instant> {
        self.arrivals_of(|request| has_part(request, part))
    }

    /// Returns when requests arrived of which `is_it` is true.
    pub fn arrivals_of(&self, is_it: impl Fn(&ReceivedRequest) -> bool) -> Vec<Instant> {
        let state = self.state.lock().unwrap();
        let arrivals = state.arrivals.iter().zip(&state.arrival_times);
        let matching = arrivals.filter(|(request, _)| is_it(request));
        matching.map(|(_, at)| *at).collect()
    }

    /// Returns when the engine crashes on a request, if it does.
    pub(super) fn crash_moment(&self, request: &ReceivedRequest) -> Option<CrashMoment> {
        let state = self.state.lock().unwrap();
        let deadly = state.deadly.as_ref()?;
        let crashes = Instant::now() >= deadly.from && deadly.trigger.matches(request);
        crashes.then_some(deadly.moment)
    }

    /// Crashes on a request whose connection is then treated like the others.
    pub(super) async fn crash_by(&self, request: &ReceivedRequest) {
        let is_first = {
            let mut state = self.state.lock().unwrap();
            let is_first = !state.down;
            if is_first {
                state.crashes.push((Instant::now(), request.body.clone()));
            }
            is_first
        };
        if is_first {
            self.crash_and_restart();
        }
        std::future::pending::<()>().await;
    }

    /// Crashes on a request before any byte of its answer.
    pub(super) async fn crash_before_head(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> std::io::Result<()> {
        if self.crashed_address() == CrashedAddress::Gateway {
            write_response(stream, 502, &[], b"bad gateway").await?;
        }
        self.crash_by(request).await;
        Ok(())
    }

    fn crashed_address(&self) -> CrashedAddress {
        self.state.lock().unwrap().crashed_address
    }

    /// Serves a connection until the engine crashes, and treats it then as the address does.
    pub(super) async fn serve_until_crash(self, mut stream: TcpStream) {
        let (crashed, closed) = (self.crashed.clone(), self.closed.clone());
        let mut closed = pin!(closed.notified());
        tokio::select! {
            biased;
            () = closed.as_mut() => {}
            () = crashed.notified() => closed.await,
            () = self.clone().serve(&mut stream) => return,
        }
        if self.crashed_address() == CrashedAddress::Resets {
            // Sets that the close, which follows, is a reset.
            let _ = reset(&stream);
        }
    }

    /// Treats connections as the address does after a crash, then starts the next lifetime.
    pub(super) async fn restart_after_crash(&self, mut listener: TcpListener) -> TcpListener {
        let address = self.crashed_address();
        match address {
            CrashedAddress::Refuses | CrashedAddress::Resets | CrashedAddress::RefusesAlive => {
                drop(listener);
                self.closed.notify_waiters();
                sleep(DOWN_TIME).await;
                listener = TcpListener::bind(self.addr).await.unwrap();
            }
            CrashedAddress::Accepts => self.closed.notify_waiters(),
            CrashedAddress::Closes | CrashedAddress::Gateway => {
                self.closed.notify_waiters();
                self.accept_while_down(&listener).await;
            }
            CrashedAddress::Silent => {
                self.accept_while_down(&listener).await;
                self.closed.notify_waiters();
            }
        }
        if address != CrashedAddress::RefusesAlive {
            self.start_again();
        }
        self.state.lock().unwrap().down = false;
        listener
    }

    /// Accepts connections for [`DOWN_TIME`]; they end with it.
    async fn accept_while_down(&self, listener: &TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(self.clone().serve_while_down(stream));
            }
        };
        // Ends after the time, as connections always come.
        let _ = timeout(DOWN_TIME, accepting).await;
    }

    async fn serve_while_down(self, mut stream: TcpStream) {
        let address = self.crashed_address();
        if address == CrashedAddress::Closes {
            return;
        }
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut rest).await {
            if address == CrashedAddress::Silent {
                if !request.path().starts_with("/report") {
                    self.state.lock().unwrap().record_arrival(&request);
                }
                continue;
            }
            if write_response(&mut stream, 502, &[], b"bad gateway")
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// Returns whether a request's prompt has a part, not as the last.
fn has_part(request: &ReceivedRequest, part: &str) -> bool {
    let prefix = request.header("x-mastichinge-prompt-prefix");
    let shared = prefix.rsplit_once(',').map_or("", |(shared, _)| shared);
    let ids = shared.split(',').filter_map(|p| p.split(':').next());
    let number = |id: &str| u64::from_str_radix(id.trim(), 16).ok();
    ids.filter_map(number).any(|id| Some(id) == number(part))
}
