//! The section `report`: the fields of a backend's load report.
use serde::Deserialize;

/// Names of the report field that counts a backend's connections. Settings and backends use
/// different ones; the first that is present counts.
pub const CONNECTION_FIELDS: &[&str] = &["rif", "inflight"];
/// Names of the report field that measures a backend's load. The first that is present counts.
pub const LOAD_FIELDS: &[&str] = &["x0", "busy", "util"];

/// Where load reports carry the values that the decisions use, and the meaning of the weights in
/// the endpoint list.
#[derive(Clone, Copy, Default)]
pub struct ReportFields {
    /// The index of the field that counts connections.
    pub connections: Option<usize>,
    /// The index of the field that measures load.
    pub load: Option<usize>,
    /// The weights of the endpoint list fall as backends take connections.
    pub weights_live: bool,
}

impl ReportFields {
    /// The weight that the decisions use for a weight in the endpoint list: 1 where the list's
    /// weights do not follow the backends' load.
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

    /// Whether reports reach a relay: they are sent at all, and a relay may send the health checks
    /// that some backends answer with them.
    pub(crate) fn reaches_relays(&self, may_check_health: bool) -> bool {
        match self.delivery.as_str() {
            "silent" => false,
            "pull" => may_check_health,
            _ => true,
        }
    }
}
