//! Validation of the arguments of `upgrade`, before anything is started.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use super::stage::MAX_LEADERS_KILLED;
use super::{JOBS_BEFORE_CHANGE, TASKS_PER_JOB};
use crate::loopback::controllers::CONTROLLER_COUNT;
use crate::loopback::TASKS_PER_MACHINE;

/// Minimum number of machines: all tasks of a stage with the maximum number of jobs fit on them at once.
pub const MIN_MACHINES: usize = {
    let max_jobs = JOBS_BEFORE_CHANGE + MAX_LEADERS_KILLED + 1 + CONTROLLER_COUNT;
    (max_jobs * TASKS_PER_JOB as usize).div_ceil(TASKS_PER_MACHINE)
};
/// Execute permissions of owner, group and others; an executable file has at least one.
const EXECUTE_PERMISSIONS: u32 = 0o111;

/// Controller programs of the two builds.
#[derive(Debug, Clone)]
pub struct Programs {
    /// Program to upgrade to.
    pub new: PathBuf,
    /// Program before the upgrade and after the rollback.
    pub old: PathBuf,
}

/// Invalid arguments.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// The path is not an executable file.
    #[error("{0} is not an executable file")]
    NotExecutable(PathBuf),
    /// The tasks of a stage may not fit on the machines; at least [`MIN_MACHINES`] are required.
    #[error("{0} machines are too few: at least {MIN_MACHINES}")]
    TooFewMachines(usize),
}

fn check_program(path: &Path) -> Result<(), UsageError> {
    let is_executable = std::fs::metadata(path)
        .is_ok_and(|file| file.is_file() && file.permissions().mode() & EXECUTE_PERMISSIONS != 0);
    if is_executable {
        Ok(())
    } else {
        Err(UsageError::NotExecutable(path.to_owned()))
    }
}

/// Checks both programs and the number of machines.
///
/// # Errors
/// The first invalid argument.
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
