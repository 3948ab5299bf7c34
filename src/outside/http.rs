//! All outside systems over HTTP.

use std::sync::Arc;

use super::Platform;
use super::client::Timeouts;
use super::engine_http::HttpEngine;
use super::hosts_http::HttpHosts;
use super::objects_http::HttpObjects;
use super::table_http::HttpTable;
use crate::settings::PlatformAddresses;

/// All outside systems over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    table: HttpTable,
    objects: HttpObjects,
    hosts: HttpHosts,
    engine: HttpEngine,
}

impl HttpPlatform {
    /// Clients of the services at `addrs` that show `key`, unless it is empty.
    pub fn new(addrs: PlatformAddresses, key: Arc<str>, limits: Timeouts) -> Self {
        HttpPlatform {
            table: HttpTable::new(addrs.table, key.clone(), limits),
            objects: HttpObjects::new(addrs.objects, key.clone(), limits),
            hosts: HttpHosts::new(addrs.hosts, key, limits),
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
