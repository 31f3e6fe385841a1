//! Experiments with relays. A scenario is parsed (`scenario`) and expanded into a plan by its seed
//! (`plan`). Its run against the testbed (`run`) is summarized (`summary`), drawn in charts
//! (`report`) and compared with other runs (`compare`). `count` counts the events in the logs of a
//! whole fleet, `membership` and `scale` measure how fast relays learn of each other and acquire
//! leases and what that costs, and `saturate` finds the highest load that the testbed itself can
//! generate.
pub mod compare;
pub mod count;
pub mod membership;
mod plan;
mod report;
pub mod run;
pub mod saturate;
pub mod scale;
pub mod scenario;
pub mod summary;
mod timeline;
