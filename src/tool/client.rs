//! HTTP towards hosts, with the next host tried when one does not answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::error::Problem;
use super::{Profile, ToolError};

/// Time limit for connecting to a host.
const CONNECT: Duration = Duration::from_secs(2);
/// Time limit for a whole answer.
const ANSWER: Duration = Duration::from_secs(15);

/// Client of the operators' API.
#[derive(Clone, Debug)]
pub struct Client {
    profile: Profile,
}

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Version for `If-Match`.
    pub base: Option<u64>,
    /// Version for `If-None-Match`.
    pub known: Option<u64>,
    /// Attempt id for `Idempotency-Key`.
    pub attempt: Option<String>,
    /// JSON body.
    pub body: Option<Value>,
}

impl Ask {
    /// A request that reads `path`.
    pub fn get(path: impl Into<String>) -> Self {
        Ask {
            path: path.into(),
            ..Ask::default()
        }
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Host that answered.
    pub host: SocketAddr,
    /// HTTP status code.
    pub status: u16,
    /// Configuration version of the answer's `ETag`.
    pub version: Option<u64>,
    /// Body; null when it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Reads the body as `T`.
    pub fn read<T: DeserializeOwned>(self) -> Result<T, ToolError> {
        let host = self.host;
        serde_json::from_value(self.body).map_err(|err| ToolError::Answer {
            host,
            cause: err.to_string(),
        })
    }
}

impl Client {
    /// A client for the hosts of `profile`.
    pub fn new(profile: &Profile) -> Self {
        Client {
            profile: profile.clone(),
        }
    }

    /// A client for one host with the same key.
    pub fn only(&self, host: SocketAddr) -> Self {
        let profile = Profile {
            hosts: vec![host],
            ..self.profile.clone()
        };
        Client { profile }
    }

    /// Reads `path` at the first host that answers.
    pub fn get(&self, path: impl Into<String>) -> Result<Answer, ToolError> {
        self.send(&Ask::get(path))
    }

    /// Sends a request that may be repeated to the first host that can answer.
    ///
    /// Hosts that are down, that drain or whose table does not answer are
    /// passed over. When none answers and one of them may have carried the
    /// request out, the error is [uncertain](ToolError::uncertain).
    pub fn send(&self, ask: &Ask) -> Result<Answer, ToolError> {
        let mut last = ToolError::Unreached("none is named".to_owned());
        for host in &self.profile.hosts {
            let err = match self.send_to(*host, ask) {
                Ok(answer) => return Ok(answer),
                Err(err) => err,
            };
            if !err.passes() {
                return Err(err);
            }
            if !last.uncertain() {
                last = err;
            }
        }
        Err(last)
    }

    fn send_to(&self, host: SocketAddr, ask: &Ask) -> Result<Answer, ToolError> {
        let request = self.request(host, ask);
        let outcome = match &ask.body {
            Some(body) => request.text(body.to_string()).send(),
            None => request.send(),
        };
        let response = outcome.map_err(|err| failure(host, &err))?;
        let status = response.status().as_u16();
        let version = version(&response);
        let body = response.bytes().map_err(|err| failure(host, &err))?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        if status < 400 {
            return Ok(Answer {
                host,
                status,
                version,
                body,
            });
        }
        let Ok(problem) = serde_json::from_value::<Problem>(body) else {
            let cause = format!("status {status} without problem details");
            return Err(ToolError::Answer { host, cause });
        };
        let problem = Box::new(problem);
        Err(ToolError::Refused { host, problem })
    }

    fn request(&self, host: SocketAddr, ask: &Ask) -> RequestBuilder {
        let url = format!("http://{host}{}", ask.path);
        let mut request = RequestBuilder::new(ask.method.clone(), url)
            .connect_timeout(CONNECT)
            .read_timeout(ANSWER)
            .timeout(ANSWER)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .header("Authorization", format!("Bearer {}", self.profile.key));
        if let Some(base) = ask.base {
            request = request.header("If-Match", format!("\"{base}\""));
        }
        if let Some(known) = ask.known {
            request = request.header("If-None-Match", format!("\"{known}\""));
        }
        if let Some(attempt) = &ask.attempt {
            request = request.header("Idempotency-Key", attempt);
        }
        request
    }
}

fn version(response: &Response) -> Option<u64> {
    let tag = response.headers().get("ETag")?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

/// The failure of an exchange with `host`, by whether anything was sent.
fn failure(host: SocketAddr, err: &attohttpc::Error) -> ToolError {
    let text = format!("{host}: {err}");
    match err.kind() {
        ErrorKind::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => {
            ToolError::Unreached(text)
        }
        _ => ToolError::Broken(text),
    }
}
