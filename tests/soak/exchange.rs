//! One exchange at an engine, and the bytes of its responses.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::engine_faults::EngineFault;
use crate::fakes::Framing;

/// Time that an engine may be silent, ms.
const SILENCE_MS: std::ops::Range<u64> = 500..2_000;

/// Pause for which an engine may ask, ms.
const PAUSE_MS: std::ops::Range<u64> = 600..3_000;

/// A response that belongs to no request and is sent when the next request arrives.
pub struct Extra {
    pub fault: EngineFault,
    pub bytes: Vec<u8>,
}

/// A request in progress.
pub struct Exchange<'a> {
    pub stream: &'a mut TcpStream,
    pub id: String,
    /// Name of the caller's attempt; the id, unless the caller has used it before.
    pub name: String,
    /// Id of the engine.
    pub engine: String,
    /// Lifetime of the engine.
    pub lifetime: String,
    pub fault: Option<EngineFault>,
    /// Number for choices within the request.
    pub random: u64,
    /// When the request arrived.
    pub arrived_at: Duration,
    /// Whether the engine has rejected the request.
    pub rejected: bool,
}

impl Exchange<'_> {
    pub fn pause(&self, max_ms: u64) -> Duration {
        Duration::from_millis(1 + self.random % max_ms)
    }

    pub fn silence(&self) -> Duration {
        let span = SILENCE_MS.end - SILENCE_MS.start;
        Duration::from_millis(SILENCE_MS.start + self.random % span)
    }

    /// Returns the pause that the engine asks for with a rejection, if any.
    pub fn pause_asked(&self) -> Option<Duration> {
        use EngineFault as F;
        let asks = matches!(self.fault, Some(F::RejectPause | F::RejectPauseAnonymous));
        let ms = PAUSE_MS.start + self.random % (PAUSE_MS.end - PAUSE_MS.start);
        asks.then(|| Duration::from_millis(ms))
    }

    /// Returns whether a stream starts; failures with a status come before it.
    pub fn runs_whole(&self) -> bool {
        use EngineFault as F;
        !matches!(
            self.fault,
            Some(F::Failure | F::TimeLimit | F::FullAfterRun)
        )
    }

    /// Returns what marks the end of a stream.
    pub fn stream_framing(&self) -> Framing {
        use EngineFault as F;
        match self.fault {
            Some(F::Unframed | F::UnframedReset) => Framing::Close,
            Some(F::EndInside) if self.random.is_multiple_of(2) => Framing::Close,
            _ => Framing::Chunked,
        }
    }

    /// Returns the response to send when the next request arrives.
    pub fn extra(&self) -> Option<Extra> {
        use EngineFault as F;
        let fault = self.fault?;
        let with_id = !matches!(fault, F::ExtraAnonymous | F::ExtraAnonymousRejection);
        let bytes = match fault {
            // An engine signs no success of a request that it has rejected.
            F::ExtraAnswer | F::ExtraAnonymous if !self.rejected => {
                extra_answer(&self.id, &self.lifetime, with_id)
            }
            F::ExtraRejection | F::ExtraAnonymousRejection | F::RejectAgain => {
                rejection(&self.id, 503, with_id, "")
            }
            _ => return None,
        };
        Some(Extra { fault, bytes })
    }

    /// Closes the connection in the middle of an exchange.
    pub async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        Err(io::ErrorKind::BrokenPipe.into())
    }

    /// Sends bytes that continue no response and start none.
    pub async fn send_garbage(&mut self) -> io::Result<()> {
        self.stream.write_all(b"\x00\x16zz\r\n\r\n").await?;
        self.close().await
    }

    /// Waits until the daemon closes the connection.
    pub async fn hang(&mut self) -> io::Result<()> {
        closed(self.stream).await;
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

pub fn answer_head(
    id: &str,
    lifetime: &str,
    (status, length): (u16, Option<usize>),
    headers: &str,
) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nX-Mastichinge-Request-Id: {id}\r\n\
         X-Mastichinge-Server-Stamp: {lifetime}.{id}\r\n{headers}"
    );
    if let Some(length) = length {
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head.push_str("\r\n");
    head.into_bytes()
}

pub fn extra_answer(id: &str, lifetime: &str, with_id: bool) -> Vec<u8> {
    let named = if with_id {
        format!("X-Mastichinge-Request-Id: {id}\r\n")
    } else {
        String::new()
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\n{named}X-Mastichinge-Server-Stamp: {lifetime}.{id}\r\n\
         Content-Length: 5\r\n\r\nextra"
    );
    text.into_bytes()
}

pub fn rejection(id: &str, status: u16, with_id: bool, headers: &str) -> Vec<u8> {
    let named = if with_id {
        format!("X-Mastichinge-Request-Id: {id}\r\n")
    } else {
        String::new()
    };
    let text = format!(
        "HTTP/1.1 {status} Status\r\n{named}X-Mastichinge-Not-Run: 1\r\n\
         {headers}Content-Length: 4\r\n\r\nfull"
    );
    text.into_bytes()
}

/// Waits until the connection's other side has closed it.
pub async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// Ends a connection with a reset.
pub fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    Err(io::ErrorKind::ConnectionReset.into())
}
