//! The object store over HTTP: `GET` and `PUT` of `/v1/objects/NAME`.

use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::Session;

use super::client::{self, Media, Timeouts};
use super::escape::encode;
use super::table_http::{check, send};
use super::{Objects, TableError};

/// Client of the object store.
#[derive(Debug)]
pub struct HttpObjects {
    base: String,
    key: Arc<str>,
    limits: Timeouts,
    session: Session,
}

impl HttpObjects {
    /// A client of the store at `addr` that shows `key`, unless it is empty.
    pub fn new(addr: SocketAddr, key: Arc<str>, limits: Timeouts) -> Self {
        HttpObjects {
            base: format!("http://{addr}/v1/objects"),
            key,
            limits,
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
        let response = send(request, &self.key, self.limits, Media::None, b"")?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        let body = client::read(check(response)?)?;
        Ok(Some(body))
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        let request = self.session.put(self.url(name));
        check(send(request, &self.key, self.limits, Media::Bytes, body)?)?;
        Ok(())
    }
}
