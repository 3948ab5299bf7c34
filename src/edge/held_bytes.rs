//! Counts the bytes held for callers until they are written to their connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::{Buf, Bytes};
use tokio::sync::Notify;

use super::clock;
use super::connections::{Connection, EndCause};
use super::slow_readers::{Held, HoldLimits, Next, UnreadCause};
use super::time_limit::timeout_unless_arrived;
use crate::clock::Moment;

/// Memory of a chunk besides its bytes, as an estimate, bytes.
const CHUNK_OVERHEAD_BYTES: u64 = 128;

/// Bytes held for all callers of a host.
#[derive(Debug, Default)]
pub struct HeldBytes(Cell<u64>);

impl HeldBytes {
    /// Returns the number of bytes.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Bytes held for one response.
#[derive(Debug)]
pub struct Outlet {
    host: Rc<HeldBytes>,
    held: Cell<u64>,
    /// Since when the caller has taken nothing while the engine waited for it.
    unread_since: Cell<Option<Moment>>,
    taken: Notify,
    /// The caller's connection, once the response is written to it.
    connection: RefCell<Option<Rc<Connection>>>,
}

impl Outlet {
    /// Creates the account of a response.
    pub fn new(host: &Rc<HeldBytes>) -> Rc<Self> {
        Rc::new(Outlet {
            host: host.clone(),
            held: Cell::default(),
            unread_since: Cell::default(),
            taken: Notify::new(),
            connection: RefCell::default(),
        })
    }

    /// Returns the number of bytes held for this response.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    /// Counts `bytes` until the chunk is dropped.
    pub fn hold(self: &Rc<Self>, bytes: Bytes) -> HeldChunk {
        let counted = bytes.len() as u64 + CHUNK_OVERHEAD_BYTES;
        self.held.set(self.held.get() + counted);
        self.host.0.set(self.host.0.get() + counted);
        HeldChunk {
            bytes,
            counted,
            outlet: self.clone(),
        }
    }

    /// Sets the connection that the response is written to.
    pub fn set_connection(&self, connection: &Rc<Connection>) {
        *self.connection.borrow_mut() = Some(connection.clone());
    }

    /// Waits until the next part of the response may be read from its engine; the error says
    /// that the response has to end.
    pub async fn room(&self, limits: &HoldLimits) -> Result<(), UnreadCause> {
        let mut held = self.amounts();
        if limits.decide(&held) == Next::Read {
            return Ok(());
        }
        let since = clock::now();
        loop {
            let now = clock::now();
            let unread_since = self.unread_since.get().unwrap_or(now);
            self.unread_since.set(Some(unread_since));
            held.paused = now.saturating_sub(unread_since.max(since));
            held.unread = now.saturating_sub(unread_since);
            match limits.decide(&held) {
                Next::Read => return Ok(()),
                Next::Wait(left) => {
                    // Whether bytes were taken shows in the account.
                    let _ = timeout_unless_arrived(left, self.taken.notified()).await;
                }
                Next::End(cause) => return Err(cause),
            }
            held = self.amounts();
        }
    }

    /// Ends the caller's connection without the end of the response.
    pub fn cut(&self) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.end(EndCause::UnreadResponse);
        }
    }

    /// Returns what is held now.
    fn amounts(&self) -> Held {
        Held {
            response: self.held.get(),
            host: self.host.get(),
            ..Held::default()
        }
    }

    fn record_taken(&self) {
        self.unread_since.set(None);
        self.taken.notify_one();
    }
}

/// Bytes that are counted until they are dropped.
#[derive(Debug)]
pub struct HeldChunk {
    bytes: Bytes,
    counted: u64,
    outlet: Rc<Outlet>,
}

impl Buf for HeldChunk {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        self.outlet.record_taken();
    }
}

impl Drop for HeldChunk {
    fn drop(&mut self) {
        let outlet = &self.outlet;
        outlet.held.set(outlet.held.get() - self.counted);
        outlet.host.0.set(outlet.host.0.get() - self.counted);
        outlet.record_taken();
    }
}
