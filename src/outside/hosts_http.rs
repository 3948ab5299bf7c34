//! HTTP client of the platform's host list: `GET /v1/hosts` returns [`Hosts`].

use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::Session;

use super::client::{self, BodyType, Timeouts};
use super::table_http::{read_response, send_request};
use super::{HostList, Hosts, TableError};

/// HTTP client of the host list.
#[derive(Debug)]
pub struct HttpHosts {
    url: String,
    key: Arc<str>,
    timeouts: Timeouts,
    session: Session,
}

impl HttpHosts {
    /// Creates a client of the host list at `addr`; an empty `key` is not sent.
    pub fn new(addr: SocketAddr, key: Arc<str>, timeouts: Timeouts) -> Self {
        HttpHosts {
            url: format!("http://{addr}/v1/hosts"),
            key,
            timeouts,
            session: client::session(),
        }
    }
}

impl HostList for HttpHosts {
    fn read(&self) -> Result<Hosts, TableError> {
        let request = self.session.get(&self.url);
        read_response(send_request(
            request,
            &self.key,
            self.timeouts,
            BodyType::None,
            b"",
        )?)
    }
}
