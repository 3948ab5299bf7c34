//! Encodes calls to the platform's store and decodes its responses.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::edge::store::{Row, RowChange, RowPage, Table};

/// Number of the store's history: it rises when the store has come back from an older copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Maximum time that the store waits for a change, ms.
const MAX_WAIT_MS: u64 = 30_000;

#[derive(Serialize, Deserialize)]
struct WireRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ver: Option<u64>,
    /// Whether the row was deleted; only in feeds.
    #[serde(default, skip_serializing)]
    tombstone: bool,
}

#[derive(Serialize)]
struct WireTransaction {
    /// Rows with the version that each must have for the transaction to commit.
    expected: Vec<WireRow>,
    writes: Vec<WireRow>,
    remove: Vec<WireRow>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage {
    #[serde(default)]
    rows: Vec<WireRow>,
    #[serde(default)]
    has_more: bool,
    ver: u64,
    #[serde(default)]
    now_ms: u64,
}

fn table_name(table: Table) -> &'static str {
    match table {
        Table::Desired => "op",
        Table::Engines => "servers",
        Table::Members => "members",
        Table::Leadership => "tenure",
        Table::Held => "held",
        Table::Bases => "bases",
        Table::Origins => "origins",
    }
}

/// Key of the row with the desired state.
pub const DESIRED_KEY: &str = "config";

/// An era that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("Store-Era {0:?} is not a whole number")]
pub struct InvalidEra(String);

/// Returns the era of a response of the store; `None` if it names none.
///
/// # Errors
///
/// Returns the value if it is not a whole number.
pub fn store_era(headers: &HeaderMap) -> Result<Option<u64>, InvalidEra> {
    let Some(value) = headers.get(STORE_ERA) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    match text.trim().parse() {
        Ok(era) => Ok(Some(era)),
        Err(_) => Err(InvalidEra(text.into_owned())),
    }
}

/// Returns the call that reads the rows of a part of a table with keys greater than `after`.
pub fn read_request(
    table: Table,
    part: &str,
    after: Option<&str>,
    host: &str,
) -> http::Result<Request<Full<Bytes>>> {
    let mut uri = format!("/rows-get?table={}&part={part}", table_name(table));
    if let Some(key) = after {
        // The smallest key greater than it.
        uri.push_str(&format!("&from={}%00", crate::outside::escape::encode(key)));
    }
    get_request(uri, host)
}

/// Returns the call that reads the row of a table with this key; the key needs no escapes.
pub fn row_request(
    table: Table,
    part: &str,
    key: &str,
    host: &str,
) -> http::Result<Request<Full<Bytes>>> {
    let table = table_name(table);
    // A key greater than this one, and than no other.
    let next = format!("{key}%00");
    get_request(
        format!("/rows-get?table={table}&part={part}&from={key}&to={next}&limit=1"),
        host,
    )
}

/// Returns the call that waits for changes of a table's rows after a version.
pub fn feed_request(
    table: Table,
    after: u64,
    wait_ms: u64,
    host: &str,
) -> http::Result<Request<Full<Bytes>>> {
    let wait = wait_ms.min(MAX_WAIT_MS);
    let table = table_name(table);
    get_request(
        format!("/rows-feed?table={table}&after={after}&waitMs={wait}"),
        host,
    )
}

/// Returns the call that commits changes with conditions on the rows' versions.
pub fn transaction_request(
    changes: &[RowChange],
    host: &str,
) -> http::Result<Request<Full<Bytes>>> {
    let mut wire = WireTransaction {
        expected: Vec::new(),
        writes: Vec::new(),
        remove: Vec::new(),
    };
    for change in changes {
        let row = |value, ver| WireRow {
            table: table_name(change.table).to_owned(),
            part: change.part.to_owned(),
            key: change.key.to_string(),
            value,
            ver,
            tombstone: false,
        };
        if let Some(version) = change.expected_version {
            wire.expected.push(row(None, Some(version)));
        }
        match &change.value {
            Some(value) => wire.writes.push(row(Some(STANDARD.encode(value)), None)),
            None => wire.remove.push(row(None, None)),
        }
    }
    Request::builder()
        .method(Method::POST)
        .uri("/rows-tx")
        .header(header::HOST, host)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(
            serde_json::to_vec(&wire).unwrap_or_default().into(),
        ))
}

/// Decodes the response to any of these calls.
///
/// A row whose value is not valid base64 gets no value, as its content cannot be used.
pub fn decode_page(bytes: &[u8]) -> Result<RowPage, serde_json::Error> {
    let wire: WirePage = serde_json::from_slice(bytes)?;
    let mut page = RowPage {
        version: wire.ver,
        era: 0,
        has_more: wire.has_more,
        now_ms: wire.now_ms,
        rows: Vec::new(),
    };
    for row in wire.rows {
        let value = row.value.filter(|_| !row.tombstone);
        page.rows.push(Row {
            key: row.key.into(),
            version: row.ver.unwrap_or(0),
            value: value.and_then(|v| STANDARD.decode(v).ok()),
            deleted: row.tombstone,
            unnamed_part: row.part.is_empty(),
        });
    }
    Ok(page)
}

fn get_request(uri: String, host: &str) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .uri(uri)
        .header(header::HOST, host)
        .body(Full::default())
}
