//! The links between controllers and everything else.

use super::World;
use crate::time::{Micros, MILLISECOND};

/// A kind of link, by the word for it in scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Link {
    Store,
    Cloud,
    Agents,
    Peers,
}

/// How long a message between controllers takes.
pub(super) const PEER_LATENCY: Micros = MILLISECOND;
/// How long a call to the key-value store, or a direct command, takes each way.
pub(super) const CALL_LATENCY: Micros = 2 * MILLISECOND;
/// How long a call to the cloud takes each way.
pub(super) const CLOUD_LATENCY: Micros = 100 * MILLISECOND;
/// How long a request to a controller takes, and the response.
pub(super) const REQUEST_LATENCY: Micros = MILLISECOND;

impl Link {
    /// The word for it in scenarios.
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
    /// The controller's index.
    pub(super) controller: usize,
    /// The link's word, or `all`.
    pub(super) link: String,
    pub(super) until: Micros,
    /// Messages arrive after the cut; otherwise they are lost.
    pub(super) hold: bool,
}

impl Cut {
    fn concerns(&self, controller: usize, link: Link) -> bool {
        self.controller == controller && (self.link == link.word() || self.link == "all")
    }
}

/// What is wrong with links at present.
#[derive(Default)]
pub(super) struct Network {
    pub(super) cuts: Vec<Cut>,
    /// Controllers that the key-value store refuses, and until when.
    pub(super) refused: Vec<(usize, Micros)>,
}

impl Network {
    /// Until when the key-value store refuses a controller; 0 if it never did.
    pub(super) fn refused_until(&self, controller: usize) -> Micros {
        let refused = self.refused.iter();
        let refused = refused.filter(|(index, _)| *index == controller);
        refused.map(|(_, until)| *until).max().unwrap_or(0)
    }
}

impl World {
    /// When a message over this link arrives: never if the link is cut, late if the cut holds it.
    pub(super) fn arrival(&self, controller: usize, link: Link, latency: Micros) -> Option<Micros> {
        let latency = latency + self.link_delay(link);
        let mut cuts = self.network.cuts.iter();
        let cut = cuts.find(|cut| self.now < cut.until && cut.concerns(controller, link));
        match cut {
            None => Some(self.now + latency),
            Some(cut) if cut.hold => Some(cut.until + latency),
            Some(_) => None,
        }
    }
}
