//! Client of the platform's store: versioned rows, conditional writes, change feeds.
//!
//! The store may come back from an older copy, and gives versions out again then. Each of its
//! responses names its era, which rises with that: versions of two eras do not compare.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use tokio::sync::watch;

use super::client::{CallLimits, Client};
use super::clock;
use crate::clock::Moment;
use crate::platform::rows;

/// Time limit for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit of a call, on top of the time that the store is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum size of a response of the store, bytes: its own limit plus the overhead of
/// JSON.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Tables of the store that are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// The desired state.
    Desired,
    /// Entries of engines.
    Engines,
    /// Rows of the daemons.
    Members,
    /// The row that names the leader.
    #[strum(serialize = "tenure")]
    Leadership,
    /// Features of requests that crash engines.
    Held,
    /// Base versions of services.
    Bases,
    /// Versions at which streams began that did not begin at the base version.
    Origins,
}

/// Name of the part of a table that has none.
pub const UNNAMED_PART: &str = "";

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: Arc<str>,
    /// Version of its last change.
    pub version: u64,
    /// Content; absent when the row is deleted or cannot be decoded.
    pub value: Option<Vec<u8>>,
    /// Whether the row was deleted.
    pub deleted: bool,
    /// Whether it is in the unnamed part of its table; rows of other parts are not used.
    pub unnamed_part: bool,
}

/// A page of rows in a response of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Latest version in the store.
    pub version: u64,
    /// Era of that version; 0 if the store names none.
    pub era: u64,
    /// Whether more rows follow.
    pub has_more: bool,
    /// Time of the store's steady clock, ms.
    pub now_ms: u64,
    /// Rows.
    pub rows: Vec<Row>,
}

/// One row written or deleted by a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Table.
    pub table: Table,
    /// Part of the table; the same for all changes of a transaction.
    pub part: &'static str,
    /// Key.
    pub key: Arc<str>,
    /// Version that the row must have; 0 when it must not exist, absent for any.
    pub expected_version: Option<u64>,
    /// New content; absent to delete the row.
    pub value: Option<Vec<u8>>,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store refused the call; nothing was changed.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The changes after the requested version are no longer kept.
    #[error("the store no longer keeps the history after the version")]
    HistoryExpired,
    /// No response came; the call may have been carried out.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The response is of an earlier era of the store than others were.
    #[error("the store's response is of era {0}, which is over")]
    EarlierEra(u64),
    /// The response cannot be decoded.
    #[error("the store's response cannot be decoded: {0}")]
    Unreadable(String),
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was committed; the version that it created.
    Committed(u64),
    /// A condition failed; the current rows.
    Conflict(RowPage),
}

/// Availability of the store to this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Time of the last response.
    pub last_response: Option<Moment>,
    /// Time of the first failure since that response; absent while the store responds.
    pub failing_since: Option<Moment>,
    /// End of the last outage.
    pub restored_at: Option<Moment>,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    addr: Rc<Cell<SocketAddr>>,
    client: Client,
    availability: Rc<Cell<Availability>>,
    /// Highest era of a response; absent before the first that names one.
    era: Rc<watch::Sender<Option<u64>>>,
    /// When the store has come back from an older copy, the last time that it did.
    era_since: Rc<Cell<Option<Moment>>>,
    /// Time of the store's clock in its last response, ms, and when that came.
    clock: Rc<Cell<(u64, Moment)>>,
    /// Whether a response without an era was logged.
    unnamed_logged: Rc<Cell<bool>>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: SocketAddr, client: Client) -> Self {
        StoreClient {
            addr: Rc::new(Cell::new(addr)),
            client,
            availability: Rc::default(),
            era: Rc::new(watch::Sender::new(None)),
            era_since: Rc::default(),
            clock: Rc::default(),
            unnamed_logged: Rc::default(),
        }
    }

    /// Changes the address of the store.
    pub fn set_addr(&self, addr: SocketAddr) {
        self.addr.set(addr);
    }

    /// Returns the availability of the store to this host.
    pub fn availability(&self) -> Availability {
        self.availability.get()
    }

    /// Returns the era of the store; 0 if it names none.
    pub fn era(&self) -> u64 {
        self.era.borrow().unwrap_or(0)
    }

    /// Returns when the store has come back from an older copy, if it has.
    pub fn era_since(&self) -> Option<Moment> {
        self.era_since.get()
    }

    /// Returns the time of the store's steady clock, ms, which all hosts share.
    pub fn now_ms(&self) -> u64 {
        let (ms, at) = self.clock.get();
        ms + clock::now().saturating_sub(at).as_millis() as u64
    }

    /// Returns a receiver that is notified when the store has come back from an older copy.
    pub fn eras(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Reads all rows of the unnamed part of a table, page by page.
    pub async fn read_table(&self, table: Table) -> Result<RowPage, StoreError> {
        self.read_part(table, UNNAMED_PART).await
    }

    /// Reads one row of a part of a table, if it exists.
    pub async fn read_row(
        &self,
        table: Table,
        part: &str,
        key: &str,
    ) -> Result<Option<Row>, StoreError> {
        let request = rows::row_request(table, part, key, &self.host());
        let page = self.read_page(table, request, CALL_TIMEOUT).await?;
        Ok(page.rows.into_iter().find(|row| &*row.key == key))
    }

    /// Reads all rows of a part of a table, page by page.
    pub async fn read_part(&self, table: Table, part: &str) -> Result<RowPage, StoreError> {
        let mut all = RowPage::default();
        loop {
            let last = all.rows.last().map(|row: &Row| row.key.clone());
            let request = rows::read_request(table, part, last.as_deref(), &self.host());
            let page = self.read_page(table, request, CALL_TIMEOUT).await?;
            if !all.rows.is_empty() && page.era != all.era {
                // The pages before are of another history.
                all = RowPage::default();
                continue;
            }
            all.era = page.era;
            if all.rows.is_empty() {
                // A feed from this version returns all changes made during the reading.
                all.version = page.version;
            }
            let has_more = page.has_more && !page.rows.is_empty();
            all.rows.extend(page.rows);
            if !has_more {
                return Ok(all);
            }
        }
    }

    /// Waits up to `wait` for changes of a table's rows after a version.
    pub async fn read_changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<RowPage, StoreError> {
        let request = rows::feed_request(table, after, wait.as_millis() as u64, &self.host());
        self.read_page(table, request, CALL_TIMEOUT + wait).await
    }

    /// Writes all rows in one transaction, or none when a condition on a version fails.
    pub async fn commit(&self, changes: &[RowChange]) -> Result<CommitOutcome, StoreError> {
        let table = changes.first().map_or(Table::Members, |c| c.table);
        let request = rows::transaction_request(changes, &self.host());
        let response = self.call(table, request, CALL_TIMEOUT).await?;
        let page = self.decode(response.body())?;
        match response.status().as_u16() {
            412 => Ok(CommitOutcome::Conflict(page)),
            _ => Ok(CommitOutcome::Committed(page.version)),
        }
    }

    fn host(&self) -> String {
        self.addr.get().to_string()
    }

    async fn read_page(
        &self,
        table: Table,
        request: http::Result<Request<Full<Bytes>>>,
        timeout: Duration,
    ) -> Result<RowPage, StoreError> {
        let response = self.call(table, request, timeout).await?;
        self.decode(response.body())
    }

    /// Decodes a response that has just been received.
    fn decode(&self, body: &[u8]) -> Result<RowPage, StoreError> {
        let page = rows::decode_page(body).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        self.clock.set((page.now_ms, clock::now()));
        let era = self.era();
        Ok(RowPage { era, ..page })
    }

    async fn call(
        &self,
        table: Table,
        request: http::Result<Request<Full<Bytes>>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = request.map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let limits = CallLimits {
            connect_timeout: CONNECT_TIMEOUT,
            total_timeout: timeout,
            max_bytes: MAX_RESPONSE_BYTES,
        };
        let outcome = self.client.call(self.addr.get(), request, limits).await;
        let outcome = match outcome {
            Err(error) => Err(StoreError::NoAnswer(error.to_string())),
            Ok(response) if let Err(error) = self.record_era(table, response.headers()) => {
                Err(error)
            }
            Ok(response) => match response.status().as_u16() {
                200 | 412 => Ok(response),
                410 => Err(StoreError::HistoryExpired),
                status => Err(StoreError::Refused(status)),
            },
        };
        self.record_outcome(table, outcome.as_ref().err());
        outcome
    }

    /// Records the era of a response.
    ///
    /// # Errors
    ///
    /// Fails if the response is not to be believed.
    fn record_era(&self, table: Table, headers: &HeaderMap) -> Result<(), StoreError> {
        let table: &'static str = table.into();
        let known = *self.era.borrow();
        let era = match rows::store_era(headers) {
            Ok(Some(era)) => era,
            Ok(None) => {
                if !self.unnamed_logged.replace(true) {
                    let era = known.unwrap_or(0);
                    log::info!(table, era; "the store names no era, the known one is assumed");
                }
                return Ok(());
            }
            Err(error) => {
                log::warn!(table, error:%; "response of the store not believed");
                return Err(StoreError::Unreadable(error.to_string()));
            }
        };
        match known {
            Some(known) if era < known => {
                log::warn!(table, era, known; "response of an earlier era of the store dropped");
                return Err(StoreError::EarlierEra(era));
            }
            Some(known) if era > known => {
                log::warn!(table, era, known;
                    "store has come back from an older copy, everything is read again");
                let now = clock::now();
                self.era_since.set(Some(now));
                let mut availability = self.availability.get();
                availability.restored_at = Some(now);
                self.availability.set(availability);
                self.era.send_replace(Some(era));
            }
            Some(_) => {}
            None => {
                self.era.send_if_modified(|known| {
                    *known = Some(era);
                    // Nothing was read before.
                    false
                });
            }
        }
        Ok(())
    }

    /// Updates the availability of the store and logs changes of it.
    fn record_outcome(&self, table: Table, error: Option<&StoreError>) {
        let now = clock::now();
        let mut availability = self.availability.get();
        let table: &'static str = table.into();
        match error {
            None | Some(StoreError::HistoryExpired) => {
                if let Some(since) = availability.failing_since.take() {
                    let away_ms = (now - since).as_millis() as u64;
                    log::info!(table, away_ms; "store available again");
                    availability.restored_at = Some(now);
                }
                availability.last_response = Some(now);
            }
            // Other responses tell whether the store is available.
            Some(StoreError::EarlierEra(_)) => {}
            Some(error) if availability.failing_since.is_none() => {
                log::warn!(table, error:%; "store unavailable");
                availability.failing_since = Some(now);
                self.client.drop_idle(self.addr.get());
            }
            Some(_) => {}
        }
        self.availability.set(availability);
    }
}
