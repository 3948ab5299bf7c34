//! Content of the rows that name a software version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
struct SoftwareRecord {
    software: Arc<str>,
}

/// Returns the content of a row that names a version.
pub fn encode(software: &Arc<str>) -> Option<Vec<u8>> {
    let record = SoftwareRecord {
        software: software.clone(),
    };
    serde_json::to_vec(&record).ok()
}

/// Returns the version that a row names.
pub fn decode(value: &[u8]) -> Result<Arc<str>, serde_json::Error> {
    let record: SoftwareRecord = serde_json::from_slice(value)?;
    Ok(record.software)
}
