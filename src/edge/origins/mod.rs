//! Software versions at which streams began. What two versions write does not fit together, so
//! that a stream goes on only at the version that began it, at any host and after any restart.
//!
//! Each service has a base version, named by a row in the store. A stream that begins at another
//! version has a row of its own before its caller gets the first event, or, where the store does
//! not answer this host, other hosts hold its version and write the row; one without a row began
//! at the base version.

mod base;
mod lookup;
mod record;
mod recording;
mod services;
mod stream_id;
mod streams;
mod sweeping;
mod telling;

pub use base::keep_bases;
pub use lookup::{Origin, OriginSource, UnknownOrigin};
pub use recording::OriginWriters;
pub use services::{Allowed, Base, Recording, ServiceVersions, StoreTime};
pub use stream_id::StreamId;
pub use streams::{RecordState, RowNeed, Streams, Told};
pub use sweeping::{SweepMarks, sweep};
pub use telling::Telling;

/// Which stream a caller takes up again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Resumed {
    /// None is named.
    #[default]
    Unnamed,
    /// One that an earlier attempt began.
    Stream(StreamId),
    /// Several are named, or the name cannot be read.
    Ambiguous,
}

/// What this daemon knows of where streams began.
#[derive(Debug, Default)]
pub struct Origins {
    /// Versions of the engines of each service.
    pub services: ServiceVersions,
    /// Streams that began here or that others told of.
    pub streams: Streams,
    /// What other hosts are to be told.
    pub telling: Telling,
}
