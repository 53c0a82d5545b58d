//! A scratch copy of the sources: mutated, built, and run on seeds until a day fails.
//!
//! The search owns one for the whole run, so builds after the first are incremental.

use std::fs;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Deserialize;

use crate::seeds::SeedRange;

/// Files and folders of the sources that are copied.
const COPIED: [&str; 3] = ["Cargo.toml", "Cargo.lock", "crates"];
/// What precedes the seed and the failure in a line that the test prints about a day that failed.
const FINDING: &str = "finding: seed ";
/// The test that plays random days, and the variables that choose the seeds and end it at the first finding.
const RANDOM_DAYS_TEST: &str = "mixed::days_of_mixed_faults";
const SEEDS_VARIABLE: &str = "SCENARIOS_MIXED";
const FIRST_ONLY_VARIABLE: &str = "SCENARIOS_FIRST";

/// Why a scratch copy cannot be made, built or searched.
#[derive(Debug, thiserror::Error)]
pub enum ScratchError {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Error,
    },
    /// Cargo could not be run.
    #[error("cargo: {0}")]
    Cargo(Error),
    /// The copy does not compile.
    #[error("the copy does not compile: {0}")]
    Build(String),
    /// The test ended without a verdict.
    #[error("the test ended without a verdict: {0}")]
    NoVerdict(String),
}

/// The first day that violated an invariant.
#[derive(Debug, Clone)]
pub struct Finding {
    /// How many seeds it took, itself included.
    pub seeds: u64,
    /// The rule that was violated.
    pub rule: String,
}

/// Cargo's message about something it has built.
#[derive(Deserialize)]
struct Artifact {
    /// The program, if it is one.
    executable: Option<PathBuf>,
}

/// A copy of the sources.
pub struct Scratch {
    folder: PathBuf,
}

/// Turns an I/O error about a file or folder into a [`ScratchError`].
fn file_error(path: &Path) -> impl Fn(Error) -> ScratchError + '_ {
    |source| ScratchError::File {
        path: path.to_owned(),
        source,
    }
}

fn copy(from: &Path, to: &Path) -> Result<(), ScratchError> {
    if !from.is_dir() {
        return fs::copy(from, to).map(drop).map_err(file_error(from));
    }
    fs::create_dir_all(to).map_err(file_error(from))?;
    for entry in fs::read_dir(from).map_err(file_error(from))? {
        let name = entry.map_err(file_error(from))?.file_name();
        copy(&from.join(&name), &to.join(&name))?;
    }
    Ok(())
}

impl Scratch {
    /// Copies the sources to a folder.
    ///
    /// # Errors
    ///
    /// A file or folder cannot be read or written.
    pub fn new(sources: &Path, folder: &Path) -> Result<Scratch, ScratchError> {
        fs::create_dir_all(folder).map_err(file_error(folder))?;
        for name in COPIED {
            copy(&sources.join(name), &folder.join(name))?;
        }
        Ok(Scratch {
            folder: folder.to_owned(),
        })
    }

    /// A file's text.
    ///
    /// # Errors
    ///
    /// It cannot be read.
    pub fn read(&self, file: &Path) -> Result<String, ScratchError> {
        let path = self.folder.join(file);
        fs::read_to_string(&path).map_err(file_error(&path))
    }

    /// Replaces a file's text.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn write(&self, file: &Path, text: &str) -> Result<(), ScratchError> {
        let path = self.folder.join(file);
        fs::write(&path, text).map_err(file_error(&path))
    }

    /// Builds the scenarios and returns the path of their program.
    ///
    /// # Errors
    ///
    /// Cargo cannot be run, or the copy does not compile.
    pub fn build(&self) -> Result<PathBuf, ScratchError> {
        let arguments = "test --release --locked -p worksshunt-core --test scenarios --no-run";
        let output = Command::new("cargo")
            .args(arguments.split(' '))
            .arg("--message-format=json")
            .current_dir(&self.folder)
            .env("CARGO_TARGET_DIR", self.folder.join("target"))
            .output()
            .map_err(ScratchError::Cargo)?;
        let text = String::from_utf8_lossy(&output.stdout);
        // The last program is the test itself.
        let program = text.lines().rev().find_map(|line| {
            let artifact: Artifact = serde_json::from_str(line).ok()?;
            artifact.executable
        });
        match program.filter(|_| output.status.success()) {
            Some(program) => Ok(program),
            None => Err(ScratchError::Build(last_line(&output.stderr))),
        }
    }

    /// Plays the days of these seeds until one fails; none if all pass.
    ///
    /// # Errors
    ///
    /// The program cannot be run, or ends without a verdict.
    pub fn first_finding(
        &self,
        program: &Path,
        seeds: &SeedRange,
    ) -> Result<Option<Finding>, ScratchError> {
        let output = Command::new(program)
            .args([RANDOM_DAYS_TEST, "--exact", "--nocapture"])
            .env(SEEDS_VARIABLE, format!("{}..{}", seeds.from, seeds.to))
            .env(FIRST_ONLY_VARIABLE, "1")
            .current_dir(&self.folder)
            .output()
            .map_err(ScratchError::Cargo)?;
        let text = String::from_utf8_lossy(&output.stdout);
        let failed_day = text.lines().filter_map(FailedDay::parse).min();
        match (output.status.success(), failed_day) {
            (true, None) => Ok(None),
            (false, Some(day)) => Ok(Some(Finding {
                seeds: day.seed - seeds.from + 1,
                rule: rule_of(&day.failure),
            })),
            _ => Err(ScratchError::NoVerdict(last_line(&output.stderr))),
        }
    }
}

/// A day that failed, as the test prints it. Ordered by seed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FailedDay {
    seed: u64,
    failure: String,
}

impl FailedDay {
    fn parse(line: &str) -> Option<FailedDay> {
        let (seed, failure) = line.strip_prefix(FINDING)?.split_once(": ")?;
        Some(FailedDay {
            seed: seed.parse().ok()?,
            failure: failure.to_owned(),
        })
    }
}

/// The rule that a day's failure names first, or the failure itself if it names none.
fn rule_of(failure: &str) -> String {
    let named = failure.split_once("[\"").map(|(_, named)| named);
    let rule = named.and_then(|named| named.split_once(':'));
    rule.map_or(failure, |(rule, _)| rule).replace('|', "/")
}

fn last_line(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let last = text.lines().rfind(|line| !line.trim().is_empty());
    last.map_or_else(
        || Error::from(ErrorKind::UnexpectedEof).to_string(),
        str::to_owned,
    )
}
