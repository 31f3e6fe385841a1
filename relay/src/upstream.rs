//! The former path of [`crate::health_check`].
pub(crate) use crate::health_check::HealthChecks;
