//! The configuration of a scale test: sizes, times and the fault.
use super::error::MachineError;
use super::layout::{Layout, Role};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use thiserror::Error;
use thistlecroft::time::Duration;
use thistlecroft_leases::{Electorate, LeaseConfig, MAX_VOTER_SUBJECTS};
use thistlecroft_peers::{NodeConfig, ProtocolTiming};

/// Attaching and detaching subjects may use the byte rate divided by this, as in real relays.
const UPDATE_RATE_DIVISOR: u32 = 2;
const BYTES_PER_MIB: u64 = 1_024 * 1_024;
/// Memory that a hollow relay is assumed to need.
const BYTES_PER_HOLLOW_RELAY: u64 = 2 * BYTES_PER_MIB;
const MAX_LOSS: f64 = 0.9;
const MAX_PROCESSES: usize = 200;
const MAX_RELAYS: usize = 4_000;
const MAX_VOTERS: usize = 7;
const MAX_REAL_RELAYS: usize = 24;
/// The maximum number of seed addresses that a member is started with.
pub(super) const MAX_SEEDS: usize = 3;

/// The fault that is injected into the calm fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// No fault.
    None,
    /// One relay is killed.
    Relay,
    /// All relays of one rack are killed. A rack lies within one zone.
    Rack,
    /// All members of one zone are killed, voters included.
    Zone,
    /// One voter is killed.
    Voter,
    /// The zones of one region are cut off from the others for a time. Over simulated links only.
    Region,
}

/// The complete configuration of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleConfig {
    /// Number of hollow relays.
    pub relays: usize,
    /// Number of subjects that the fleet should own.
    pub subjects: usize,
    /// Number of voters.
    pub voters: usize,
    /// The probe period in milliseconds.
    pub period_ms: u64,
    /// The term of a lease in milliseconds.
    pub term_ms: u64,
    /// The maximum number of bytes that a relay sends per second.
    pub rate: u32,
    /// The maximum number of bytes that a voter sends per second.
    pub voter_rate: u32,
    /// Number of zones.
    pub zones: usize,
    /// Number of zones in the first region; the other zones are the second region.
    #[serde(rename = "first_region")]
    pub first_region_zones: usize,
    /// Number of relays in a rack.
    #[serde(rename = "rack")]
    pub relays_per_rack: usize,
    /// The fault that is injected into the calm fleet.
    pub fault: Fault,
    /// Seconds for which the calm fleet is measured.
    pub calm_s: u64,
    /// Seconds that a region stays cut off once both sides have converged.
    pub cut_s: u64,
    /// Probability that a datagram is lost, from 0 to 0.9. Over simulated links only.
    pub loss: f64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Whether the fleet runs over simulated links instead of UDP on loopback.
    pub simulated: bool,
    /// Number of hollow relays in a process.
    #[serde(rename = "each_process")]
    pub relays_per_process: usize,
    /// Number of real relays in the fleet, in addition to the hollow ones.
    #[serde(rename = "real")]
    pub real_relays: usize,
}

impl ScaleConfig {
    /// Returns the arrangement of the members.
    pub fn layout(&self) -> Layout {
        Layout {
            voters: self.voters,
            relays: self.relays,
            zones: self.zones,
            relays_per_rack: self.relays_per_rack,
        }
    }

    /// Returns the probe period.
    pub fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    /// Returns the term of a lease.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns the maximum number of bytes that a member of this role sends per second.
    pub fn max_rate(&self, role: Role) -> u32 {
        match role {
            Role::Voter => self.voter_rate,
            Role::Relay => self.rate,
        }
    }

    /// Returns the membership configuration of a member of this role.
    pub fn node_config(&self, role: Role) -> NodeConfig {
        NodeConfig {
            fleet: "scale".into(),
            secret: b"a key for scale tests alone".to_vec(),
            timing: ProtocolTiming {
                probe_interval: self.period(),
            },
            max_bytes_per_second: self.max_rate(role),
        }
    }

    /// Returns the lease configuration of a member of this role.
    pub fn lease_config(&self, role: Role) -> LeaseConfig {
        let layout = self.layout();
        let voters = (0..self.voters)
            .map(|member| layout.name(member).as_str().into())
            .collect();
        let electorate = Electorate {
            generation: 1,
            voters,
            previous_voters: Vec::new(),
        };
        LeaseConfig {
            electorate,
            term: self.term(),
            update_rate: self.max_rate(role) / UPDATE_RATE_DIVISOR,
        }
    }

    /// Checks that all options are within their ranges and fit together.
    ///
    /// # Errors
    /// Returns the first option that is out of its range or doesn't fit the others.
    pub fn validate(&self) -> Result<(), InvalidOption> {
        self.check_ranges()?;
        let simulated_only = "over simulated links only (--simulated)";
        if !(0.0..=MAX_LOSS).contains(&self.loss) {
            let reason = format!("{} is not between 0 and 0.9", self.loss);
            return Err(InvalidOption::new("loss", reason));
        }
        if !self.simulated && self.fault == Fault::Region {
            return Err(InvalidOption::new("fault region", simulated_only));
        }
        if self.simulated && self.real_relays > 0 {
            return Err(InvalidOption::new("real", "not possible with --simulated"));
        }
        if !self.simulated && self.loss > 0.0 {
            return Err(InvalidOption::new("loss", simulated_only));
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), InvalidOption> {
        check_range("relays", self.relays, 2..=MAX_RELAYS)?;
        check_range("subjects", self.subjects, 0..=MAX_VOTER_SUBJECTS)?;
        check_range("voters", self.voters, 1..=MAX_VOTERS)?;
        check_range("zones", self.zones, 1..=self.relays)?;
        check_range("first-region", self.first_region_zones, 1..=self.zones)?;
        check_range("rack", self.relays_per_rack, 1..=self.relays)?;
        check_range("each-process", self.relays_per_process, 1..=1_000)?;
        check_range("real", self.real_relays, 0..=MAX_REAL_RELAYS)?;
        check_range("calm", self.calm_s as usize, 2..=3_600)?;
        check_range("cut", self.cut_s as usize, 1..=3_600)?;
        check_range("period", self.period_ms as usize, 50..=60_000)?;
        check_range("term", self.term_ms as usize, 500..=60_000)?;
        check_range("rate", self.rate as usize, 4_096..=16_777_216)?;
        check_range("voter-rate", self.voter_rate as usize, 4_096..=16_777_216)
    }

    /// Returns the number of processes: those of hollow relays, and one for each voter and each
    /// real relay.
    pub fn process_count(&self) -> usize {
        self.relays.div_ceil(self.relays_per_process) + self.voters + self.real_relays
    }

    /// Checks that the fleet fits this machine: at most half of its memory, and at most
    /// `MAX_PROCESSES` processes.
    ///
    /// # Errors
    /// Returns the limit that the fleet exceeds.
    pub fn check_machine(&self) -> Result<(), MachineError> {
        let processes = self.process_count();
        if processes > MAX_PROCESSES {
            return Err(MachineError::Processes {
                needed: processes,
                allowed: MAX_PROCESSES,
            });
        }
        let needed = (self.relays + self.voters) as u64 * BYTES_PER_HOLLOW_RELAY;
        let half = total_memory_bytes().map_or(u64::MAX, |total| total / 2);
        if needed > half {
            return Err(MachineError::Memory {
                needed_mib: needed / BYTES_PER_MIB,
                relays: self.relays,
                half_mib: half / BYTES_PER_MIB,
            });
        }
        Ok(())
    }
}

/// An option whose value is out of its range or doesn't fit the other options.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("--{option}: {reason}")]
pub struct InvalidOption {
    option: &'static str,
    reason: String,
}

impl InvalidOption {
    fn new(option: &'static str, reason: impl Into<String>) -> InvalidOption {
        InvalidOption {
            option,
            reason: reason.into(),
        }
    }
}

fn check_range(
    option: &'static str,
    value: usize,
    range: RangeInclusive<usize>,
) -> Result<(), InvalidOption> {
    if range.contains(&value) {
        return Ok(());
    }
    let (least, most) = range.into_inner();
    let reason = format!("{value} is not between {least} and {most}");
    Err(InvalidOption::new(option, reason))
}

/// Returns the machine's memory in bytes.
fn total_memory_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
