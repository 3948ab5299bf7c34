//! HTTP client of the operators' API with failover between hosts.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::error::Problem;
use super::{Profile, ToolError};

/// Timeout for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the operators' API.
#[derive(Clone, Debug)]
pub struct Client {
    profile: Profile,
}

/// A request to the operators' API.
#[derive(Clone, Debug, Default)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Version for `If-Match`.
    pub base: Option<u64>,
    /// Version for `If-None-Match`.
    pub known_version: Option<u64>,
    /// Attempt id for `Idempotency-Key`.
    pub attempt: Option<String>,
    /// JSON body.
    pub body: Option<Value>,
}

impl ApiRequest {
    /// Creates a GET request for `path`.
    pub fn get(path: impl Into<String>) -> Self {
        ApiRequest {
            path: path.into(),
            ..ApiRequest::default()
        }
    }
}

/// A successful response of the operators' API.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiResponse {
    /// Host that answered.
    pub host: SocketAddr,
    /// HTTP status code.
    pub status: u16,
    /// Configuration version in the `ETag` header.
    pub version: Option<u64>,
    /// Body; null if it is not JSON.
    pub body: Value,
}

impl ApiResponse {
    /// Deserializes the body as `T`.
    pub fn read<T: DeserializeOwned>(self) -> Result<T, ToolError> {
        let host = self.host;
        serde_json::from_value(self.body).map_err(|err| ToolError::UnexpectedResponse {
            host,
            cause: err.to_string(),
        })
    }
}

impl Client {
    /// Creates a client for the hosts of `profile`.
    pub fn new(profile: &Profile) -> Self {
        Client {
            profile: profile.clone(),
        }
    }

    /// Returns a client for a single host with the same key.
    pub fn for_host(&self, host: SocketAddr) -> Self {
        let profile = Profile {
            hosts: vec![host],
            ..self.profile.clone()
        };
        Client { profile }
    }

    /// Sends a GET request for `path` as [`Client::send`] does.
    pub fn get(&self, path: impl Into<String>) -> Result<ApiResponse, ToolError> {
        self.send(&ApiRequest::get(path))
    }

    /// Sends a repeatable request to the hosts in turn until one answers it.
    ///
    /// Skips hosts that are unreachable, draining or without the table. If all
    /// fail and one of them may have executed the request, the error is
    /// [uncertain](ToolError::is_uncertain).
    pub fn send(&self, request: &ApiRequest) -> Result<ApiResponse, ToolError> {
        let mut last = ToolError::Unreachable("none is named".to_owned());
        for host in &self.profile.hosts {
            let err = match self.send_to(*host, request) {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            if !err.is_retryable() {
                return Err(err);
            }
            if !last.is_uncertain() {
                last = err;
            }
        }
        Err(last)
    }

    fn send_to(&self, host: SocketAddr, request: &ApiRequest) -> Result<ApiResponse, ToolError> {
        let message = self.build_request(host, request);
        let outcome = match &request.body {
            Some(body) => message.text(body.to_string()).send(),
            None => message.send(),
        };
        let response = outcome.map_err(|err| send_error(host, &err))?;
        let status = response.status().as_u16();
        let version = etag_version(&response);
        let body = response.bytes().map_err(|err| send_error(host, &err))?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        if status < 400 {
            return Ok(ApiResponse {
                host,
                status,
                version,
                body,
            });
        }
        let Ok(problem) = serde_json::from_value::<Problem>(body) else {
            let cause = format!("status {status} without problem details");
            return Err(ToolError::UnexpectedResponse { host, cause });
        };
        let problem = Box::new(problem);
        Err(ToolError::Refused { host, problem })
    }

    fn build_request(&self, host: SocketAddr, request: &ApiRequest) -> RequestBuilder {
        let url = format!("http://{host}{}", request.path);
        let mut builder = RequestBuilder::new(request.method.clone(), url)
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(RESPONSE_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .header("Authorization", format!("Bearer {}", self.profile.key));
        if let Some(base) = request.base {
            builder = builder.header("If-Match", format!("\"{base}\""));
        }
        if let Some(version) = request.known_version {
            builder = builder.header("If-None-Match", format!("\"{version}\""));
        }
        if let Some(attempt) = &request.attempt {
            builder = builder.header("Idempotency-Key", attempt);
        }
        builder
    }
}

fn etag_version(response: &Response) -> Option<u64> {
    let tag = response.headers().get("ETag")?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

/// Converts an HTTP error, with a refused connection as `Unreachable`.
fn send_error(host: SocketAddr, err: &attohttpc::Error) -> ToolError {
    let text = format!("{host}: {err}");
    match err.kind() {
        ErrorKind::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => {
            ToolError::Unreachable(text)
        }
        _ => ToolError::NoAnswer(text),
    }
}
