//! Starts, kills and restarts the controllers, which are child processes of the real program.

use crate::addresses::Addresses;
use crate::process::ProcessUsage;
use crate::settings::{controller_name, controller_settings};
use crate::site::Site;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Why controllers can't be started.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControllerError {
    /// The controller's program does not exist.
    #[error(
        "{0}: not found; build it with `cargo build --release --locked`, or set \
         `controllers.program` to another path"
    )]
    ProgramNotFound(PathBuf),
    /// A settings or log file can't be written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Why it can't be written.
        source: io::Error,
    },
    /// A controller's process can't be started.
    #[error("{program}: can't be started, {source}")]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// Why it can't be started.
        source: io::Error,
    },
}

/// A controller and its files. A restarted controller keeps its settings and appends to its
/// log.
struct Controller {
    /// `None` before the first start, and after a kill or an exit.
    child: Option<Child>,
    settings_path: PathBuf,
    log_path: PathBuf,
    /// Processor seconds of the controller's killed processes.
    exited_cpu_s: f64,
}

impl Controller {
    /// Writes the settings of a controller to a directory. Its log will be there too.
    fn prepare(
        site: &Site,
        addresses: Addresses,
        index: usize,
        directory: &Path,
    ) -> Result<Self, ControllerError> {
        let name = controller_name(index);
        let path = directory.join(format!("{name}.toml"));
        let text =
            toml::to_string(&controller_settings(site, addresses, index)).unwrap_or_default();
        fs::write(&path, text).map_err(|source| file_error(&path, source))?;
        Ok(Self {
            child: None,
            settings_path: path,
            log_path: directory.join(format!("{name}.log")),
            exited_cpu_s: 0.0,
        })
    }

    fn open_log(&self) -> Result<File, ControllerError> {
        let file = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path);
        file.map_err(|source| file_error(&self.log_path, source))
    }

    /// Processor seconds over the controller's processes, and memory of the present process.
    fn usage(&self) -> ProcessUsage {
        let child = self.child.as_ref();
        let present = child.and_then(|child| ProcessUsage::of_process(child.id()));
        let present = present.unwrap_or_default();
        ProcessUsage {
            cpu_s: present.cpu_s + self.exited_cpu_s,
            ..present
        }
    }
}

fn file_error(path: &Path, source: io::Error) -> ControllerError {
    ControllerError::File {
        path: path.to_owned(),
        source,
    }
}

/// All controllers of a run. They are killed on drop.
pub(crate) struct Controllers {
    program: PathBuf,
    /// The file for `--operator`; `None` leaves the argument out.
    operator_settings: Option<PathBuf>,
    serve_arguments: Vec<String>,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes the settings of a site's controllers to a directory, without starting any.
    pub(crate) fn prepare(
        site: &Site,
        addresses: Addresses,
        directory: &Path,
    ) -> Result<Self, ControllerError> {
        let program = site.controllers.program.clone();
        if !program.is_file() {
            return Err(ControllerError::ProgramNotFound(program));
        }
        let controllers = (0..site.controllers.count)
            .map(|index| Controller::prepare(site, addresses, index, directory));
        Ok(Self {
            program,
            operator_settings: site.controllers.operator.clone(),
            serve_arguments: site.controllers.arguments.clone(),
            controllers: controllers.collect::<Result<_, _>>()?,
        })
    }

    /// Number of controllers, running or not.
    pub(crate) fn len(&self) -> usize {
        self.controllers.len()
    }

    /// Starts a controller; does nothing if it is running.
    pub(crate) fn start(&mut self, index: usize) -> Result<(), ControllerError> {
        let controller = &mut self.controllers[index];
        if controller.child.is_some() {
            return Ok(());
        }
        let log = controller.open_log()?;
        let mut command = Command::new(&self.program);
        command.arg("serve");
        if let Some(operator) = &self.operator_settings {
            command.arg("--operator").arg(operator);
        }
        command.args(&self.serve_arguments);
        command.arg("--config").arg(&controller.settings_path);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command
            .stderr(log)
            .spawn()
            .map_err(|source| ControllerError::Spawn {
                program: self.program.clone(),
                source,
            })?;
        controller.child = Some(child);
        Ok(())
    }

    /// Kills a controller with SIGKILL, which it can't catch, and reaps its process. Does
    /// nothing if it isn't running.
    pub(crate) fn kill(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        if let Some(mut child) = controller.child.take() {
            let usage = ProcessUsage::of_process(child.id());
            controller.exited_cpu_s += usage.map_or(0.0, |usage| usage.cpu_s);
            // The process may have exited already; `wait` reaps it in both cases.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Reaps the controllers that exited without [`Self::kill`] since the last call, and
    /// returns their indexes.
    pub(crate) fn reap_exited(&mut self) -> Vec<usize> {
        let mut exited = Vec::new();
        for (index, controller) in self.controllers.iter_mut().enumerate() {
            let child = controller.child.as_mut();
            if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                controller.child = None;
                exited.push(index);
            }
        }
        exited
    }

    /// A function that runs `pools report` of the controllers' program over all dates, and
    /// returns its JSON or `None` if it fails. The function blocks until the program exits.
    pub(crate) fn pools_report_command(&self) -> impl FnOnce() -> Option<String> + Send + 'static {
        let program = self.program.clone();
        let settings = self
            .controllers
            .first()
            .map(|controller| controller.settings_path.clone());
        move || {
            let mut command = Command::new(program);
            command.args(["pools", "report", "--json", "--from", "1970-01-01"]);
            command.args(["--to", "2100-01-01", "--config"]);
            let output = command.arg(settings?).output().ok()?;
            if !output.status.success() {
                let error = String::from_utf8_lossy(&output.stderr);
                log::error!("pools report: failed, no cost in the run's report, {error}");
                return None;
            }
            String::from_utf8(output.stdout).ok()
        }
    }

    /// Resources that each controller has used, by index.
    pub(crate) fn usage(&self) -> Vec<ProcessUsage> {
        self.controllers.iter().map(Controller::usage).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.controllers.len() {
            self.kill(index);
        }
    }
}
