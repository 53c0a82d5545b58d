//! Scratch copy of the sources, in which mutations are applied, built and tested.
//!
//! One copy serves all mutations of the list, so that builds after the first are incremental.

use std::fs;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Deserialize;

use crate::seeds::SeedRange;

/// Files and folders to copy, relative to the root of the sources.
const COPIED_PATHS: [&str; 3] = ["Cargo.toml", "Cargo.lock", "crates"];
/// Prefix of the line `finding: seed SEED: FAILURE` that the test prints for each failed run.
const FINDING_PREFIX: &str = "finding: seed ";
/// Test that simulates random runs.
const RANDOM_RUNS_TEST: &str = "mixed::days_of_mixed_faults";
/// Environment variable with the range of seeds that the test simulates.
const SEEDS_ENV_VAR: &str = "SCENARIOS_MIXED";
/// Environment variable that, if set, stops the test at the first failed run.
const FIRST_ONLY_ENV_VAR: &str = "SCENARIOS_FIRST";

/// Failure to create, change, build or test a scratch copy.
#[derive(Debug, thiserror::Error)]
pub enum ScratchError {
    /// A file or folder could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Cause.
        source: Error,
    },
    /// Cargo or the built test program could not be started.
    #[error("cannot start cargo or the test program: {0}")]
    ProcessStart(Error),
    /// The scratch copy does not compile; with the last line of cargo's error output.
    #[error("the scratch copy does not compile: {0}")]
    Build(String),
    /// The exit status of the test and the findings that it printed contradict each other; with the last line of its
    /// error output.
    #[error("the test ended without a verdict: {0}")]
    NoVerdict(String),
}

/// The failed run with the lowest seed of a search.
#[derive(Debug, Clone)]
pub struct Finding {
    /// Number of seeds from the first of the range up to this one, inclusive.
    pub seeds_tried: u64,
    /// Name of the violated invariant, or the message of another failure.
    pub violation: String,
}

/// Cargo's `compiler-artifact` message. Other messages parse as one without an executable.
#[derive(Deserialize)]
struct CompilerArtifact {
    /// Path of the built program; `None` for a library.
    executable: Option<PathBuf>,
}

/// Copy of the sources in a separate folder, with its own build directory.
pub struct ScratchCopy {
    folder: PathBuf,
}

/// Returns a conversion of I/O errors on a path to [`ScratchError`].
fn file_error(path: &Path) -> impl Fn(Error) -> ScratchError + '_ {
    |source| ScratchError::File {
        path: path.to_owned(),
        source,
    }
}

/// Copies a file, or a folder with all its contents.
fn copy_recursively(from: &Path, to: &Path) -> Result<(), ScratchError> {
    if !from.is_dir() {
        return fs::copy(from, to).map(drop).map_err(file_error(from));
    }
    fs::create_dir_all(to).map_err(file_error(from))?;
    for entry in fs::read_dir(from).map_err(file_error(from))? {
        let name = entry.map_err(file_error(from))?.file_name();
        copy_recursively(&from.join(&name), &to.join(&name))?;
    }
    Ok(())
}

impl ScratchCopy {
    /// Copies the sources to a folder.
    ///
    /// # Errors
    ///
    /// A file or folder cannot be read or written.
    pub fn new(sources: &Path, folder: &Path) -> Result<ScratchCopy, ScratchError> {
        fs::create_dir_all(folder).map_err(file_error(folder))?;
        for name in COPIED_PATHS {
            copy_recursively(&sources.join(name), &folder.join(name))?;
        }
        Ok(ScratchCopy {
            folder: folder.to_owned(),
        })
    }

    /// Reads a file, given by its path relative to the root of the sources.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn read(&self, file: &Path) -> Result<String, ScratchError> {
        let path = self.folder.join(file);
        fs::read_to_string(&path).map_err(file_error(&path))
    }

    /// Replaces the contents of a file, given by its path relative to the root of the sources.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, file: &Path, text: &str) -> Result<(), ScratchError> {
        let path = self.folder.join(file);
        fs::write(&path, text).map_err(file_error(&path))
    }

    /// Builds the scenario tests and returns the path of the test program.
    ///
    /// # Errors
    ///
    /// Cargo cannot be started, or the scratch copy does not compile.
    pub fn build(&self) -> Result<PathBuf, ScratchError> {
        let arguments = "test --release --locked -p worksshunt-core --test scenarios --no-run";
        let output = Command::new("cargo")
            .args(arguments.split(' '))
            .arg("--message-format=json")
            .current_dir(&self.folder)
            .env("CARGO_TARGET_DIR", self.folder.join("target"))
            .output()
            .map_err(ScratchError::ProcessStart)?;
        let text = String::from_utf8_lossy(&output.stdout);
        // The last executable is the test program.
        let program = text.lines().rev().find_map(|line| {
            let artifact: CompilerArtifact = serde_json::from_str(line).ok()?;
            artifact.executable
        });
        match program.filter(|_| output.status.success()) {
            Some(program) => Ok(program),
            None => Err(ScratchError::Build(last_line(&output.stderr))),
        }
    }

    /// Simulates the runs of these seeds until one fails. `None` if all pass.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or ends without a verdict.
    pub fn first_finding(
        &self,
        program: &Path,
        seeds: &SeedRange,
    ) -> Result<Option<Finding>, ScratchError> {
        let output = Command::new(program)
            .args([RANDOM_RUNS_TEST, "--exact", "--nocapture"])
            .env(SEEDS_ENV_VAR, format!("{}..{}", seeds.from, seeds.to))
            .env(FIRST_ONLY_ENV_VAR, "1")
            .current_dir(&self.folder)
            .output()
            .map_err(ScratchError::ProcessStart)?;
        let text = String::from_utf8_lossy(&output.stdout);
        let failed_run = text.lines().filter_map(FailedRun::parse).min();
        match (output.status.success(), failed_run) {
            (true, None) => Ok(None),
            (false, Some(run)) => Ok(Some(Finding {
                seeds_tried: run.seed - seeds.from + 1,
                violation: describe_violation(&run.failure),
            })),
            _ => Err(ScratchError::NoVerdict(last_line(&output.stderr))),
        }
    }
}

/// Failed run, parsed from the output of the test. Ordered by seed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FailedRun {
    seed: u64,
    failure: String,
}

impl FailedRun {
    fn parse(line: &str) -> Option<FailedRun> {
        let (seed, failure) = line.strip_prefix(FINDING_PREFIX)?.split_once(": ")?;
        Some(FailedRun {
            seed: seed.parse().ok()?,
            failure: failure.to_owned(),
        })
    }
}

/// Name of the first violated invariant that the failure lists, or the failure itself if it lists none. `|` would
/// break the row of the table and is replaced.
fn describe_violation(failure: &str) -> String {
    let violations = failure.split_once("[\"").map(|(_, list)| list);
    let invariant = violations.and_then(|list| list.split_once(':'));
    invariant
        .map_or(failure, |(name, _)| name)
        .replace('|', "/")
}

/// Last line that is not blank, or the text of an unexpected end of file if there is none.
fn last_line(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let last_line = text.lines().rfind(|line| !line.trim().is_empty());
    last_line.map_or_else(
        || Error::from(ErrorKind::UnexpectedEof).to_string(),
        str::to_owned,
    )
}
