//! The stages of an upgrade and its rollback, and the change that each of them makes.

use std::fmt;
use std::path::Path;

use super::arguments::Programs;

/// Maximum number of leaders to kill until a controller of the stage's build is the leader.
pub const MAX_LEADERS_KILLED: usize = 4;

/// Build of the program that a controller runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    /// Build before the upgrade.
    Old,
    /// Build after the upgrade.
    New,
}

impl Build {
    /// Name in the printed results.
    pub fn name(self) -> &'static str {
        match self {
            Build::Old => "old",
            Build::New => "new",
        }
    }

    /// Program of the build.
    pub fn program(self, programs: &Programs) -> &Path {
        match self {
            Build::Old => &programs.old,
            Build::New => &programs.new,
        }
    }
}

/// Change that a stage makes. `from` and `to` are the builds of the [`Stage`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change; all controllers run `from`.
    None,
    /// Replaces a follower of `from` by `to`.
    ReplaceFollower,
    /// Kills a leader of `from` and restarts it with `to`.
    FailOverAndReplace,
    /// Kills a leader of `to` and restarts it with `to`.
    FailOver,
    /// Replaces the last controller of `from` by `to`.
    ReplaceLast,
}

/// Stage of an upgrade or a rollback. It is displayed as its description in the printed results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stage {
    /// Change that the stage makes.
    pub change: Change,
    /// Build that is replaced.
    pub from: Build,
    /// Build that replaces it.
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

/// Stages that replace one build by the other on all three controllers.
fn rolling_replacement(from: Build, to: Build) -> [Stage; 4] {
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
    let mut stages = vec![unchanged];
    stages.extend(rolling_replacement(Build::Old, Build::New));
    stages.extend(rolling_replacement(Build::New, Build::Old));
    stages
}

/// First controller of a build, other than `excluded`.
pub fn find_controller(builds: &[Build], build: Build, excluded: Option<usize>) -> Option<usize> {
    let is_candidate = |(controller, candidate): (usize, &Build)| {
        (*candidate == build && Some(controller) != excluded).then_some(controller)
    };
    builds.iter().enumerate().find_map(is_candidate)
}

#[cfg(test)]
mod tests;
