//! The search for one mutation: applied to the scratch copy, built, and searched from every start.

use std::fmt;
use std::time::{Duration, Instant};

use crate::mutation::Mutation;
use crate::scratch::{Finding, Scratch, ScratchError};
use crate::seeds::SeedRange;
use crate::SearchError;

/// Seeds by which starts lie apart, so that they share none.
const START_DISTANCE: u64 = 1_000_000;

/// The first two lines of the table whose rows are [`MutationResult`]s.
pub const TABLE_HEADER: &str =
    "| mutation | found | seeds to the first finding, by start | rule | s |
| --- | --- | --- | --- | --- |";

/// What the searches from every start found.
struct Searched {
    /// The first finding of each start, if there is one.
    findings: Vec<Option<Finding>>,
    /// How long the searches took, without the build.
    took: Duration,
}

/// The result of the search for a mutation; displayed as a row of the table.
pub struct MutationResult {
    mutation: String,
    searched: Searched,
}

impl fmt::Display for MutationResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Searched { findings, took } = &self.searched;
        let found = findings.iter().flatten().count();
        let seeds = |finding: &Option<Finding>| match finding {
            Some(finding) => finding.seeds.to_string(),
            None => "–".to_owned(),
        };
        let seeds: Vec<String> = findings.iter().map(seeds).collect();
        let first = findings.iter().flatten().next();
        write!(
            f,
            "| {} | {found} of {} | {} | {} | {:.0} |",
            self.mutation,
            findings.len(),
            seeds.join(", "),
            first.map_or("–", |finding| &finding.rule),
            took.as_secs_f64(),
        )
    }
}

/// Searches for a mutation from every start. The scratch copy is as before when this returns.
///
/// # Errors
///
/// The mutation does not apply, or the mutated sources cannot be written, built or searched.
pub fn run(
    mutation: &Mutation,
    scratch: &Scratch,
    seeds: &SeedRange,
    starts: u64,
) -> Result<MutationResult, SearchError> {
    let mut originals = Vec::new();
    for edit in mutation.edits() {
        let original = scratch.read(&edit.file)?;
        let mutated = mutation.apply(&edit, &original)?;
        originals.push((edit.file, original, mutated));
    }
    for (file, _, mutated) in &originals {
        scratch.write(file, mutated)?;
    }
    let searched = search_built(scratch, seeds, starts);
    for (file, original, _) in &originals {
        scratch.write(file, original)?;
    }
    Ok(MutationResult {
        mutation: mutation.name.clone(),
        searched: searched?,
    })
}

/// Builds the scratch copy as it is and searches from every start.
fn search_built(
    scratch: &Scratch,
    seeds: &SeedRange,
    starts: u64,
) -> Result<Searched, ScratchError> {
    let program = scratch.build()?;
    let began_at = Instant::now();
    let findings = (0..starts)
        .map(|start| scratch.first_finding(&program, &seeds.later(start * START_DISTANCE)))
        .collect::<Result<_, _>>()?;
    Ok(Searched {
        findings,
        took: began_at.elapsed(),
    })
}
