//! Tests the search for broken rules: how many seeds of random days it takes to find each of a list of faults. Also
//! takes digests of random days, by which two versions of the program are compared.
//!
//! Each fault is a mutation, a few lines of the sources replaced, which is applied to a scratch copy. The days are those of
//! `worksshunt_simulation::random_day`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

mod digest;
mod mutation;
mod scratch;
mod seeds;

use mutation::{Mutation, MutationError};
use scratch::{Scratch, ScratchError};
use seeds::SeedRange;

/// Exit code: the search could not be run.
const FAILED: u8 = 1;
/// Exit code: arguments or the list of mutations are wrong.
const WRONG_ARGUMENTS: u8 = 2;

/// Seeds by which starts lie apart, so that they share none.
const START_DISTANCE: u64 = 1_000_000;

#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    search: Option<SearchArguments>,
}

#[derive(Subcommand)]
enum Command {
    /// Prints a digest of all messages and of the verdict for each random day of a range of seeds.
    Digest {
        /// Seeds, FROM..TO without the last one.
        seeds: SeedRange,
    },
}

#[derive(Args)]
struct SearchArguments {
    /// Names of mutations; all of the list if none is given.
    names: Vec<String>,
    /// The list of mutations.
    #[arg(long, default_value = "crates/worksshunt-search/mutations.toml")]
    list: PathBuf,
    /// The sources.
    #[arg(long, default_value = ".")]
    sources: PathBuf,
    /// Folder for the copy of the sources and what is built of it.
    #[arg(long)]
    scratch: PathBuf,
    /// Seeds of the first start, FROM..TO without the last one.
    #[arg(long, default_value = "1..401")]
    seeds: SeedRange,
    /// Starts, each with other seeds.
    #[arg(long, default_value_t = 3)]
    starts: u64,
}

/// Why there is no result.
#[derive(Debug, thiserror::Error)]
enum SearchError {
    #[error(transparent)]
    Mutation(#[from] MutationError),
    #[error(transparent)]
    Scratch(#[from] ScratchError),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            // One line: what follows it is usage.
            let text = error.to_string();
            eprintln!("{}", text.lines().next().unwrap_or_default());
            return ExitCode::from(WRONG_ARGUMENTS);
        }
        Err(help) => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    let result = match (&arguments.command, &arguments.search) {
        (Some(Command::Digest { seeds }), _) => {
            print_digests(seeds);
            Ok(())
        }
        (None, Some(search)) => run(search),
        (None, None) => {
            eprintln!("error: neither a command nor --scratch is given");
            return ExitCode::from(WRONG_ARGUMENTS);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(match error {
                SearchError::Mutation(_) => WRONG_ARGUMENTS,
                SearchError::Scratch(_) => FAILED,
            })
        }
    }
}

fn print_digests(seeds: &SeedRange) {
    for (seed, digest) in digest::of_days(seeds) {
        println!("{seed} {digest}");
    }
}

fn run(arguments: &SearchArguments) -> Result<(), SearchError> {
    let list = mutation::read_list(&arguments.list)?;
    let chosen = mutation::choose(&list, &arguments.names)?;
    let scratch = Scratch::new(&arguments.sources, &arguments.scratch)?;
    println!("| mutation | found | seeds to the first finding, by start | rule | s |");
    println!("| --- | --- | --- | --- | --- |");
    for mutation in chosen {
        let row = search(mutation, &scratch, arguments)?;
        println!("{row}");
    }
    Ok(())
}

/// Searches for a mutation from every start, and gives its row of the table.
fn search(
    mutation: &Mutation,
    scratch: &Scratch,
    arguments: &SearchArguments,
) -> Result<String, SearchError> {
    let original = scratch.read(&mutation.file)?;
    let mutated = mutation.apply(&original)?;
    scratch.write(&mutation.file, &mutated)?;
    let searched = search_built(scratch, arguments);
    scratch.write(&mutation.file, &original)?;
    let (findings, seconds) = searched?;
    let found = findings.iter().flatten().count();
    let counts: Vec<String> = findings
        .iter()
        .map(|finding| match finding {
            Some(finding) => finding.seeds.to_string(),
            None => "–".to_owned(),
        })
        .collect();
    let rule = findings.iter().flatten().next();
    Ok(format!(
        "| {} | {found} of {} | {} | {} | {seconds:.0} |",
        mutation.name,
        findings.len(),
        counts.join(", "),
        rule.map_or("–", |finding| &finding.rule),
    ))
}

/// Builds the scratch copy as it is and searches from every start. Also gives the seconds that the searches took.
fn search_built(
    scratch: &Scratch,
    arguments: &SearchArguments,
) -> Result<(Vec<Option<scratch::Finding>>, f64), ScratchError> {
    let test = scratch.build()?;
    let began = std::time::Instant::now();
    let findings = (0..arguments.starts)
        .map(|start| {
            let seeds = arguments.seeds.later(start * START_DISTANCE);
            scratch.first_finding(&test, &seeds)
        })
        .collect::<Result<_, _>>()?;
    Ok((findings, began.elapsed().as_secs_f64()))
}
