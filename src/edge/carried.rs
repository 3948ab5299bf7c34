//! What a connection to an engine has carried: a late response to it may still arrive.

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of requests on one connection, which remembers their ids.
const MAX_REQUESTS: usize = 1_024;

/// Hash of the id of a request; two ids with one hash count as the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdHash(u64);

impl IdHash {
    /// Returns the hash of an id, which callers choose.
    pub fn of(id: &str) -> Self {
        IdHash(xxh3_64(id.as_bytes()))
    }
}

/// What a connection had carried before it took a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Earlier {
    /// Nothing.
    Nothing,
    /// Calls of this host alone.
    Calls,
    /// Other requests.
    Requests,
    /// A request with the same id.
    SameId,
}

/// Record of what a connection has carried.
#[derive(Debug, Default)]
pub struct Carried {
    ids: Vec<IdHash>,
    has_calls: bool,
}

impl Carried {
    /// Returns what was carried before a request with this id, or before a call.
    pub fn before(&self, id: Option<IdHash>) -> Earlier {
        if id.is_some_and(|id| self.ids.contains(&id)) {
            Earlier::SameId
        } else if !self.ids.is_empty() {
            Earlier::Requests
        } else if self.has_calls {
            Earlier::Calls
        } else {
            Earlier::Nothing
        }
    }

    /// Records a request with this id, or a call.
    pub fn add(&mut self, id: Option<IdHash>) {
        match id {
            Some(id) => self.ids.push(id),
            None => self.has_calls = true,
        }
    }

    /// Returns whether it has carried so many requests that it takes no more.
    pub fn is_full(&self) -> bool {
        self.ids.len() >= MAX_REQUESTS
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_with_the_same_id_is_told_from_others_and_from_calls() {
        let (id, other) = (Some(IdHash::of("b1")), Some(IdHash::of("b2")));
        let mut carried = Carried::default();
        assert_eq!(carried.before(id), Earlier::Nothing);
        carried.add(None);
        assert_eq!(carried.before(id), Earlier::Calls);
        carried.add(other);
        assert_eq!(carried.before(id), Earlier::Requests);
        carried.add(id);
        assert_eq!(carried.before(id), Earlier::SameId);
    }

    #[test]
    fn a_connection_takes_a_limited_number_of_requests() {
        let mut carried = Carried::default();
        for i in 0..MAX_REQUESTS {
            assert!(!carried.is_full());
            carried.add(Some(IdHash::of(&i.to_string())));
        }
        assert!(carried.is_full());
    }
}
