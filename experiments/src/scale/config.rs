//! What is run: sizes, times and the fault.
use super::error::MachineError;
use super::layout::{Layout, Role};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use thiserror::Error;
use thistlecroft::time::Duration;
use thistlecroft_leases::{Electorate, LeaseConfig, MAX_VOTER_SUBJECTS};
use thistlecroft_peers::{NodeConfig, ProtocolTiming};

/// The part of a relay's rate that attaching and detaching subjects may take, as in the relay.
const UPDATE_SHARE: u32 = 2;
const BYTES_PER_MIB: u64 = 1_024 * 1_024;
/// What a hollow relay is assumed to need.
const BYTES_PER_HOLLOW_RELAY: u64 = 2 * BYTES_PER_MIB;
const MAX_LOSS: f64 = 0.9;
const MAX_PROCESSES: usize = 200;
const MAX_RELAYS: usize = 4_000;
const MAX_VOTERS: usize = 7;
const MAX_REAL: usize = 24;
/// Addresses that a process knows at its start.
pub(super) const SEEDS: usize = 3;

/// What is done to the fleet once it is calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Nothing.
    None,
    /// One relay is killed.
    Relay,
    /// A rack: relays of one zone that stand together.
    Rack,
    /// A zone, and the voter in it.
    Zone,
    /// One voter is killed.
    Voter,
    /// The zones of one region are cut off from the others, and healed. Over simulated links alone.
    Region,
}

/// A run, in full.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleConfig {
    /// Hollow relays.
    pub relays: usize,
    /// Subjects that the fleet owns.
    pub subjects: usize,
    /// Voters.
    pub voters: usize,
    /// The probe period in milliseconds.
    pub period_ms: u64,
    /// The time of a lease in milliseconds.
    pub term_ms: u64,
    /// Bytes a second that a relay sends at most.
    pub rate: u32,
    /// Bytes a second that a voter sends at most.
    pub voter_rate: u32,
    /// Zones.
    pub zones: usize,
    /// The zones up to this one are the first region.
    #[serde(rename = "first_region")]
    pub first_region_zones: usize,
    /// Relays of one rack.
    #[serde(rename = "rack")]
    pub relays_per_rack: usize,
    /// What is done once the fleet is calm.
    pub fault: Fault,
    /// Seconds that calm is measured.
    pub calm_s: u64,
    /// Seconds that a region is cut off.
    pub cut_s: u64,
    /// Part of the datagrams that is lost, over simulated links.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// Over simulated links, in place of UDP on loopback.
    pub simulated: bool,
    /// Hollow relays of one process.
    #[serde(rename = "each_process")]
    pub relays_per_process: usize,
    /// Real relays in the fleet beside them.
    #[serde(rename = "real")]
    pub real_relays: usize,
}

impl ScaleConfig {
    /// Where the members stand.
    pub fn layout(&self) -> Layout {
        Layout {
            voters: self.voters,
            relays: self.relays,
            zones: self.zones,
            relays_per_rack: self.relays_per_rack,
        }
    }

    /// The probe period.
    pub fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    /// The time of a lease.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Bytes a second that a member sends at most.
    pub fn rate_of(&self, role: Role) -> u32 {
        match role {
            Role::Voter => self.voter_rate,
            Role::Relay => self.rate,
        }
    }

    /// What a member of this role is started with.
    pub fn peer_terms(&self, role: Role) -> NodeConfig {
        NodeConfig {
            fleet: "scale".into(),
            secret: b"a key for scale tests alone".to_vec(),
            timing: ProtocolTiming {
                probe_interval: self.period(),
            },
            max_bytes_per_second: self.rate_of(role),
        }
    }

    /// How a member of this role asks for and grants leases.
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
            update_rate: self.rate_of(role) / UPDATE_SHARE,
        }
    }

    /// Checks each option.
    ///
    /// # Errors
    /// The first option that is out of its range.
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
            return Err(InvalidOption::new("real", "not over simulated links"));
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
        check_range("real", self.real_relays, 0..=MAX_REAL)?;
        check_range("calm", self.calm_s as usize, 2..=3_600)?;
        check_range("cut", self.cut_s as usize, 1..=3_600)?;
        check_range("period", self.period_ms as usize, 50..=60_000)?;
        check_range("term", self.term_ms as usize, 500..=60_000)?;
        check_range("rate", self.rate as usize, 4_096..=16_777_216)?;
        check_range("voter-rate", self.voter_rate as usize, 4_096..=16_777_216)
    }

    /// Processes of hollow relays, and one for each voter.
    pub fn processes(&self) -> usize {
        self.relays.div_ceil(self.relays_per_process) + self.voters + self.real_relays
    }

    /// Checks that the fleet fits this machine: under half of its memory, and a few hundred
    /// processes.
    ///
    /// # Errors
    /// What there is too little of.
    pub fn check_machine(&self) -> Result<(), MachineError> {
        let processes = self.processes();
        if processes > MAX_PROCESSES {
            return Err(MachineError::Processes {
                needed: processes,
                allowed: MAX_PROCESSES,
            });
        }
        let needed = (self.relays + self.voters) as u64 * BYTES_PER_HOLLOW_RELAY;
        let half = memory_total().map_or(u64::MAX, |total| total / 2);
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

/// An option that is out of its range.
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

/// The machine's memory in bytes.
fn memory_total() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
