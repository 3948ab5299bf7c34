//! Settings of one host, read once from a JSON file with comments.

mod check;
mod load;

pub use load::{SettingsError, load, parse, parse_validated, text};

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// Address of a field that the file leaves out.
const UNSET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Firm that this host serves.
    pub firm: Name,
    /// Name of this host, as in the platform's list.
    pub host: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Addresses of the platform.
    pub platform: PlatformAddresses,
    /// Peer addresses of all entry hosts, this one included.
    pub peers: Vec<PeerAddress>,
    /// Key shared by the daemons of this firm.
    pub peer_key: Name,
    /// Key shown to the platform; empty where it checks none.
    pub platform_key: Name,
    /// SHA-256 of the key of the operator `admin`, hex; it may do everything
    /// and opens an empty configuration. Empty for none.
    pub admin_hash: Name,
    /// Form and level of logs.
    pub log: LogSettings,
    /// Limits on clients.
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

/// Addresses to listen on.
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

/// Addresses of the platform.
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

/// A daemon's name and peer address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerAddress {
    /// Name of the host.
    pub host: Name,
    /// Its peer address.
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

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Form and level of logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Form of a line.
    pub form: LogFormat,
    /// Least level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Name,
    /// File to append to; standard error without one.
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

/// Limits on clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientLimits {
    /// Most connections of callers at once.
    pub connections: u32,
    /// Most requests of callers in progress at once.
    pub streams: u32,
    /// Largest head, bytes.
    pub head: u64,
    /// Largest body, bytes.
    pub body: u64,
    /// Time for a client to send a whole request, ms.
    pub receive_ms: u64,
    /// Longest time that a client may refuse to read, ms.
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
