//! Search for one mutation: applies it to the scratch copy, builds the copy, and simulates random runs from several
//! starts. A start is one search over its own range of seeds.

use std::fmt;
use std::time::{Duration, Instant};

use crate::mutation::Mutation;
use crate::scratch::{Finding, ScratchCopy, ScratchError};
use crate::seeds::SeedRange;
use crate::SearchError;

/// Offset between the seed ranges of consecutive starts; shorter ranges do not overlap.
const START_SEED_OFFSET: u64 = 1_000_000;

/// Header of the Markdown table whose rows are [`MutationResult`]s.
pub const TABLE_HEADER: &str =
    "| mutation | found | seeds to the first finding, by start | rule | s |
| --- | --- | --- | --- | --- |";

/// Result of the searches from all starts.
struct SearchOutcome {
    /// First finding of each start; `None` if all its runs passed.
    findings: Vec<Option<Finding>>,
    /// Duration of all searches, without the build.
    duration: Duration,
}

/// Result of the search for a mutation; displayed as a row of the table.
pub struct MutationResult {
    mutation_name: String,
    outcome: SearchOutcome,
}

impl fmt::Display for MutationResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SearchOutcome { findings, duration } = &self.outcome;
        let found_count = findings.iter().flatten().count();
        let format_seeds = |finding: &Option<Finding>| match finding {
            Some(finding) => finding.seeds_tried.to_string(),
            None => "–".to_owned(),
        };
        let seeds: Vec<String> = findings.iter().map(format_seeds).collect();
        let first_finding = findings.iter().flatten().next();
        write!(
            f,
            "| {} | {found_count} of {} | {} | {} | {:.0} |",
            self.mutation_name,
            findings.len(),
            seeds.join(", "),
            first_finding.map_or("–", |finding| &finding.violation),
            duration.as_secs_f64(),
        )
    }
}

/// Applies a mutation to the scratch copy, searches from every start, and restores the copy.
///
/// # Errors
///
/// The mutation does not apply, or the mutated copy cannot be written, built or searched.
pub fn run(
    mutation: &Mutation,
    scratch_copy: &ScratchCopy,
    seeds: &SeedRange,
    starts: u64,
) -> Result<MutationResult, SearchError> {
    let mut edited_files = Vec::new();
    for edit in mutation.edits() {
        let original = scratch_copy.read(&edit.file)?;
        let mutated = mutation.apply(&edit, &original)?;
        edited_files.push((edit.file, original, mutated));
    }
    for (file, _, mutated) in &edited_files {
        scratch_copy.write(file, mutated)?;
    }
    let outcome = build_and_search(scratch_copy, seeds, starts);
    for (file, original, _) in &edited_files {
        scratch_copy.write(file, original)?;
    }
    Ok(MutationResult {
        mutation_name: mutation.name.clone(),
        outcome: outcome?,
    })
}

/// Builds the scratch copy and searches from every start.
fn build_and_search(
    scratch_copy: &ScratchCopy,
    seeds: &SeedRange,
    starts: u64,
) -> Result<SearchOutcome, ScratchError> {
    let program = scratch_copy.build()?;
    let started_at = Instant::now();
    let findings = (0..starts)
        .map(|start| {
            scratch_copy.first_finding(&program, &seeds.shifted(start * START_SEED_OFFSET))
        })
        .collect::<Result<_, _>>()?;
    Ok(SearchOutcome {
        findings,
        duration: started_at.elapsed(),
    })
}
