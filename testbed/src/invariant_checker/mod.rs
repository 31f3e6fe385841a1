//! Checks by the recorded events of a run whether each relay kept the four invariants that concern
//! it alone, and lists the events that led to the first violation of each.
//!
//! The checker does no I/O. It reports no violation that the events cannot prove: a paused backend
//! records its events late, and a killed relay cannot answer its sessions.
mod checker;
mod drains_and_bans;
mod final_answer;
mod history;
mod replay;
mod result;
mod single_effect;
mod timeline;
mod warm_up_overload;

pub use replay::check_invariants;
pub use result::{AttemptTotals, CheckResult, DeploymentProperties, Violation};
