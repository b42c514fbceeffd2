//! Identifiers. Each kind of identifier is a type of its own, so that the compiler rejects an
//! identifier of another kind.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Defines an identifier type that holds a shared, immutable string. A clone shares the
/// string.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from any text, without validation.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Identifier of a job, chosen by its user: `j-` followed by digits.
    JobId
);
text_id!(
    /// Identifier of a provisioned machine, chosen by the cloud.
    MachineId
);
text_id!(
    /// Name of a controller, `host_name` in the settings.
    NodeName
);

/// Maximum length of a job id, in bytes.
const MAX_JOB_ID_BYTES: usize = 64;

impl JobId {
    /// Parses an identifier. Returns `None` unless the text is `j-` followed by digits, at
    /// most 64 bytes in total.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("j-")?;
        let is_valid = !digits.is_empty()
            && text.len() <= MAX_JOB_ID_BYTES
            && digits.bytes().all(|byte| byte.is_ascii_digit());
        is_valid.then(|| Self::new(text))
    }
}

/// Reference to one task of a job, written as the job and the index: `j-000412/3`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The text, which this error contains, is not a reference to a task. The message is part of
/// responses to users and workers.
#[derive(Debug, thiserror::Error)]
#[error("not a task: {0:?}")]
pub struct TaskRefError(String);

impl FromStr for TaskRef {
    type Err = TaskRefError;

    fn from_str(text: &str) -> Result<Self, TaskRefError> {
        let error = || TaskRefError(text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(error)?;
        Ok(Self {
            job: JobId::parse(job).ok_or_else(error)?,
            index: index.parse().map_err(|_| error())?,
        })
    }
}

impl Serialize for TaskRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

#[cfg(test)]
mod tests;
