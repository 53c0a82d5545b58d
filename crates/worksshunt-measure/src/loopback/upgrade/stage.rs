//! The stages of an upgrade and its rollback: which change each makes, and to which controller. It owns no state;
//! `upgrade` makes the changes.

use std::fmt;
use std::path::Path;

use super::arguments::Programs;

/// How often a leader is killed at most until one of the stage's build leads.
pub const MAX_LEADERS_KILLED: usize = 4;

/// Which program a controller runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    /// The one before the upgrade.
    Old,
    /// The one after it.
    New,
}

impl Build {
    /// Its name in the lines that are printed.
    pub fn name(self) -> &'static str {
        match self {
            Build::Old => "old",
            Build::New => "new",
        }
    }

    /// Path of its program.
    pub fn program(self, programs: &Programs) -> &Path {
        match self {
            Build::Old => &programs.old,
            Build::New => &programs.new,
        }
    }
}

/// What is changed in a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// A follower gets the other build.
    ReplaceFollower,
    /// The leader, of the build that is replaced, is killed and restarted with the other build.
    FailOverAndReplace,
    /// The leader, of the build that replaces, is killed and restarted with the same build.
    FailOver,
    /// The last controller of the build that is replaced gets the other build.
    ReplaceLast,
}

/// A stage: a change on the way from one build to the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stage {
    /// What is changed.
    pub change: Change,
    /// The build that is replaced.
    pub from: Build,
    /// The build that replaces it.
    pub to: Build,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.from.name(), self.to.name());
        match self.change {
            Change::None => write!(f, "all on the {from} build"),
            Change::ReplaceFollower => write!(f, "{from} follower replaced by {to}"),
            Change::FailOverAndReplace => {
                write!(f, "mixed, {from} leader killed, replaced by {to}")
            }
            Change::FailOver => write!(f, "mixed, {to} leader killed, restarted as {to}"),
            Change::ReplaceLast => write!(f, "last {from} controller replaced by {to}"),
        }
    }
}

fn rolling_change(from: Build, to: Build) -> [Stage; 4] {
    let changes = [
        Change::ReplaceFollower,
        Change::FailOverAndReplace,
        Change::FailOver,
        Change::ReplaceLast,
    ];
    changes.map(|change| Stage { change, from, to })
}

/// All stages: the upgrade, then the rollback.
pub fn stages() -> Vec<Stage> {
    let unchanged = Stage {
        change: Change::None,
        from: Build::Old,
        to: Build::Old,
    };
    let mut all = vec![unchanged];
    all.extend(rolling_change(Build::Old, Build::New));
    all.extend(rolling_change(Build::New, Build::Old));
    all
}

/// The first controller of a build, except for the excluded one.
pub fn controller_of(builds: &[Build], build: Build, excluded: Option<usize>) -> Option<usize> {
    let is_candidate = |(node, found): (usize, &Build)| {
        (*found == build && Some(node) != excluded).then_some(node)
    };
    builds.iter().enumerate().find_map(is_candidate)
}

#[cfg(test)]
mod tests;
