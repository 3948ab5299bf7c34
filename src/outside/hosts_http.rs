//! The platform's host list over HTTP: `GET /v1/hosts` answers [`Hosts`].

use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::Session;

use super::client::{self, BodyType, Timeouts};
use super::table_http::{read_answer, send_request};
use super::{HostList, Hosts, TableError};

/// Client of the host list.
#[derive(Debug)]
pub struct HttpHosts {
    url: String,
    key: Arc<str>,
    timeouts: Timeouts,
    session: Session,
}

impl HttpHosts {
    /// A client of the list at `addr` that shows `key`, unless it is empty.
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
        read_answer(send_request(
            request,
            &self.key,
            self.timeouts,
            BodyType::None,
            b"",
        )?)
    }
}
