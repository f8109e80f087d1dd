//! The settings and the tuning with which the controllers start.

use crate::time::{Micros, SECOND};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{Objective, Settings, Sibling, Tuning};
use std::collections::BTreeSet;

/// Time of day at the start, in microseconds since 1970.
pub(super) const WALL_CLOCK_START_US: Micros = 1_700_000_000 * SECOND;
/// The default number of controllers.
const DEFAULT_CONTROLLERS: usize = 3;
/// The zone in which all controllers run.
const CONTROLLER_ZONE: &str = "a";

/// The settings of all controllers.
pub(super) struct Configuration {
    /// The number of controllers.
    pub(super) controllers: usize,
    pub(super) settings: Settings,
    pub(super) tuning: Tuning,
    /// The limits of the key-value store that are announced for later.
    pub(super) next_limits: Option<StoreLimits>,
    /// The controllers that run the previous version. They do not know the announced limits; their formats
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
                objectives: vec![objective_within("finished", "work", 60 * SECOND)],
                ..Settings::default()
            },
            tuning: Tuning::default(),
            next_limits: None,
            previous_version: BTreeSet::new(),
            wall_clock_start: WALL_CLOCK_START_US,
        }
    }
}

impl Configuration {
    /// Returns the settings with which a controller starts now, without changes of teams' limits.
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

    /// Returns the tuning with which a controller starts now.
    pub(super) fn tuning_of(&self, index: usize) -> Tuning {
        let mut tuning = self.tuning.clone();
        if self.previous_version.contains(&index) {
            // The previous version does not know partitions.
            tuning.partitions_per_zone = 0;
            tuning.allotments = 0;
        }
        tuning
    }
}

/// Returns the name of a controller.
pub(super) fn member_name(index: usize) -> String {
    format!("perch-{index}")
}

/// Returns the index of a controller that is given by its name or by its number.
pub(super) fn member_index(name: &str) -> Option<usize> {
    name.trim_start_matches("perch-").parse().ok()
}

fn sibling(index: usize) -> Sibling {
    Sibling {
        member: member_name(index),
        zone: CONTROLLER_ZONE.into(),
    }
}

/// Returns an objective that nine tenths of a class's jobs must meet within this time.
pub(super) fn objective_within(kind: &str, class: &str, within: Micros) -> Objective {
    Objective {
        kind: kind.into(),
        class: class.into(),
        within: Some(within),
        share: 0.9,
        after: None,
        worst_window: None,
    }
}
