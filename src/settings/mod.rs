//! Settings of one host, read at startup from a file in JSON with comments.

mod check;
mod load;

pub use load::{SettingsError, load, parse, parse_validated, read_file};

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// Placeholder for an address missing from the file.
const UNSET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Firm that this host serves.
    pub firm: Name,
    /// Name of this host in the platform's host list.
    pub host: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Listen addresses.
    pub listen: ListenAddresses,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Peer addresses of all entry hosts, including this one.
    pub peers: Vec<PeerAddress>,
    /// Key that the daemons of this firm share.
    pub peer_key: Name,
    /// API key sent to the platform; empty for none.
    pub platform_key: Name,
    /// SHA-256 of the key of the operator `admin`, hex; empty for none. `admin` has
    /// all permissions, also while the configuration is empty and names no operators.
    pub admin_hash: Name,
    /// Log format, level and file.
    pub log: LogSettings,
    /// Limits on the connections and requests of callers.
    pub limits: ClientLimits,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            firm: "".into(),
            host: "".into(),
            domain: "".into(),
            listen: ListenAddresses::default(),
            platform: PlatformAddresses::default(),
            peers: Vec::new(),
            peer_key: "".into(),
            platform_key: "".into(),
            admin_hash: "".into(),
            log: LogSettings::default(),
            limits: ClientLimits::default(),
        }
    }
}

/// Listen addresses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

impl Default for ListenAddresses {
    fn default() -> Self {
        ListenAddresses {
            callers: UNSET,
            operators: UNSET,
            peers: UNSET,
        }
    }
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformAddresses {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Host list.
    pub hosts: SocketAddr,
}

impl Default for PlatformAddresses {
    fn default() -> Self {
        PlatformAddresses {
            table: UNSET,
            objects: UNSET,
            hosts: UNSET,
        }
    }
}

/// Host name and peer address of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerAddress {
    /// Host name.
    pub host: Name,
    /// Peer address.
    pub addr: SocketAddr,
}

impl Default for PeerAddress {
    fn default() -> Self {
        PeerAddress {
            host: "".into(),
            addr: UNSET,
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Log format, level and file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format of log lines.
    pub form: LogFormat,
    /// Minimum level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Name,
    /// File to append to; standard error when not set.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            form: LogFormat::Text,
            level: "info".into(),
            file: None,
        }
    }
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientLimits {
    /// Maximum number of open caller connections.
    pub connections: u32,
    /// Maximum number of caller requests in progress.
    pub streams: u32,
    /// Maximum size of a request head, bytes.
    pub head: u64,
    /// Maximum size of a request body, bytes.
    pub body: u64,
    /// Time limit for receiving a whole request, ms.
    pub receive_ms: u64,
    /// Time limit for a caller that does not read its response, ms.
    pub send_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            connections: 2_048,
            streams: 1_024,
            head: 16_384,
            body: 1_048_576,
            receive_ms: 10_000,
            send_ms: 10_000,
        }
    }
}
