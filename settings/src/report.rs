//! The section `report`: the fields of a backend's load report.
use serde::Deserialize;

/// The possible names of the report field that counts a backend's connections. Settings and
/// backends use different names; the first that is present is used.
pub const CONNECTION_FIELDS: &[&str] = &["rif", "inflight"];
/// The possible names of the report field that measures a backend's load. The first that is present
/// is used.
pub const LOAD_FIELDS: &[&str] = &["x0", "busy", "util"];

/// The positions of the values that the balancer uses in load reports, and the meaning of the
/// weights in the endpoint list.
#[derive(Clone, Copy, Default)]
pub struct ReportFields {
    /// The index of the field that counts connections.
    pub connections: Option<usize>,
    /// The index of the field that measures load.
    pub load: Option<usize>,
    /// Whether the weights in the endpoint list follow the backends' load: a weight falls as its
    /// backend takes connections.
    pub weights_live: bool,
}

impl ReportFields {
    /// Returns the weight that the balancer uses for a weight in the endpoint list. It is 1 where
    /// the listed weights do not follow the backends' load, and where the listed one is not a
    /// positive finite number.
    pub fn weight(&self, listed: f64) -> f64 {
        if self.weights_live && listed.is_finite() && listed > 0.0 {
            listed
        } else {
            1.0
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct ReportText {
    fields: Vec<String>,
    #[serde(rename = "how")]
    delivery: String,
}

impl ReportText {
    pub(crate) fn fields(&self, weights_mode: &str) -> ReportFields {
        ReportFields {
            connections: self.first_index(CONNECTION_FIELDS),
            load: self.first_index(LOAD_FIELDS),
            weights_live: weights_mode == "live",
        }
    }

    fn first_index(&self, names: &[&str]) -> Option<usize> {
        let index = |name: &&str| self.fields.iter().position(|field| field == name);
        names.iter().find_map(index)
    }

    /// Returns whether reports reach a relay. Backends may send none (`silent`), or send them only
    /// in answer to health checks (`pull`), which relays need permission for.
    pub(crate) fn reaches_relays(&self, may_check_health: bool) -> bool {
        match self.delivery.as_str() {
            "silent" => false,
            "pull" => may_check_health,
            _ => true,
        }
    }
}
