//! The controllers: child processes of the real program.

use crate::addresses::Addresses;
use crate::process::ProcessFigures;
use crate::settings::{controller_name, settings};
use crate::site::Site;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Why controllers can't be started.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The program is not there.
    #[error("{0}: not found; build it with `cargo build --release --locked`")]
    Program(PathBuf),
    /// A file can't be written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// A process can't be started.
    #[error("{0}")]
    Spawn(io::Error),
}

/// One controller.
struct Controller {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    /// Processor seconds of its earlier processes.
    ended_cpu_s: f64,
}

/// All controllers of a run. They are ended when this is dropped.
pub struct Controllers {
    program: PathBuf,
    operator: Option<PathBuf>,
    arguments: Vec<String>,
    all: Vec<Controller>,
}

impl Controllers {
    /// Writes the settings of a site's controllers into a folder. None is started.
    pub fn prepare(site: &Site, addresses: Addresses, folder: &Path) -> Result<Self, Failure> {
        let program = site.controllers.program.clone();
        if !program.is_file() {
            return Err(Failure::Program(program));
        }
        let mut all = Vec::new();
        for index in 0..site.controllers.count {
            let name = controller_name(index);
            let path = folder.join(format!("{name}.toml"));
            let text = toml::to_string(&settings(site, addresses, index)).unwrap_or_default();
            fs::write(&path, text).map_err(|error| Failure::File {
                path: path.clone(),
                error,
            })?;
            all.push(Controller {
                child: None,
                settings: path,
                log: folder.join(format!("{name}.log")),
                ended_cpu_s: 0.0,
            });
        }
        Ok(Self {
            program,
            operator: site.controllers.operator.clone(),
            arguments: site.controllers.arguments.clone(),
            all,
        })
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Starts one that is not running.
    pub fn start(&mut self, index: usize) -> Result<(), Failure> {
        let controller = &mut self.all[index];
        if controller.child.is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&controller.log)
            .map_err(|error| Failure::File {
                path: controller.log.clone(),
                error,
            })?;
        let mut command = Command::new(&self.program);
        command.arg("serve");
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        command.args(&self.arguments);
        command.arg("--config").arg(&controller.settings);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.stderr(log).spawn().map_err(Failure::Spawn)?;
        controller.child = Some(child);
        Ok(())
    }

    /// Kills one, without a signal that it could catch.
    pub fn kill(&mut self, index: usize) {
        let controller = &mut self.all[index];
        if let Some(mut child) = controller.child.take() {
            let figures = ProcessFigures::read(child.id());
            controller.ended_cpu_s += figures.map_or(0.0, |f| f.cpu_s);
            // It may have ended by itself; either way it is gone afterwards.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Those that ended by themselves since this was last called.
    pub fn take_ended(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (index, controller) in self.all.iter_mut().enumerate() {
            let child = controller.child.as_mut();
            if child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_)))) {
                controller.child = None;
                ended.push(index);
            }
        }
        ended
    }

    /// Asks the program for what pools have cost, all in all; none if it fails.
    pub fn pools_report(&self) -> impl FnOnce() -> Option<String> + Send + 'static {
        let program = self.program.clone();
        let settings = self.all.first().map(|c| c.settings.clone());
        move || {
            let mut command = Command::new(program);
            command.args(["pools", "report", "--json", "--from", "1970-01-01"]);
            command.args(["--to", "2100-01-01", "--config"]);
            let output = command.arg(settings?).output().ok()?;
            if !output.status.success() {
                log::error!("{}", String::from_utf8_lossy(&output.stderr));
                return None;
            }
            String::from_utf8(output.stdout).ok()
        }
    }

    /// What each has used so far. Memory is that of its present process.
    pub fn figures(&self) -> Vec<ProcessFigures> {
        let of = |c: &Controller| {
            let child = c.child.as_ref();
            let now = child.and_then(|child| ProcessFigures::read(child.id()));
            let now = now.unwrap_or_default();
            ProcessFigures {
                cpu_s: now.cpu_s + c.ended_cpu_s,
                ..now
            }
        };
        self.all.iter().map(of).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.all.len() {
            self.kill(index);
        }
    }
}
