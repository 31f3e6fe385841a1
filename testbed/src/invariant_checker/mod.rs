//! Judges from recorded events whether a run kept the four invariants that each relay keeps by
//! itself, with the events that led to the first violation of each.
//!
//! No I/O. What nobody can have observed is not judged: a paused backend records late, and a killed
//! relay owes no answer for its sessions.
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
pub use result::{AttemptTotals, CheckResult, PlatformRules, Violation};
