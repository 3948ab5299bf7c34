//! Software versions at which streams began. Events of two versions do not fit together, so that
//! a stream goes on only at the version that began it.

mod stream_id;

pub use stream_id::StreamId;

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
