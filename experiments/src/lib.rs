//! Experiments with relays: a scenario is read (`scenario`), worked out from its seed (`plan`), run
//! among the stand-ins of `fleet` (`run`), summed up (`summary`), drawn (`report`) and put beside
//! others (`compare`); logs of a whole fleet are counted together (`count`).
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
