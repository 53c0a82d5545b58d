//! A worker's heartbeats: sends them, and handles the responses. The state is `Worker`'s; `worker::run` calls this.

use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use worksshunt_net::client::{ClientResponse, HttpClient};
use worksshunt_net::with_timeout;
use worksshunt_wire::worker::{HeartbeatResponse, Redirect};
use worksshunt_wire::Incarnation;

use super::Worker;
use crate::loopback::observer::Observer;
use crate::loopback::surroundings::Plan;

/// How long a worker waits for the response to a heartbeat (protocol).
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a worker waits before it tries the next controller (protocol).
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest time between heartbeats (protocol).
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A heartbeat that waits for its response.
struct SentHeartbeat {
    sent_at: Instant,
    incarnation: Incarnation,
}

impl Worker {
    /// How long to wait with the next heartbeat after one that was answered.
    fn heartbeat_delay(&self, plan: &Plan) -> Duration {
        let next_completion_at = self.state.borrow().tasks.next_completion_at();
        let until = |at: Instant| at.saturating_duration_since(Instant::now());
        let delay = next_completion_at.map_or(plan.heartbeat_interval, until);
        delay.clamp(MIN_HEARTBEAT_INTERVAL, plan.heartbeat_interval)
    }

    /// Handles the response to a heartbeat; how long to wait with the next one, if the response settles that.
    fn handle_response(
        &self,
        sent: &SentHeartbeat,
        response: &ClientResponse,
        plan: &Plan,
        observer: &Observer,
    ) -> Option<Duration> {
        let body = &response.body;
        match response.status {
            200 => {
                self.handle_answer(sent, body, plan, observer);
                None
            }
            421 => Some(self.follow_redirect(body, plan)),
            _ => Some(self.try_next_controller(plan)),
        }
    }

    /// Renews the lease and executes the commands, unless the answer is for an earlier incarnation or from an
    /// earlier epoch.
    fn handle_answer(&self, sent: &SentHeartbeat, body: &[u8], plan: &Plan, observer: &Observer) {
        let Ok(answer) = serde_json::from_slice::<HeartbeatResponse>(body) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let is_current = state.incarnation == sent.incarnation;
        if !is_current || answer.fencing_token < state.fencing_token {
            return;
        }
        state.fencing_token = answer.fencing_token;
        state.lease_renewed_at = state.lease_renewed_at.max(sent.sent_at);
        let answered = self.answered_heartbeats.get();
        self.answered_heartbeats.set(answered + 1);
        for command in &answer.commands {
            state.tasks.execute(command, plan, observer);
        }
    }

    /// Turns to the controller that a redirect names; to the next one if it names none or the same again.
    fn follow_redirect(&self, body: &[u8], plan: &Plan) -> Duration {
        let redirect = serde_json::from_slice::<Redirect>(body).ok();
        let name = redirect.and_then(|redirect| redirect.controller);
        let named = name.and_then(|name| plan.nodes.iter().position(|node| node.name == name.0));
        match named.filter(|node| *node != self.controller.get()) {
            Some(node) => {
                self.controller.set(node);
                Duration::ZERO
            }
            None => self.try_next_controller(plan),
        }
    }

    fn try_next_controller(&self, plan: &Plan) -> Duration {
        self.controller
            .set((self.controller.get() + 1) % plan.nodes.len());
        RETRY_DELAY
    }

    /// Sends a heartbeat and handles the response; how long to wait with the next one.
    async fn send_heartbeat(
        &self,
        client: &HttpClient,
        plan: &Plan,
        observer: &Observer,
    ) -> Duration {
        let heartbeat = self.heartbeat();
        let sent = SentHeartbeat {
            sent_at: Instant::now(),
            incarnation: heartbeat.incarnation,
        };
        let body = serde_json::to_string(&heartbeat).unwrap_or_default();
        let call = client.call(Method::Post, "/checkin", Some(body), HEARTBEAT_TIMEOUT);
        let delay = match call.await {
            Ok(response) => self.handle_response(&sent, &response, plan, observer),
            Err(_) => Some(self.try_next_controller(plan)),
        };
        delay.unwrap_or_else(|| self.heartbeat_delay(plan))
    }

    /// Sends heartbeats until its machine is terminated.
    pub(super) async fn send_heartbeats(&self, plan: &Plan, observer: &Observer) {
        let connect = |node: usize| HttpClient::new(plan.nodes[node].address, 1);
        let mut connected_to = self.controller.get();
        let mut client = connect(connected_to);
        while !self.terminated.get() {
            if connected_to != self.controller.get() {
                connected_to = self.controller.get();
                client = connect(connected_to);
            }
            self.advance(plan, observer);
            let sent_at = Instant::now();
            let delay = self.send_heartbeat(&client, plan, observer).await;
            let _ = with_timeout(delay, self.wake.1.recv()).await;
            Timer::at((sent_at + MIN_HEARTBEAT_INTERVAL).min(Instant::now() + delay)).await;
        }
    }
}
