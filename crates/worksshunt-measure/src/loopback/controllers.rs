//! The real controllers: writes their settings, and owns their processes, each with a program of its own. The commands
//! `loopback` and `upgrade` start and kill them.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::json;
use worksshunt_simulation::large_settings;

use super::process::Usage;
use super::surroundings::{
    address, CLOUD_PORT, CONTROLLERS_PORT, HEARTBEAT_INTERVAL, KV_STORE_PORT, WORKER_LEASE,
};
use crate::MeasureError;

/// How many controllers there are.
pub const CONTROLLERS: usize = 3;
/// How long after a cancellation tasks may still run, seconds.
const CANCEL_S: f64 = 46.5;
/// Distance of a controller's port for its peers from the one for users and workers.
const PEER_PORT_OFFSET: u16 = 10;

struct Controller {
    /// What its next start runs.
    program: PathBuf,
    /// Its process from a start to the next kill.
    child: Option<Child>,
}

/// The controllers; dropping it kills those that still run.
pub struct Controllers {
    folder: PathBuf,
    all: Vec<Controller>,
}

impl Controllers {
    /// Controllers that all run this program, none of them started; writes their settings.
    ///
    /// # Errors
    /// The folder or a file of settings cannot be written.
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
            all: (0..CONTROLLERS).map(stopped).collect(),
        })
    }

    /// Sets the program that a controller runs from its next start on.
    pub fn set_program(&mut self, node: usize, program: &Path) {
        self.all[node].program = program.to_owned();
    }

    /// Starts a controller; its log is appended to.
    ///
    /// # Errors
    /// The log cannot be opened, or the program cannot be run.
    pub fn start(&mut self, node: usize) -> Result<(), MeasureError> {
        let log = self.folder.join(format!("n{node}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|error| MeasureError::File(log, error))?;
        let controller = &mut self.all[node];
        let child = Command::new(&controller.program)
            .arg("--config")
            .arg(self.folder.join(format!("n{node}.json")))
            .env("LOG_LEVEL", "info")
            .stderr(file)
            .stdout(Stdio::null())
            .spawn()
            .map_err(|error| MeasureError::File(controller.program.clone(), error))?;
        controller.child = Some(child);
        Ok(())
    }

    /// Kills a controller's process (SIGKILL), without a shutdown.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.all[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a controller was started and not killed.
    pub fn is_started(&self, node: usize) -> bool {
        self.all[node].child.is_some()
    }

    /// Resource usage of each; zero for those that do not run.
    pub fn usage(&self) -> Vec<Usage> {
        let usage = |controller: &Controller| {
            let child = controller.child.as_ref();
            child.map_or_else(Usage::default, |child| Usage::of(child.id()))
        };
        self.all.iter().map(usage).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.all.len()).for_each(|node| self.kill(node));
    }
}

fn write_settings(folder: &Path, machines: usize, sockets: usize) -> Result<(), MeasureError> {
    let port = |node: usize| CONTROLLERS_PORT + node as u16;
    for node in 0..CONTROLLERS {
        let mut settings = large_settings(node, machines);
        settings.client_listen = address(port(node)).to_string();
        settings.internal_addr = address(port(node) + PEER_PORT_OFFSET).to_string();
        for peer in &mut settings.peers {
            let other: usize = peer.host_name.0[1..].parse().unwrap_or(0);
            peer.endpoint = address(port(other) + PEER_PORT_OFFSET).to_string();
        }
        settings.services.key_value_store = address(KV_STORE_PORT).to_string();
        settings.services.cloud = address(CLOUD_PORT).to_string();
        settings.facts.workers.heartbeat_interval_s = HEARTBEAT_INTERVAL.as_secs_f64();
        settings.facts.workers.lease_s = WORKER_LEASE.as_secs_f64();
        settings.facts.workers.cancel_s = CANCEL_S;
        settings.facts.limits.sockets = sockets;
        let path = folder.join(format!("n{node}.json"));
        let text = json!(settings).to_string();
        std::fs::write(&path, text).map_err(|error| MeasureError::File(path, error))?;
    }
    Ok(())
}
