//! Integer ids of sessions, backends, routes, zones and cells. The embedding protocol maps its own
//! names to them.

/// A session of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u32);

/// A backend that this process knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendId(pub u32);

/// A row of the route table, as it was when the session arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub u16);

/// A zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A cell within a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u16);

impl BackendId {
    /// Returns the id as an index into a table.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Mixes an endpoint's hash with a group for rendezvous hashing: every relay gets the same order of
/// backends for a group without sharing any state.
pub(crate) fn rendezvous_hash(endpoint: u64, group: u64) -> u64 {
    let mut hash = endpoint ^ group.rotate_left(17) ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..2 {
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    hash ^ (hash >> 31)
}
