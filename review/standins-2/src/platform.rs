//! The platform: writes the settings, starts the controllers with the command of the deploy file, kills them, and
//! starts one that has ended again, also one that has exceeded its memory.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

pub struct Controller {
    pub name: String,
    pub client: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    child: Option<Child>,
    /// When the platform starts it next; `None` while it runs.
    start_at: Option<Instant>,
    pub highest_mb: f64,
    pub killed_for_memory: u32,
    pub ended_by_itself: u32,
}

pub struct Platform {
    program: Vec<String>,
    memory_mb: f64,
    restart_delay: Duration,
    pub controllers: Mutex<Vec<Controller>>,
    record: Arc<Record>,
}

/// A free address with a port below those that the system gives to connections, so that it stays free while the
/// controller is down.
fn free_address(taken: &mut Vec<u16>) -> SocketAddr {
    let mut port = 12_000 + (std::process::id() % 18_000) as u16;
    loop {
        port = 12_000 + (port - 12_000 + 7) % 18_000;
        if !taken.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok() {
            taken.push(port);
            return ([127, 0, 0, 1], port).into();
        }
    }
}

/// What the settings of all controllers have in common.
pub struct Common<'a> {
    pub zones: &'a [&'a str],
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    /// The JSON object `facts`.
    pub facts: String,
}

impl Platform {
    /// Writes the settings of `count` controllers into `folder`; starts none.
    pub fn new(
        program: &[String],
        folder: &Path,
        count: usize,
        common: &Common,
        memory_mb: f64,
        restart_delay: Duration,
        record: Arc<Record>,
    ) -> Platform {
        let mut taken = Vec::new();
        let addresses: Vec<(SocketAddr, SocketAddr)> = (0..count)
            .map(|_| (free_address(&mut taken), free_address(&mut taken)))
            .collect();
        let zone = |i: usize| common.zones[i % common.zones.len()];
        let controllers = (0..count)
            .map(|i| {
                let known: Vec<String> = (0..count)
                    .filter(|j| *j != i)
                    .map(|j| {
                        format!(
                            "{{\"host_name\":\"estiba-{j}\",\"site\":\"{}\",\"endpoint\":\"{}\"}}",
                            zone(j),
                            addresses[j].1
                        )
                    })
                    .collect();
                let text = format!(
                    "{{\"host_name\":\"estiba-{i}\",\"site\":\"{}\",\"client_listen\":\"{}\",\"internal_addr\":\"{}\",\"known\":[{}],\"services\":{{\"cloud\":\"{}\",\"state\":\"{}\"}},\"facts\":{}}}",
                    zone(i), addresses[i].0, addresses[i].1, known.join(","), common.cloud, common.store, common.facts
                );
                let settings = folder.join(format!("estiba-{i}.json"));
                fs::write(&settings, text).expect("settings");
                Controller {
                    name: format!("estiba-{i}"),
                    client: addresses[i].0,
                    settings,
                    log: folder.join(format!("estiba-{i}.log")),
                    pids: folder.join("pids"),
                    child: None,
                    start_at: None,
                    highest_mb: 0.0,
                    killed_for_memory: 0,
                    ended_by_itself: 0,
                }
            })
            .collect();
        Platform {
            program: program.to_vec(),
            memory_mb,
            restart_delay,
            controllers: Mutex::new(controllers),
            record,
        }
    }

    /// Writes other facts into the settings of all controllers. They apply to a controller when it is started again.
    pub fn announce(&self, before: &str, after: &str) {
        for controller in self.controllers.lock().unwrap().iter() {
            let text = fs::read_to_string(&controller.settings).expect("settings");
            fs::write(&controller.settings, text.replace(before, after)).expect("settings");
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.controllers
            .lock()
            .unwrap()
            .iter()
            .map(|c| c.client)
            .collect()
    }

    pub fn start_all(&self) {
        for i in 0..self.addresses().len() {
            self.start(&mut self.controllers.lock().unwrap()[i]);
        }
    }

    fn start(&self, controller: &mut Controller) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&controller.log)
            .expect("a log");
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(&controller.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                // The script ends the processes in this file if the test itself was ended.
                if let Ok(mut pids) = fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(&controller.pids)
                {
                    let _ = writeln!(pids, "{}", child.id());
                }
                self.record.say(&format!(
                    "platform: {} started, process {}",
                    controller.name,
                    child.id()
                ));
                controller.child = Some(child);
                controller.start_at = None;
            }
            Err(error) => self.record.say(&format!(
                "platform: {} cannot start: {error}",
                controller.name
            )),
        }
    }

    /// Kills a controller with no signal that it could handle. The platform starts it again after the usual delay.
    pub fn kill(&self, i: usize) {
        let controller = &mut self.controllers.lock().unwrap()[i];
        self.end(controller, "killed by the test");
    }

    fn end(&self, controller: &mut Controller, why: &str) {
        if let Some(mut child) = controller.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .say(&format!("platform: {} {why}", controller.name));
            controller.start_at = Some(Instant::now() + self.restart_delay);
        }
    }

    /// Starts what is due, and kills a process that has more memory than the settings allow.
    pub fn tick(&self) {
        let mut controllers = self.controllers.lock().unwrap();
        for controller in controllers.iter_mut() {
            if let Some(child) = &mut controller.child {
                if let Ok(Some(status)) = child.try_wait() {
                    controller.ended_by_itself += 1;
                    self.end(controller, &format!("ended by itself ({status})"));
                } else {
                    let mb = resident_mb(child.id());
                    controller.highest_mb = controller.highest_mb.max(mb);
                    if mb > self.memory_mb {
                        controller.killed_for_memory += 1;
                        let why = format!("killed: {mb:.0} MB held, {} MB allowed", self.memory_mb);
                        self.end(controller, &why);
                    }
                }
            } else if controller.start_at.is_some_and(|at| Instant::now() >= at) {
                self.start(controller);
            }
        }
    }

    pub fn stop_all(&self) {
        for controller in self.controllers.lock().unwrap().iter_mut() {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            controller.start_at = None;
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop_all();
    }
}

/// Resident memory of a process, MB of 10^6 bytes.
fn resident_mb(process: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kb = line
        .and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse::<f64>().ok());
    kb.unwrap_or(0.0) * 1024.0 / 1e6
}
