//! The fourth invariant: no backend is overloaded while it warms up.
use super::checker::InvariantChecker;
use super::result::Invariant;
use super::timeline::Subject;
use crate::event_recorder::BackendIndex;
use thistlecroft::time::Instant;

impl InvariantChecker<'_> {
    pub(super) fn on_overloaded(&mut self, at: Instant, backend: BackendIndex) {
        let description = format!("backend {} was overloaded while warming up", backend.0);
        let subject = Subject::backend(backend);
        self.report(Invariant::WarmUpOverload, at, description, subject);
    }

    /// Handles a backend's report of the share of its warm-up budget that was used.
    pub(super) fn on_warm_up_budget(&mut self, used: f64) {
        self.result.max_warm_up_budget_used = self.result.max_warm_up_budget_used.max(used);
    }
}
