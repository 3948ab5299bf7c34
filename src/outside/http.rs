//! HTTP clients of all outside systems.

use std::sync::Arc;

use super::Platform;
use super::client::Timeouts;
use super::engine_http::HttpEngine;
use super::hosts_http::HttpHosts;
use super::objects_http::HttpObjects;
use super::table_http::HttpTable;
use crate::settings::PlatformAddresses;

/// HTTP clients of all outside systems.
#[derive(Debug)]
pub struct HttpPlatform {
    table: HttpTable,
    objects: HttpObjects,
    hosts: HttpHosts,
    engine: HttpEngine,
}

impl HttpPlatform {
    /// Creates clients of the services at `addrs`; an empty `key` is not sent.
    pub fn new(addrs: PlatformAddresses, key: Arc<str>, timeouts: Timeouts) -> Self {
        HttpPlatform {
            table: HttpTable::new(addrs.table, key.clone(), timeouts),
            objects: HttpObjects::new(addrs.objects, key.clone(), timeouts),
            hosts: HttpHosts::new(addrs.hosts, key, timeouts),
            engine: HttpEngine::default(),
        }
    }
}

impl Platform for HttpPlatform {
    type Table = HttpTable;
    type Objects = HttpObjects;
    type Hosts = HttpHosts;
    type Engine = HttpEngine;

    fn table(&self) -> &HttpTable {
        &self.table
    }

    fn objects(&self) -> &HttpObjects {
        &self.objects
    }

    fn hosts(&self) -> &HttpHosts {
        &self.hosts
    }

    fn engine(&self) -> &HttpEngine {
        &self.engine
    }
}
