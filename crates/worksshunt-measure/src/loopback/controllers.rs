//! The real controllers: writes their settings, and starts and kills their processes. Each controller can run another
//! program.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::json;
use worksshunt_simulation::large_settings;
use worksshunt_wire::settings::{Settings, Team};

use super::environment::{
    address, CLOUD_PORT, FIRST_CONTROLLER_PORT, HEARTBEAT_INTERVAL, KV_STORE_PORT, WORKER_LEASE,
};
use super::process::ProcessUsage;
use super::TASKS_PER_MACHINE;
use crate::MeasureError;

pub const CONTROLLER_COUNT: usize = 3;
/// Setting `cancel_s`: time within which a cancelled job's tasks must have ended.
const CANCEL_S: f64 = 46.5;
/// Offset of a controller's port for other controllers from its port for users and workers.
const PEER_PORT_OFFSET: u16 = 10;

struct Controller {
    /// Program that the next start runs.
    program: PathBuf,
    /// Process; `None` before the first start and after a kill.
    child: Option<Child>,
}

/// All controllers. Dropping it kills the processes that still run.
pub struct Controllers {
    /// Folder of settings and logs.
    folder: PathBuf,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes the settings of all controllers, which run `program`. Starts none of them.
    ///
    /// # Errors
    /// The folder or a settings file cannot be written.
    pub fn new(
        folder: PathBuf,
        program: &Path,
        machines: usize,
        sockets: usize,
    ) -> Result<Controllers, MeasureError> {
        std::fs::create_dir_all(&folder).map_err(|e| MeasureError::File(folder.clone(), e))?;
        write_settings(&folder, machines, sockets)?;
        let stopped = |_| Controller {
            program: program.to_owned(),
            child: None,
        };
        Ok(Controllers {
            folder,
            controllers: (0..CONTROLLER_COUNT).map(stopped).collect(),
        })
    }

    /// Sets the program of a controller, from its next start on.
    pub fn set_program(&mut self, controller: usize, program: &Path) {
        self.controllers[controller].program = program.to_owned();
    }

    /// Starts a controller and appends its output to its log.
    ///
    /// # Errors
    /// The log cannot be opened, or the program cannot be started.
    pub fn start(&mut self, controller: usize) -> Result<(), MeasureError> {
        let log = self.folder.join(format!("n{controller}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|error| MeasureError::File(log, error))?;
        let process = &mut self.controllers[controller];
        let child = Command::new(&process.program)
            .arg("--config")
            .arg(self.folder.join(format!("n{controller}.json")))
            .env("LOG_LEVEL", "info")
            .stderr(file)
            .stdout(Stdio::null())
            .spawn()
            .map_err(|error| MeasureError::File(process.program.clone(), error))?;
        process.child = Some(child);
        Ok(())
    }

    /// Kills a controller's process with SIGKILL, if it was started, and waits for its exit.
    pub fn kill(&mut self, controller: usize) {
        if let Some(mut child) = self.controllers[controller].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a controller was started and not killed since. It may have exited by itself.
    pub fn is_started(&self, controller: usize) -> bool {
        self.controllers[controller].child.is_some()
    }

    /// Resource usage of each controller; zero for those that do not run.
    pub fn usage(&self) -> Vec<ProcessUsage> {
        let usage = |controller: &Controller| {
            let child = controller.child.as_ref();
            child.map_or_else(ProcessUsage::default, |child| {
                ProcessUsage::read(child.id())
            })
        };
        self.controllers.iter().map(usage).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.controllers.len()).for_each(|controller| self.kill(controller));
    }
}

/// Writes the settings file of each controller: those of a large deployment, on the loopback interface.
fn write_settings(folder: &Path, machines: usize, sockets: usize) -> Result<(), MeasureError> {
    let port = |controller: usize| FIRST_CONTROLLER_PORT + controller as u16;
    for controller in 0..CONTROLLER_COUNT {
        let mut settings = large_settings(controller, machines);
        settings.client_listen = address(port(controller)).to_string();
        settings.internal_addr = address(port(controller) + PEER_PORT_OFFSET).to_string();
        for peer in &mut settings.peers {
            let peer_index: usize = peer.host_name.0[1..].parse().unwrap_or(0);
            peer.endpoint = address(port(peer_index) + PEER_PORT_OFFSET).to_string();
        }
        settings.services.key_value_store = address(KV_STORE_PORT).to_string();
        settings.services.cloud = address(CLOUD_PORT).to_string();
        settings.facts.workers.heartbeat_interval_s = HEARTBEAT_INTERVAL.as_secs_f64();
        settings.facts.workers.lease_s = WORKER_LEASE.as_secs_f64();
        settings.facts.workers.cancel_s = CANCEL_S;
        settings.facts.limits.sockets = sockets;
        limit_all_teams(&mut settings, machines);
        let path = folder.join(format!("n{controller}.json"));
        let text = json!(settings).to_string();
        std::fs::write(&path, text).map_err(|error| MeasureError::File(path, error))?;
    }
    Ok(())
}

/// Limits the teams without a limit to the whole fleet: the version in production refuses a guarantee without a limit.
fn limit_all_teams(settings: &mut Settings, machines: usize) {
    let fleet_cpus = (machines * TASKS_PER_MACHINE) as f64;
    let has_no_limit = |team: &&mut Team| team.max_cpus == 0.0;
    for team in settings.facts.teams.iter_mut().filter(has_no_limit) {
        team.max_cpus = fleet_cpus;
    }
}
