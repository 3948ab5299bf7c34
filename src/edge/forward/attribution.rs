//! Attribution of engines' responses to requests.

use crate::platform::headers::ResponseHeaders;

/// How a response on the connection of a request was attributed to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Attribution {
    /// It echoes the request's id.
    IdMatched,
    /// It has no id, but the connection carried no other request.
    FirstExchange,
    /// It may belong to another request and tells nothing about this one.
    NotBelieved,
}

impl Attribution {
    /// Attributes a response to the request `id`; `reused` tells whether its connection
    /// carried another request before.
    pub fn of(id: &str, response: &ResponseHeaders, reused: bool) -> Self {
        match &*response.id {
            "" if !reused => Attribution::FirstExchange,
            "" => Attribution::NotBelieved,
            echoed if echoed == id => Attribution::IdMatched,
            _ => Attribution::NotBelieved,
        }
    }
}
