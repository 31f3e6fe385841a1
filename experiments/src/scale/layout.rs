//! The roles, names, zones and racks of the members of a fleet.
use super::config::Fault;
use serde::{Deserialize, Serialize};

/// The role of a member of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Grants leases.
    Voter,
    /// Owns subjects.
    Relay,
}

/// The arrangement of a fleet. Members are numbered, voters first and then relays; voters and
/// relays are each spread over the zones round-robin.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of voters.
    pub voters: usize,
    /// Number of hollow relays.
    pub relays: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of relays in a rack.
    pub relays_per_rack: usize,
}

impl Layout {
    /// Returns the number of members.
    pub fn size(&self) -> usize {
        self.voters + self.relays
    }

    /// Returns the role of a member.
    pub fn role(&self, member: usize) -> Role {
        if member < self.voters {
            Role::Voter
        } else {
            Role::Relay
        }
    }

    /// Returns the name of a member in the fleet.
    pub fn name(&self, member: usize) -> String {
        match self.role(member) {
            Role::Voter => format!("voter-{member}"),
            Role::Relay => format!("hollow-{}", member - self.voters),
        }
    }

    /// Returns the member with this name, if it is one that [`Layout::name`] returns.
    pub fn member(&self, name: &str) -> Option<usize> {
        let (role, number) = name.split_once('-')?;
        let number: usize = number.parse().ok()?;
        match role {
            "voter" => Some(number),
            "hollow" => Some(number + self.voters),
            _ => None,
        }
    }

    /// Returns the zone of a member.
    pub fn zone(&self, member: usize) -> usize {
        match self.role(member) {
            Role::Voter => member % self.zones,
            Role::Relay => (member - self.voters) % self.zones,
        }
    }

    /// Returns the members that a fault kills.
    pub fn killed_by(&self, fault: Fault) -> Vec<usize> {
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
