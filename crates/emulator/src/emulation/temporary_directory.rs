//! The temporary directory for the settings and logs of the controllers.

use std::path::{Path, PathBuf};
use std::{env, fs, io, process};

/// If this environment variable is set to any value, the directory is kept after the run.
const KEEP_LOGS_VARIABLE: &str = "FORKSHIFT_KEEP_LOGS";

/// A directory named after this process's id, which is removed on drop.
pub(super) struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    /// Creates the directory in the system's directory for temporary files.
    pub(super) fn create() -> io::Result<Self> {
        let name = format!("forkshift-emulator-{}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", path.display()))
        })?;
        Ok(Self(path))
    }

    /// Path of the directory.
    pub(super) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        if env::var_os(KEEP_LOGS_VARIABLE).is_none() {
            // A directory that can't be removed is left to the system's cleanup.
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
