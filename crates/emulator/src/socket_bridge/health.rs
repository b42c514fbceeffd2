//! Health probes of the controllers, as a load balancer in front of them sends. Simulated
//! users send requests to healthy controllers, or to any if none is healthy.

use super::SocketBridge;
use async_io::Timer;
use forkshift_net::Call;
use std::rc::Rc;
use std::time::Duration;

/// Delay between two probes of a controller, and the timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive failed probes from which on a controller is unhealthy.
const UNHEALTHY_THRESHOLD: u32 = 2;
const HTTP_OK: u16 = 200;

/// Number of consecutive failed probes of each controller, by index. All controllers are
/// unhealthy at first.
pub(super) struct ProbeFailures(Vec<u32>);

impl ProbeFailures {
    pub(super) fn new(controllers: usize) -> Self {
        Self(vec![UNHEALTHY_THRESHOLD; controllers])
    }

    fn record(&mut self, index: usize, is_up: bool) {
        let failures = &mut self.0[index];
        *failures = if is_up { 0 } else { *failures + 1 };
    }

    fn healthy(&self) -> Vec<usize> {
        let failures = self.0.iter().enumerate();
        let healthy = failures.filter(|(_, failures)| **failures < UNHEALTHY_THRESHOLD);
        healthy.map(|(index, _)| index).collect()
    }
}

impl SocketBridge {
    /// Indexes of the controllers that pass the load balancer's health probes.
    pub(crate) fn healthy_controllers(&self) -> Vec<usize> {
        self.probe_failures.borrow().healthy()
    }

    /// Probes a controller until the run ends.
    pub(super) async fn probe(self: Rc<Self>, index: usize) {
        loop {
            let call = Call {
                addr: self.controllers[index],
                method: "GET",
                path: "/up".to_owned(),
                body: None,
                timeout: PROBE_INTERVAL,
            };
            let is_up = self.probe_client.call(call).await.status == HTTP_OK;
            self.probe_failures.borrow_mut().record(index, is_up);
            let healthy = self.healthy_controllers();
            self.with_world(|world| world.set_healthy(healthy));
            Timer::after(PROBE_INTERVAL).await;
        }
    }
}
