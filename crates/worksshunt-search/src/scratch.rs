//! A scratch copy of the sources, built and searched.

use std::fs;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Deserialize;

use crate::seeds::SeedRange;

/// What of the sources is copied.
const COPIED: [&str; 3] = ["Cargo.toml", "Cargo.lock", "crates"];
/// How the test begins a line about a day that broke a rule.
const FINDING: &str = "finding: seed ";

/// Why a scratch copy cannot be searched.
#[derive(Debug, thiserror::Error)]
pub enum ScratchError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, Error),
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

/// The first day that broke a rule.
#[derive(Debug, Clone)]
pub struct Finding {
    /// How many seeds were played for it, itself included.
    pub seeds: u64,
    /// The rule.
    pub rule: String,
}

/// What cargo says of something it has built.
#[derive(Deserialize)]
struct Artifact {
    /// The program, if it is one.
    executable: Option<PathBuf>,
}

/// A copy of the sources.
pub struct Scratch {
    folder: PathBuf,
}

fn copy(from: &Path, to: &Path) -> Result<(), ScratchError> {
    let wrong = |error| ScratchError::File(from.to_owned(), error);
    if !from.is_dir() {
        return fs::copy(from, to).map(drop).map_err(wrong);
    }
    fs::create_dir_all(to).map_err(wrong)?;
    for entry in fs::read_dir(from).map_err(wrong)? {
        let name = entry.map_err(wrong)?.file_name();
        copy(&from.join(&name), &to.join(&name))?;
    }
    Ok(())
}

impl Scratch {
    /// Copies the sources to a folder.
    pub fn new(sources: &Path, folder: &Path) -> Result<Scratch, ScratchError> {
        let made = fs::create_dir_all(folder);
        made.map_err(|error| ScratchError::File(folder.to_owned(), error))?;
        for name in COPIED {
            copy(&sources.join(name), &folder.join(name))?;
        }
        Ok(Scratch {
            folder: folder.to_owned(),
        })
    }

    /// A file's text.
    pub fn read(&self, file: &Path) -> Result<String, ScratchError> {
        let path = self.folder.join(file);
        fs::read_to_string(&path).map_err(|error| ScratchError::File(path, error))
    }

    /// Replaces a file's text.
    pub fn write(&self, file: &Path, text: &str) -> Result<(), ScratchError> {
        let path = self.folder.join(file);
        fs::write(&path, text).map_err(|error| ScratchError::File(path, error))
    }

    /// Builds the scenarios and gives the path of their program.
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

    /// Plays these seeds until one breaks a rule.
    pub fn first_finding(
        &self,
        test: &Path,
        seeds: &SeedRange,
    ) -> Result<Option<Finding>, ScratchError> {
        let output = Command::new(test)
            .args(["mixed::days_of_mixed_troubles", "--exact", "--nocapture"])
            .env("SCENARIOS_MIXED", format!("{}..{}", seeds.from, seeds.to))
            .env("SCENARIOS_FIRST", "1")
            .current_dir(&self.folder)
            .output()
            .map_err(ScratchError::Cargo)?;
        let text = String::from_utf8_lossy(&output.stdout);
        let findings = text.lines().filter_map(|line| {
            let (seed, what) = line.strip_prefix(FINDING)?.split_once(": ")?;
            Some((seed.parse::<u64>().ok()?, what.to_owned()))
        });
        match (output.status.success(), findings.min()) {
            (true, None) => Ok(None),
            (false, Some((seed, rule))) => Ok(Some(Finding {
                seeds: seed - seeds.from + 1,
                rule: rule_of(&rule),
            })),
            _ => Err(ScratchError::NoVerdict(last_line(&output.stderr))),
        }
    }
}

/// The rule that a day's failure names first, or how it begins.
fn rule_of(what: &str) -> String {
    let named = what.split_once("[\"").map(|(_, named)| named);
    let rule = named.and_then(|named| named.split_once(':'));
    rule.map_or(what, |(rule, _)| rule).replace('|', "/")
}

fn last_line(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let last = text.lines().rfind(|line| !line.trim().is_empty());
    last.map_or_else(
        || Error::from(ErrorKind::UnexpectedEof).to_string(),
        str::to_owned,
    )
}
