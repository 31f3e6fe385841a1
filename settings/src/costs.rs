//! The section `prices`: the costs of a relay's actions, relative to the value of a served session.
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
