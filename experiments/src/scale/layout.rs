//! Where each member of a fleet stands.
use super::config::Fault;
use serde::{Deserialize, Serialize};

/// What a member of the fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It grants leases.
    Voter,
    /// It owns subjects.
    Relay,
}

/// Who stands where: voters first, then relays, both dealt over the zones in turn.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// How many voters there are.
    pub voters: usize,
    /// How many relays there are.
    pub relays: usize,
    /// How many zones there are.
    pub zones: usize,
    /// Relays of one rack.
    pub relays_per_rack: usize,
}

impl Layout {
    /// All members.
    pub fn size(&self) -> usize {
        self.voters + self.relays
    }

    /// What a member does.
    pub fn role(&self, member: usize) -> Role {
        if member < self.voters {
            Role::Voter
        } else {
            Role::Relay
        }
    }

    /// A name by which others know it.
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

    /// The zone that a member stands in.
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
                relays.take(self.relays_per_rack).collect()
            }
        }
    }
}
