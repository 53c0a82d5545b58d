//! Checks the arguments of an upgrade before anything is started. It owns no state; `upgrade::run` calls it.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use super::stage::MAX_LEADERS_KILLED;
use super::{JOBS_BEFORE, JOB_TASKS};
use crate::loopback::controllers::CONTROLLERS;
use crate::loopback::TASKS_PER_MACHINE;

/// Fewest machines that hold all tasks of the stage with the most jobs at once.
pub const MIN_MACHINES: usize = {
    let jobs = JOBS_BEFORE + MAX_LEADERS_KILLED + 1 + CONTROLLERS;
    (jobs * JOB_TASKS as usize).div_ceil(TASKS_PER_MACHINE)
};
/// Permission bits of which an executable file has at least one.
const EXECUTABLE_BITS: u32 = 0o111;

/// The programs of the two builds.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The one that is upgraded to.
    pub new: PathBuf,
    /// The one that runs first, and again after the rollback.
    pub old: PathBuf,
}

/// Why the arguments are wrong.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// A path does not name an executable file.
    #[error("{0} is not a program that can be run")]
    NotAProgram(PathBuf),
    /// The machines could not hold all jobs of a stage.
    #[error("{0} machines are too few: at least {MIN_MACHINES}")]
    TooFewMachines(usize),
}

fn check_program(path: &Path) -> Result<(), UsageError> {
    let is_executable = std::fs::metadata(path)
        .is_ok_and(|file| file.is_file() && file.permissions().mode() & EXECUTABLE_BITS != 0);
    if is_executable {
        Ok(())
    } else {
        Err(UsageError::NotAProgram(path.to_owned()))
    }
}

/// Checks both programs and the number of machines.
///
/// # Errors
/// The first argument that is wrong.
pub fn check(programs: &Programs, machines: usize) -> Result<(), UsageError> {
    check_program(&programs.new)?;
    check_program(&programs.old)?;
    if machines < MIN_MACHINES {
        return Err(UsageError::TooFewMachines(machines));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
