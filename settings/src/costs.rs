//! The section `prices`: what actions of a relay cost, relative to the worth of a session.
use serde::Deserialize;

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct CostsText {
    #[serde(rename = "crossZone")]
    pub(crate) cross_zone: f64,
    #[serde(rename = "moves")]
    pub(crate) migration: f64,
    #[serde(rename = "probe")]
    pub(crate) health_check: f64,
}
