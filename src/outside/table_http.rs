//! HTTP client of the table service.
//!
//! `POST /v1/commit` with [`CommitRequest`] returns [`CommitResponse`], or
//! status 409 with [`CommitConflict`]; `GET /v1/items/KEY` returns an [`Item`]
//! or 404; `GET /v1/items?prefix=P` returns a list of items in key order.
//! Status 4xx other than 408 and 429 means that nothing was written; after any
//! other error status the outcome is unknown.

use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::{RequestBuilder, Response, Session};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::client::{self, BodyType, SendError, Timeouts};
use super::escape::encode;
use super::{Item, Table, TableError, Write};

/// Body of a commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Writes of one transaction.
    pub writes: Vec<Write>,
}

/// Response to a successful commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitResponse {
    /// New version of each item.
    pub versions: Vec<u64>,
}

/// Response to a commit whose precondition failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitConflict {
    /// Key whose precondition failed.
    pub key: Arc<str>,
    /// Current state of the item.
    pub current: Option<Item>,
}

impl From<SendError> for TableError {
    fn from(error: SendError) -> Self {
        TableError::Unavailable(error.to_string())
    }
}

/// HTTP client of the table service.
#[derive(Debug)]
pub struct HttpTable {
    base: String,
    key: Arc<str>,
    timeouts: Timeouts,
    session: Session,
}

impl HttpTable {
    /// Creates a client of the table at `addr`; an empty `key` is not sent.
    pub fn new(addr: SocketAddr, key: Arc<str>, timeouts: Timeouts) -> Self {
        HttpTable {
            base: format!("http://{addr}/v1"),
            key,
            timeouts,
            session: client::session(),
        }
    }

    fn read(&self, request: RequestBuilder) -> Result<Response, TableError> {
        send_request(request, &self.key, self.timeouts, BodyType::None, b"")
    }
}

impl Table for HttpTable {
    fn get(&self, key: &str) -> Result<Option<Item>, TableError> {
        let url = format!("{}/items/{}", self.base, encode(key));
        let response = self.read(self.session.get(url))?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        read_response(response).map(Some)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Item>, TableError> {
        let url = format!("{}/items", self.base);
        let request = self.session.get(url).param("prefix", prefix);
        read_response(self.read(request)?)
    }

    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        let commit = CommitRequest {
            writes: writes.to_vec(),
        };
        let body = serde_json::to_vec(&commit).map_err(|e| TableError::Refused(e.to_string()))?;
        let url = format!("{}/commit", self.base);
        let request = self.session.post(url);
        let response = send_request(request, &self.key, self.timeouts, BodyType::Json, &body)?;
        if response.status().as_u16() == 409 {
            let conflict: CommitConflict = client::read_json(response)?;
            return Err(TableError::Conflict {
                key: conflict.key,
                current: conflict.current,
            });
        }
        let committed: CommitResponse = read_response(response)?;
        if committed.versions.len() != writes.len() {
            let text = "the answer does not name the version of each write";
            return Err(TableError::Unavailable(text.into()));
        }
        Ok(committed.versions)
    }
}

/// Sends a request to a platform service.
pub(super) fn send_request(
    request: RequestBuilder,
    key: &str,
    timeouts: Timeouts,
    body_type: BodyType,
    body: &[u8],
) -> Result<Response, TableError> {
    let request = client::authorize(request, key)
        .connect_timeout(timeouts.connect)
        .read_timeout(timeouts.total)
        .timeout(timeouts.total);
    Ok(client::send(request, body_type, body)?)
}

/// Returns an error for an error status of a platform service.
pub(super) fn check_status(response: Response) -> Result<Response, TableError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = format!(
        "status {}: {}",
        status.as_u16(),
        client::read_error_detail(response)
    );
    match status.as_u16() {
        408 | 429 => Err(TableError::Unavailable(text)),
        400..=499 => Err(TableError::Refused(text)),
        _ => Err(TableError::Unavailable(text)),
    }
}

/// Reads the JSON response of a platform service.
pub(super) fn read_response<T: DeserializeOwned>(response: Response) -> Result<T, TableError> {
    Ok(client::read_json(check_status(response)?)?)
}
