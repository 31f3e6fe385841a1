//! What is run: sizes, times, the fault, and where each process of the fleet stands.
use serde::{Deserialize, Serialize};
use thistlecroft::time::Duration;
use thistlecroft_leases::{Electorate, LeaseConfig, MAX_VOTER_SUBJECTS};
use thistlecroft_peers::{NodeConfig, ProtocolTiming};

/// The part of a relay's rate that attaching and detaching subjects may take, as in the relay.
const UPDATE_SHARE: u32 = 2;
/// What a hollow relay is taken for before anything starts.
const BYTES_EACH: u64 = 2 * 1_024 * 1_024;
const MAX_PROCESSES: usize = 200;
const MAX_RELAYS: usize = 4_000;
const MAX_VOTERS: usize = 7;
const MAX_REAL: usize = 24;
/// Addresses that a process knows at its start.
pub const SEEDS: usize = 3;

/// What is done to the fleet once it is calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Voter,
    Relay,
}

/// A run, in full.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleConfig {
    pub relays: usize,
    pub subjects: usize,
    pub voters: usize,
    pub period_ms: u64,
    pub term_ms: u64,
    /// Bytes a second that a relay sends at most, and a voter.
    pub rate: u32,
    pub voter_rate: u32,
    pub zones: usize,
    /// The zones up to this one are the first region.
    pub first_region: usize,
    pub rack: usize,
    pub fault: Fault,
    /// Seconds that calm is measured, and that a region is cut off.
    pub calm_s: u64,
    pub cut_s: u64,
    /// Part of the datagrams that is lost, over simulated links.
    pub loss: f64,
    pub seed: u64,
    pub simulated: bool,
    /// Hollow relays of one process.
    pub each_process: usize,
    /// Real relays in the fleet beside them.
    pub real: usize,
}

/// Who stands where: voters first, then relays, both dealt over the zones in turn.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub voters: usize,
    pub relays: usize,
    pub zones: usize,
    pub rack: usize,
}

impl Layout {
    pub fn size(&self) -> usize {
        self.voters + self.relays
    }

    pub fn role(&self, member: usize) -> Role {
        if member < self.voters {
            Role::Voter
        } else {
            Role::Relay
        }
    }

    pub fn name(&self, member: usize) -> String {
        match self.role(member) {
            Role::Voter => format!("voter-{member}"),
            Role::Relay => format!("hollow-{}", member - self.voters),
        }
    }

    /// The member of that name, as `name` gives it.
    pub fn member(&self, name: &str) -> Option<usize> {
        let (role, number) = name.split_once('-')?;
        let number: usize = number.parse().ok()?;
        match role {
            "voter" => Some(number),
            "hollow" => Some(number + self.voters),
            _ => None,
        }
    }

    pub fn zone(&self, member: usize) -> usize {
        match self.role(member) {
            Role::Voter => member % self.zones,
            Role::Relay => (member - self.voters) % self.zones,
        }
    }

    /// Those that a fault takes away.
    pub fn lost_by(&self, fault: Fault) -> Vec<usize> {
        let all = 0..self.size();
        let first_relay = self.voters;
        match fault {
            Fault::None | Fault::Region => Vec::new(),
            Fault::Relay => vec![first_relay],
            Fault::Voter => vec![0],
            Fault::Zone => all.filter(|member| self.zone(*member) == 0).collect(),
            Fault::Rack => {
                let relays = all.filter(|member| *member >= first_relay && self.zone(*member) == 0);
                relays.take(self.rack).collect()
            }
        }
    }
}

impl ScaleConfig {
    pub fn layout(&self) -> Layout {
        Layout {
            voters: self.voters,
            relays: self.relays,
            zones: self.zones,
            rack: self.rack,
        }
    }

    pub fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    pub fn rate_of(&self, role: Role) -> u32 {
        match role {
            Role::Voter => self.voter_rate,
            Role::Relay => self.rate,
        }
    }

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

    /// # Errors
    /// One line: which option is out of its range.
    pub fn validate(&self) -> Result<(), String> {
        let within = |name: &str, value: usize, least: usize, most: usize| {
            let fits = (least..=most).contains(&value);
            if fits {
                Ok(())
            } else {
                Err(format!(
                    "--{name}: {value} is not between {least} and {most}"
                ))
            }
        };
        within("relays", self.relays, 2, MAX_RELAYS)?;
        within("subjects", self.subjects, 0, MAX_VOTER_SUBJECTS)?;
        within("voters", self.voters, 1, MAX_VOTERS)?;
        within("zones", self.zones, 1, self.relays)?;
        within("first-region", self.first_region, 1, self.zones)?;
        within("rack", self.rack, 1, self.relays)?;
        within("each-process", self.each_process, 1, 1_000)?;
        within("real", self.real, 0, MAX_REAL)?;
        within("calm", self.calm_s as usize, 2, 3_600)?;
        within("cut", self.cut_s as usize, 1, 3_600)?;
        within("period", self.period_ms as usize, 50, 60_000)?;
        within("term", self.term_ms as usize, 500, 60_000)?;
        within("rate", self.rate as usize, 4_096, 16_777_216)?;
        within("voter-rate", self.voter_rate as usize, 4_096, 16_777_216)?;
        if !(0.0..=0.9).contains(&self.loss) {
            return Err(format!("--loss: {} is not between 0 and 0.9", self.loss));
        }
        if !self.simulated && self.fault == Fault::Region {
            return Err("--fault region: over simulated links only (--simulated)".into());
        }
        if self.simulated && self.real > 0 {
            return Err("--real: not over simulated links".into());
        }
        if !self.simulated && self.loss > 0.0 {
            return Err("--loss: over simulated links only (--simulated)".into());
        }
        Ok(())
    }

    /// Processes of hollow relays, and one for each voter.
    pub fn processes(&self) -> usize {
        self.relays.div_ceil(self.each_process) + self.voters + self.real
    }

    /// # Errors
    /// One line: what this machine has too little of.
    pub fn check_machine(&self) -> Result<(), String> {
        let processes = self.processes();
        if processes > MAX_PROCESSES {
            return Err(format!(
                "{processes} processes; {MAX_PROCESSES} at most, so give --each-process"
            ));
        }
        let needed = (self.relays + self.voters) as u64 * BYTES_EACH;
        let half = memory_total().map_or(u64::MAX, |total| total / 2);
        if needed > half {
            let mib = 1_024 * 1_024;
            return Err(format!(
                "{} MiB are needed for {} hollow relays; half of this machine's memory is {} MiB",
                needed / mib,
                self.relays,
                half / mib
            ));
        }
        Ok(())
    }
}

fn memory_total() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    line.split_whitespace()
        .nth(1)?
        .parse::<u64>()
        .ok()
        .map(|kib| kib * 1_024)
}
