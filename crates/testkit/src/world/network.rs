//! Links between controllers and the components that they call or that call them.

use super::World;
use crate::time::{Micros, MILLISECOND};

/// Kind of a controller's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Link {
    Store,
    Cloud,
    Agents,
    Peers,
}

/// One-way latency of a message between controllers.
pub(super) const PEER_LATENCY_US: Micros = MILLISECOND;
/// One-way latency of a call to the key-value store and of a direct command.
pub(super) const CALL_LATENCY_US: Micros = 2 * MILLISECOND;
/// One-way latency of a call to the cloud.
pub(super) const CLOUD_LATENCY_US: Micros = 100 * MILLISECOND;
/// Latency of a request to a controller, and of its response.
pub(super) const REQUEST_LATENCY_US: Micros = MILLISECOND;

impl Link {
    /// Returns the word for the link in scenarios.
    fn word(self) -> &'static str {
        match self {
            Link::Store => "store",
            Link::Cloud => "cloud",
            Link::Agents => "agents",
            Link::Peers => "peers",
        }
    }
}

/// A link of a controller that is cut.
pub(super) struct Cut {
    /// Index of the controller.
    pub(super) controller: usize,
    /// Word for the link in scenarios, or `all`.
    pub(super) link: String,
    pub(super) until: Micros,
    /// Whether messages arrive after the cut; otherwise they are lost.
    pub(super) holds_messages: bool,
}

impl Cut {
    fn affects(&self, controller: usize, link: Link) -> bool {
        self.controller == controller && (self.link == link.word() || self.link == "all")
    }
}

/// Faults of links.
#[derive(Default)]
pub(super) struct Network {
    pub(super) cuts: Vec<Cut>,
    /// Controllers that the key-value store refuses, and until when.
    pub(super) refused: Vec<(usize, Micros)>,
}

impl Network {
    /// Returns until when the key-value store refuses a controller; 0 if it never did.
    pub(super) fn refused_until(&self, controller: usize) -> Micros {
        let refused = self.refused.iter();
        let refused = refused.filter(|(index, _)| *index == controller);
        refused.map(|(_, until)| *until).max().unwrap_or(0)
    }

    /// Returns whether a controller's link to the key-value store is cut.
    pub(super) fn is_cut_from_store(&self, controller: usize, now: Micros) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|cut| now < cut.until && cut.affects(controller, Link::Store))
    }
}

impl World {
    /// Returns when a message over this link arrives. If the link is cut, the message arrives after a cut that
    /// holds messages, and never (`None`) otherwise.
    pub(super) fn arrival(&self, controller: usize, link: Link, latency: Micros) -> Option<Micros> {
        let latency = latency + self.link_delay(link);
        let mut cuts = self.network.cuts.iter();
        let cut = cuts.find(|cut| self.now < cut.until && cut.affects(controller, link));
        match cut {
            None => Some(self.now + latency),
            Some(cut) if cut.holds_messages => Some(cut.until + latency),
            Some(_) => None,
        }
    }
}
