//! Identifiers. Each is a newtype, so that one cannot stand in for another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name as it came.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as text.
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
    /// A job, as its user named it: `j-` and digits.
    JobId
);
text_id!(
    /// A rented machine, as the cloud named it.
    MachineId
);
text_id!(
    /// A controller, as the settings name it.
    NodeName
);

/// The longest job id that is accepted.
const JOB_ID_MAX: usize = 64;

impl JobId {
    /// Accepts a job id only in the form the protocol gives it.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("j-")?;
        let good = !digits.is_empty()
            && text.len() <= JOB_ID_MAX
            && digits.bytes().all(|b| b.is_ascii_digit());
        good.then(|| Self::new(text))
    }
}

/// One task of a job, written `j-000412/3`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The task's number, from 0.
    pub index: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A text that is not a task's name.
#[derive(Debug, thiserror::Error)]
#[error("not a task: {0:?}")]
pub struct BadTask(String);

impl FromStr for TaskRef {
    type Err = BadTask;

    fn from_str(text: &str) -> Result<Self, BadTask> {
        let bad = || BadTask(text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(bad)?;
        Ok(Self {
            job: JobId::parse(job).ok_or_else(bad)?,
            index: index.parse().map_err(|_| bad())?,
        })
    }
}

impl Serialize for TaskRef {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskRef {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

#[cfg(test)]
mod tests;
