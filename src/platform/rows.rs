//! Calls of the platform's store, and what its answers hold.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::edge::store::{Page, Row, Table, Write};

/// Longest wait of the store for a change, ms.
const LONGEST_WAIT_MS: u64 = 30_000;

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
    /// The row was dropped; only in feeds.
    #[serde(default, skip_serializing)]
    tombstone: bool,
}

#[derive(Serialize)]
struct WireTx {
    /// Rows with the version that each must have.
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
}

fn name(table: Table) -> &'static str {
    match table {
        Table::Desired => "op",
        Table::Engines => "servers",
        Table::Members => "members",
        Table::Leadership => "tenure",
    }
}

/// Key of the row that holds the desired state.
pub const DESIRED_KEY: &str = "config";

/// The call that reads the rows of a table whose keys follow `after`.
pub fn get(table: Table, after: Option<&str>, host: &str) -> http::Result<Request<Full<Bytes>>> {
    let mut uri = format!("/rows-get?table={}&part=", name(table));
    if let Some(key) = after {
        // The least key above it.
        uri.push_str(&format!("&from={}%00", crate::outside::escape::encode(key)));
    }
    empty(uri, host)
}

/// The call that waits for rows of a table to change after a version.
pub fn feed(
    table: Table,
    after: u64,
    wait_ms: u64,
    host: &str,
) -> http::Result<Request<Full<Bytes>>> {
    let wait = wait_ms.min(LONGEST_WAIT_MS);
    let table = name(table);
    empty(
        format!("/rows-feed?table={table}&after={after}&waitMs={wait}"),
        host,
    )
}

/// The call that writes rows, each under the condition of its version.
pub fn transaction(writes: &[Write], host: &str) -> http::Result<Request<Full<Bytes>>> {
    let mut wire = WireTx {
        expected: Vec::new(),
        writes: Vec::new(),
        remove: Vec::new(),
    };
    for write in writes {
        let row = |value, ver| WireRow {
            table: name(write.table).to_owned(),
            part: String::new(),
            key: write.key.to_string(),
            value,
            ver,
            tombstone: false,
        };
        if let Some(version) = write.expected {
            wire.expected.push(row(None, Some(version)));
        }
        match &write.value {
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

/// Reads the answer to any of these calls.
///
/// A row whose value is not base64 has none, as it holds nothing to use.
pub fn page(bytes: &[u8]) -> Result<Page, serde_json::Error> {
    let wire: WirePage = serde_json::from_slice(bytes)?;
    let mut page = Page {
        version: wire.ver,
        more: wire.has_more,
        rows: Vec::new(),
    };
    for row in wire.rows {
        let value = row.value.filter(|_| !row.tombstone);
        page.rows.push(Row {
            key: row.key.into(),
            version: row.ver.unwrap_or(0),
            value: value.and_then(|v| STANDARD.decode(v).ok()),
            dropped: row.tombstone,
            in_root: row.part.is_empty(),
        });
    }
    Ok(page)
}

fn empty(uri: String, host: &str) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .uri(uri)
        .header(header::HOST, host)
        .body(Full::default())
}
