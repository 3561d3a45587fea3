//! Values of the metrics.

use sequoiayoke_model::clock;

use super::Coordinator;
use crate::measure;

impl Coordinator {
    /// Returns the values of the metrics, on the leader and on other replicas.
    pub(super) fn figures(&mut self) -> measure::Figures {
        let now = clock::Instant::now();
        let base = self.status();
        let Some(driver) = &self.driver else {
            return measure::Figures::default();
        };
        let machine = driver.machine();
        let mut figures = measure::Figures {
            term: base.term,
            commit: base.commit,
            version: machine.view().version().0,
            ..measure::Figures::default()
        };
        match &mut self.leader {
            Some(leader) => leader.figures(now, machine, base, &mut figures),
            None => {
                // A series without a new value would keep the value of an earlier term.
                let services = machine.services().map(|(_, service)| measure::Service {
                    name: service.name.clone(),
                    ..measure::Service::default()
                });
                figures.services = services.collect();
            }
        }
        figures
    }
}
