//! The charter: an operator's own file beside the platform's settings. Its text is read by the keys
//! that `keys` lists, which are also its reference page (`page`); what it says is checked against
//! the rules (`rules`) and worked out into rows for the decisions and for the relay's front
//! (`routing`). Every fault of a file is found at once, each with its line, column and key. No I/O.
pub mod keys;
pub mod page;
pub mod peers;
pub mod routing;
mod rules;
mod text;

pub use peers::Peering;
pub use routing::{
    Circumstances, FrontRow, Lanes, ListenerFacts, OTHERWISE, Origin, Routing, Told,
};
pub use text::{Fault, Matching, PeersText, RouteText, SecondText, Stated};

/// A file as read, not yet held against a deployment.
#[derive(Clone, Debug, Default)]
pub struct Charter {
    pub routes: Vec<RouteText>,
    pub peers: Option<PeersText>,
}

impl Charter {
    /// # Errors
    /// All that is wrong with the text by itself.
    pub fn parse(file: &str, text: &str) -> Result<Charter, Vec<Fault>> {
        text::parse(file, text)
    }

    /// What it says of peers, with what holds where it does not; none where it says nothing.
    ///
    /// # Errors
    /// All that is wrong with it there.
    pub fn peering(&self, of: &Circumstances) -> Result<Option<Peering>, Vec<Fault>> {
        self.peers
            .as_ref()
            .map(|text| peers::peering(text, of))
            .transpose()
    }

    /// Rows for a deployment.
    ///
    /// # Errors
    /// All that is wrong with it there: unknown names, and what would break a rule.
    pub fn against(&self, of: &Circumstances, lanes: &mut Lanes) -> Result<Routing, Vec<Fault>> {
        rules::check(self, of)?;
        self.peering(of)?;
        Ok(Routing::new(self, of, lanes))
    }
}
