//! Attribution of engines' responses to requests.

use crate::edge::carried::Earlier;
use crate::platform::headers::ResponseHeaders;

/// How a response on the connection of a request was attributed to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Attribution {
    /// It echoes the request's id, which the connection had not carried before.
    IdMatched,
    /// It has no id, but the connection carried no other request.
    FirstExchange,
    /// It may belong to another request, or to an earlier sending with the same id, and tells
    /// nothing about this one.
    NotBelieved,
}

impl Attribution {
    /// Attributes a response to the request `id`, which is empty if it has none; `earlier` is what
    /// the connection had carried before the request.
    pub fn of(id: &str, response: &ResponseHeaders, earlier: Earlier) -> Self {
        if response.ambiguous {
            return Attribution::NotBelieved;
        }
        match (&*response.id, earlier) {
            ("", Earlier::Nothing) => Attribution::FirstExchange,
            // A call is no request, so that no response to it is signed.
            ("", Earlier::Calls) if id.is_empty() && response.signed => Attribution::FirstExchange,
            ("", _) | (_, Earlier::SameId) => Attribution::NotBelieved,
            (echoed, _) if echoed == id => Attribution::IdMatched,
            _ => Attribution::NotBelieved,
        }
    }
}

#[cfg(test)]
mod tests {
    use http::{HeaderMap, HeaderName, HeaderValue};

    use super::*;
    use crate::platform::headers::parse_response;

    fn of(id: &str, echoed: &[&str], signed: bool, earlier: Earlier) -> Attribution {
        let mut headers = HeaderMap::new();
        let name = HeaderName::from_static("x-mastichinge-request-id");
        for id in echoed {
            headers.append(&name, HeaderValue::from_bytes(id.as_bytes()).unwrap());
        }
        if signed {
            let name = HeaderName::from_static("x-mastichinge-server-stamp");
            headers.insert(name, HeaderValue::from_static("stamp"));
        }
        Attribution::of(id, &parse_response(&headers), earlier)
    }

    #[test]
    fn an_id_proves_nothing_if_the_connection_had_carried_it() {
        for earlier in [Earlier::Nothing, Earlier::Calls, Earlier::Requests] {
            assert_eq!(of("b1", &["b1"], true, earlier), Attribution::IdMatched);
            assert_eq!(of("b1", &["b2"], true, earlier), Attribution::NotBelieved);
        }
        let repeated = of("b1", &["b1"], true, Earlier::SameId);
        assert_eq!(repeated, Attribution::NotBelieved);
    }

    #[test]
    fn a_response_without_an_id_is_believed_only_if_the_connection_had_carried_nothing() {
        let first = of("b1", &[], false, Earlier::Nothing);
        assert_eq!(first, Attribution::FirstExchange);
        for earlier in [Earlier::Calls, Earlier::Requests, Earlier::SameId] {
            assert_eq!(of("b1", &[], true, earlier), Attribution::NotBelieved);
        }
    }

    #[test]
    fn a_call_before_a_request_without_an_id_leaves_only_signed_responses_believed() {
        let signed = of("", &[], true, Earlier::Calls);
        assert_eq!(signed, Attribution::FirstExchange);
        let unsigned = of("", &[], false, Earlier::Calls);
        assert_eq!(unsigned, Attribution::NotBelieved);
    }

    #[test]
    fn several_ids_or_one_that_cannot_be_read_prove_nothing() {
        for echoed in [&["b1", "b2"][..], &["b2", "b1"], &["b\u{e9}"]] {
            for id in ["b1", ""] {
                let attribution = of(id, echoed, true, Earlier::Nothing);
                assert_eq!(attribution, Attribution::NotBelieved, "{echoed:?}");
            }
        }
        let same = of("b1", &["b1", "b1"], true, Earlier::Nothing);
        assert_eq!(same, Attribution::IdMatched);
    }
}
