//! What the controllers are started with.

use crate::time::{Micros, SECOND};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{Objective, Settings, Sibling, Tuning};
use std::collections::BTreeSet;

/// Time of day at the start, in microseconds since 1970.
pub(super) const WALL_CLOCK_START: Micros = 1_700_000_000 * SECOND;
/// How many controllers there are if the script does not say.
const DEFAULT_CONTROLLERS: usize = 3;
/// The zone in which all controllers run.
const CONTROLLER_ZONE: &str = "a";

/// Settings of all controllers.
pub(super) struct Configuration {
    /// How many controllers there are.
    pub(super) controllers: usize,
    pub(super) settings: Settings,
    pub(super) tuning: Tuning,
    /// The limits that the key-value store announces for later.
    pub(super) next_limits: Option<StoreLimits>,
    /// Controllers that do not know what is announced: they stand for the version before, whose formats
    /// are the same.
    pub(super) previous_version: BTreeSet<usize>,
    /// Time of day at the start, in microseconds since 1970.
    pub(super) wall_clock_start: Micros,
}

impl Default for Configuration {
    fn default() -> Configuration {
        Configuration {
            controllers: DEFAULT_CONTROLLERS,
            settings: Settings {
                objectives: vec![finished_within("finished", "work", 60 * SECOND)],
                ..Settings::default()
            },
            tuning: Tuning::default(),
            next_limits: None,
            previous_version: BTreeSet::new(),
            wall_clock_start: WALL_CLOCK_START,
        }
    }
}

impl Configuration {
    /// The settings with which this controller starts now, but for changes of teams' limits.
    pub(super) fn settings_of(&self, index: usize, controllers: usize) -> Settings {
        let mut settings = self.settings.clone();
        if let (Some(next), false) = (self.next_limits, self.previous_version.contains(&index)) {
            settings.store = settings.store.smaller_of(next);
        }
        settings.member = member_name(index);
        let others = (0..controllers).filter(|other| *other != index);
        settings.siblings = others.map(sibling).collect();
        settings
    }

    /// The tuning with which this controller starts now.
    pub(super) fn tuning_of(&self, index: usize) -> Tuning {
        let mut tuning = self.tuning.clone();
        if self.previous_version.contains(&index) {
            // The version before knows no partitions.
            tuning.partitions_per_zone = 0;
            tuning.allotments = 0;
        }
        tuning
    }
}

/// The name of a controller.
pub(super) fn member_name(index: usize) -> String {
    format!("perch-{index}")
}

/// The index of a controller by its name, or by its number.
pub(super) fn member_index(name: &str) -> Option<usize> {
    name.trim_start_matches("perch-").parse().ok()
}

fn sibling(index: usize) -> Sibling {
    Sibling {
        member: member_name(index),
        zone: CONTROLLER_ZONE.into(),
    }
}

/// An objective that nine tenths of a class's jobs meet within this time.
pub(super) fn finished_within(kind: &str, class: &str, within: Micros) -> Objective {
    Objective {
        kind: kind.into(),
        class: class.into(),
        within: Some(within),
        share: 0.9,
        after: None,
        worst_window: None,
    }
}
