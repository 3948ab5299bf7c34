//! Client of the platform's store: versioned rows, conditional writes, feeds.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;

use super::client::{CallLimits, Client, SendError};
use super::clock;
use crate::clock::Moment;
use crate::platform::rows;

/// Time limit of a connection to the store.
const CONNECT: Duration = Duration::from_millis(600);
/// Time limit of a call, over the time that the store is asked to wait.
const CALL: Duration = Duration::from_millis(1_200);
/// Longest answer of the store, bytes: its own limit with the overhead of JSON.
const ANSWER_BYTES: usize = 4 << 20;

/// Tables in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// The desired state.
    Desired,
    /// Entries of engines.
    Engines,
    /// Daemons.
    Members,
    /// The row that names the leader.
    #[strum(serialize = "tenure")]
    Leadership,
}

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: Arc<str>,
    /// Version of its last change.
    pub version: u64,
    /// Content; absent when it is dropped or cannot be read.
    pub value: Option<Vec<u8>>,
    /// The row was dropped.
    pub dropped: bool,
    /// It lies in the unnamed part of its table.
    pub in_root: bool,
}

/// An answer of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Newest version in the store.
    pub version: u64,
    /// More rows follow.
    pub more: bool,
    /// Rows.
    pub rows: Vec<Row>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table.
    pub table: Table,
    /// Key.
    pub key: Arc<str>,
    /// Version that the row must have; 0 for none, absent for any.
    pub expected: Option<u64>,
    /// New content; absent to drop the row.
    pub value: Option<Vec<u8>>,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The history after the version is no longer kept.
    #[error("the store no longer has the history")]
    Forgotten,
    /// It may or may not have been done.
    #[error("the store did not answer: {0}")]
    Silent(String),
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Done; the version that it made.
    Done(u64),
    /// A condition did not hold; the rows as they stand.
    Conflict(Page),
}

/// Whether the store serves this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Last answer.
    pub answered: Option<Moment>,
    /// First failure since.
    pub failing: Option<Moment>,
    /// End of the last time without answers.
    pub back: Option<Moment>,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    addr: Rc<Cell<SocketAddr>>,
    client: Client,
    reach: Rc<Cell<Reach>>,
}

impl Store {
    /// A client of the store at `addr`.
    pub fn new(addr: SocketAddr, client: Client) -> Self {
        Store {
            addr: Rc::new(Cell::new(addr)),
            client,
            reach: Rc::default(),
        }
    }

    /// Uses another address from now on.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
    }

    /// Whether the store serves this host.
    pub fn reach(&self) -> Reach {
        self.reach.get()
    }

    /// Reads all rows of a table, over as many calls as that takes.
    pub async fn read(&self, table: Table) -> Result<Page, StoreError> {
        let mut all = Page::default();
        loop {
            let last = all.rows.last().map(|row: &Row| row.key.clone());
            let request = rows::get(table, last.as_deref(), &self.host());
            let page = self.page(table, request, CALL).await?;
            if all.rows.is_empty() {
                // Later changes than this are seen again by a feed from it.
                all.version = page.version;
            }
            let more = page.more && !page.rows.is_empty();
            all.rows.extend(page.rows);
            if !more {
                return Ok(all);
            }
        }
    }

    /// Waits for rows of a table to change after a version.
    pub async fn feed(&self, table: Table, after: u64, wait: Duration) -> Result<Page, StoreError> {
        let request = rows::feed(table, after, wait.as_millis() as u64, &self.host());
        self.page(table, request, CALL + wait).await
    }

    /// Writes rows under conditions: all of them or none.
    pub async fn commit(&self, writes: &[Write]) -> Result<Commit, StoreError> {
        let table = writes.first().map_or(Table::Members, |w| w.table);
        let request = rows::transaction(writes, &self.host());
        let response = self.call(table, request, CALL).await?;
        let page = decode(response.body())?;
        match response.status().as_u16() {
            412 => Ok(Commit::Conflict(page)),
            _ => Ok(Commit::Done(page.version)),
        }
    }

    fn host(&self) -> String {
        self.addr.get().to_string()
    }

    async fn page(
        &self,
        table: Table,
        request: http::Result<Request<Full<Bytes>>>,
        total: Duration,
    ) -> Result<Page, StoreError> {
        decode(self.call(table, request, total).await?.body())
    }

    async fn call(
        &self,
        table: Table,
        request: http::Result<Request<Full<Bytes>>>,
        total: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = request.map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let limits = CallLimits {
            connect_timeout: CONNECT,
            total_timeout: total,
            max_bytes: ANSWER_BYTES,
        };
        let outcome = self.client.call(self.addr.get(), request, limits).await;
        let outcome = match outcome {
            Err(SendError::NotSent(error)) => Err(StoreError::Silent(error)),
            Err(SendError::ConnectionLost(error)) => Err(StoreError::Silent(error)),
            Ok(response) => match response.status().as_u16() {
                200 | 412 => Ok(response),
                410 => Err(StoreError::Forgotten),
                status => Err(StoreError::Refused(status)),
            },
        };
        self.note(table, outcome.as_ref().err());
        outcome
    }

    /// Notes whether the store answered; logs when that changes.
    fn note(&self, table: Table, error: Option<&StoreError>) {
        let now = clock::now();
        let mut reach = self.reach.get();
        let table: &'static str = table.into();
        match error {
            None | Some(StoreError::Forgotten) => {
                if let Some(since) = reach.failing.take() {
                    let away_ms = (now - since).as_millis() as u64;
                    log::info!(table, away_ms; "store regained");
                    reach.back = Some(now);
                }
                reach.answered = Some(now);
            }
            Some(error) if reach.failing.is_none() => {
                log::warn!(table, error:%; "store lost");
                reach.failing = Some(now);
                self.client.drop_idle(self.addr.get());
            }
            Some(_) => {}
        }
        self.reach.set(reach);
    }
}

fn decode(body: &[u8]) -> Result<Page, StoreError> {
    rows::page(body).map_err(|e| StoreError::Unreadable(e.to_string()))
}
