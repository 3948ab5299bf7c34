//! HTTP client of the object store: `GET` and `PUT` of `/v1/objects/NAME`.

use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::Session;

use super::client::{self, BodyType, Timeouts};
use super::escape::encode;
use super::table_http::{check_status, send_request};
use super::{Objects, TableError};

/// HTTP client of the object store.
#[derive(Debug)]
pub struct HttpObjects {
    base: String,
    key: Arc<str>,
    timeouts: Timeouts,
    session: Session,
}

impl HttpObjects {
    /// Creates a client of the store at `addr`; an empty `key` is not sent.
    pub fn new(addr: SocketAddr, key: Arc<str>, timeouts: Timeouts) -> Self {
        HttpObjects {
            base: format!("http://{addr}/v1/objects"),
            key,
            timeouts,
            session: client::session(),
        }
    }

    fn url(&self, name: &str) -> String {
        format!("{}/{}", self.base, encode(name))
    }
}

impl Objects for HttpObjects {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        let request = self.session.get(self.url(name));
        let response = send_request(request, &self.key, self.timeouts, BodyType::None, b"")?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        let body = client::read_body(check_status(response)?)?;
        Ok(Some(body))
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        let request = self.session.put(self.url(name));
        check_status(send_request(
            request,
            &self.key,
            self.timeouts,
            BodyType::Bytes,
            body,
        )?)?;
        Ok(())
    }
}
