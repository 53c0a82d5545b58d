//! Heartbeats of a worker: sends them and handles the responses.

use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use worksshunt_net::client::{ClientResponse, HttpClient};
use worksshunt_net::with_timeout;
use worksshunt_wire::worker::{HeartbeatResponse, Redirect};
use worksshunt_wire::Incarnation;

use super::Worker;
use crate::loopback::environment::EnvironmentConfig;
use crate::loopback::observer::TaskObserver;

/// Time limit for the response to a heartbeat (protocol).
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next controller is tried (protocol).
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Minimum interval between heartbeats (protocol).
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Heartbeat whose response is pending.
struct SentHeartbeat {
    sent_at: Instant,
    incarnation: Incarnation,
}

impl Worker {
    /// Delay of the next heartbeat after an answered one: until the next completion of a task, within the limits.
    fn heartbeat_delay(&self, config: &EnvironmentConfig) -> Duration {
        let next_completion_at = self.state.borrow().tasks.next_completion_at();
        let until = |at: Instant| at.saturating_duration_since(Instant::now());
        let delay = next_completion_at.map_or(config.heartbeat_interval, until);
        delay.clamp(MIN_HEARTBEAT_INTERVAL, config.heartbeat_interval)
    }

    /// Handles the response to a heartbeat. Returns the delay of the next one, or `None` for the usual delay.
    fn handle_response(
        &self,
        sent: &SentHeartbeat,
        response: &ClientResponse,
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) -> Option<Duration> {
        let body = &response.body;
        match response.status {
            200 => {
                self.handle_heartbeat_response(sent, body, config, observer);
                None
            }
            421 => Some(self.follow_redirect(body, config)),
            _ => Some(self.try_next_controller(config)),
        }
    }

    /// Renews the lease and executes the commands, unless the response is for an earlier incarnation or from an earlier
    /// epoch.
    fn handle_heartbeat_response(
        &self,
        sent: &SentHeartbeat,
        body: &[u8],
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) {
        let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(body) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let is_current = state.incarnation == sent.incarnation;
        if !is_current || response.fencing_token < state.fencing_token {
            return;
        }
        state.fencing_token = response.fencing_token;
        state.lease_renewed_at = state.lease_renewed_at.max(sent.sent_at);
        let answered_count = self.answered_heartbeats.get();
        self.answered_heartbeats.set(answered_count + 1);
        for command in &response.commands {
            state.tasks.execute(command, config, observer);
        }
    }

    /// Switches to the controller named in a redirect, or to the next one if it names no other. Returns the delay of
    /// the next heartbeat.
    fn follow_redirect(&self, body: &[u8], config: &EnvironmentConfig) -> Duration {
        let redirect = serde_json::from_slice::<Redirect>(body).ok();
        let name = redirect.and_then(|redirect| redirect.controller);
        let target = name.and_then(|name| {
            config
                .controllers
                .iter()
                .position(|controller| controller.name == name.0)
        });
        match target.filter(|controller| *controller != self.controller.get()) {
            Some(controller) => {
                self.controller.set(controller);
                Duration::ZERO
            }
            None => self.try_next_controller(config),
        }
    }

    /// Switches to the next controller. Returns the delay of the next heartbeat.
    fn try_next_controller(&self, config: &EnvironmentConfig) -> Duration {
        self.controller
            .set((self.controller.get() + 1) % config.controllers.len());
        RETRY_DELAY
    }

    /// Sends a heartbeat and handles the response. Returns the delay of the next one.
    async fn send_heartbeat(
        &self,
        client: &HttpClient,
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) -> Duration {
        let heartbeat = self.next_heartbeat();
        let sent = SentHeartbeat {
            sent_at: Instant::now(),
            incarnation: heartbeat.incarnation,
        };
        let body = serde_json::to_string(&heartbeat).unwrap_or_default();
        let call = client.call(Method::Post, "/checkin", Some(body), HEARTBEAT_TIMEOUT);
        let delay = match call.await {
            Ok(response) => self.handle_response(&sent, &response, config, observer),
            Err(_) => Some(self.try_next_controller(config)),
        };
        delay.unwrap_or_else(|| self.heartbeat_delay(config))
    }

    /// Sends heartbeats until the machine is terminated.
    pub(super) async fn send_heartbeats(
        &self,
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) {
        let connect =
            |controller: usize| HttpClient::new(config.controllers[controller].address, 1);
        let mut connected_to = self.controller.get();
        let mut client = connect(connected_to);
        while !self.is_terminated.get() {
            if connected_to != self.controller.get() {
                connected_to = self.controller.get();
                client = connect(connected_to);
            }
            self.expire_lease_and_complete_tasks(config, observer);
            let sent_at = Instant::now();
            let delay = self.send_heartbeat(&client, config, observer).await;
            let _ = with_timeout(delay, self.heartbeat_requests.1.recv()).await;
            Timer::at((sent_at + MIN_HEARTBEAT_INTERVAL).min(Instant::now() + delay)).await;
        }
    }
}
