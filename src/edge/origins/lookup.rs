//! Finds out at which version a stream began that a caller takes up again.

use std::rc::Rc;
use std::sync::Arc;

use super::recording::{PARTS, decode_row, part_index};
use super::{Resumed, StreamId};
use crate::edge::clock;
use crate::edge::state::Edge;
use crate::edge::store::{StoreError, Table};

/// Maximum number of rows that are read at the same time.
const MAX_LOOKUPS: u32 = 64;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Version of the engine's software.
    pub software: Arc<str>,
    /// From where that is known.
    pub source: OriginSource,
}

/// From where the origin of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginSource {
    /// It began at this host, or another told of it.
    Memory,
    /// Its row in the store.
    Row,
    /// Another host, which was asked.
    Host,
    /// It has no row, and so began at the base version.
    Base,
    /// The service has had no other version.
    SoleVersion,
}

/// Why the origin of a stream is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownOrigin {
    /// The caller does not name the stream, and several versions or services may have begun it.
    #[error("the caller names no stream, and several versions or services may have begun it")]
    Unnamed,
    /// The base version of the service is not known yet.
    #[error("the base version of the service is not known yet")]
    NoBase,
    /// Too many rows are being read.
    #[error("too many rows of streams are being read")]
    Busy,
    /// Rows may be missing, as after the store has come back from an older copy.
    #[error("the stream has no row, which may be missing, and no host knows it")]
    Missing,
    /// The row cannot be decoded.
    #[error("the row of the stream cannot be decoded")]
    Unreadable,
    /// The row cannot be read.
    #[error("the row of the stream cannot be read: {0}")]
    Store(#[from] StoreError),
}

impl UnknownOrigin {
    /// Returns whether it may become known.
    pub fn is_passing(&self) -> bool {
        !matches!(self, UnknownOrigin::Unnamed | UnknownOrigin::Unreadable)
    }
}

/// Counts a reading of a row until it is dropped.
struct LookupGuard<'a>(&'a Edge);

impl<'a> LookupGuard<'a> {
    fn begin(edge: &'a Edge) -> Option<Self> {
        let count = edge.origin_lookups.get();
        if count >= MAX_LOOKUPS {
            return None;
        }
        edge.origin_lookups.set(count + 1);
        Some(LookupGuard(edge))
    }
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.0.origin_lookups.set(self.0.origin_lookups.get() - 1);
    }
}

impl Edge {
    /// Returns where a stream began that a caller takes up again.
    ///
    /// # Errors
    ///
    /// Returns why that is not known; such a stream must not go on.
    pub async fn find_origin(
        self: &Rc<Self>,
        service: &str,
        resumed: Resumed,
    ) -> Result<Origin, UnknownOrigin> {
        let Resumed::Stream(stream) = resumed else {
            let state = self.state.borrow();
            let sole = state.origins.services.sole_version(service, clock::now());
            let software = sole.ok_or(UnknownOrigin::Unnamed)?.clone();
            let source = OriginSource::SoleVersion;
            return Ok(Origin { software, source });
        };
        let known = self.state.borrow().origins.streams.origin(stream);
        let known = known.map(|(software, has_row)| {
            let source = OriginSource::Memory;
            (Origin { software, source }, has_row)
        });
        if let Some((origin, true)) = known {
            return Ok(origin);
        }
        let _guard = LookupGuard::begin(self).ok_or(UnknownOrigin::Busy)?;
        let read = match (self.read_origin(stream).await, known) {
            (Ok(Some(software)), _) => {
                self.keep_stream(stream, service, &software);
                let source = OriginSource::Row;
                return Ok(Origin { software, source });
            }
            (_, Some((origin, _))) => return Ok(origin),
            (read, None) => read,
        };
        let is_told = !self.is_sole(service);
        if (is_told || read.is_err())
            && let Some(software) = self.ask_others(stream).await
        {
            self.keep_stream(stream, service, &software);
            let source = OriginSource::Host;
            return Ok(Origin { software, source });
        }
        read?;
        if self.may_be_replaced(service) {
            self.refresh_bases().await?;
        }
        self.base_origin(service)
    }

    /// Returns whether the streams of a service are known to have begun at its base version alone,
    /// so that hosts tell each other of none.
    fn is_sole(&self, service: &str) -> bool {
        let (store, now) = (self.store_time(), clock::now());
        let state = self.state.borrow();
        let versions = &state.origins.services;
        !versions.has_several(service, now) && versions.is_base_sure(service, store, now)
    }

    async fn read_origin(&self, stream: StreamId) -> Result<Option<Arc<str>>, UnknownOrigin> {
        let part = PARTS[part_index(stream)];
        let key = stream.to_string();
        let row = self.store.read_row(Table::Origins, part, &key).await?;
        match row {
            None => Ok(None),
            Some(row) => decode_row(&row).map(Some).ok_or(UnknownOrigin::Unreadable),
        }
    }

    /// Returns the origin of a stream without a row.
    fn base_origin(&self, service: &str) -> Result<Origin, UnknownOrigin> {
        let (store, now) = (self.store_time(), clock::now());
        let state = self.state.borrow();
        let versions = &state.origins.services;
        let base = versions.base(service).ok_or(UnknownOrigin::NoBase)?;
        if !versions.is_base_sure(service, store, now) {
            return Err(UnknownOrigin::Missing);
        }
        let (software, source) = (base.software.clone(), OriginSource::Base);
        Ok(Origin { software, source })
    }
}
