//! Mutation testing of the search for invariant violations: counts the simulated random runs, one per seed, that it
//! takes to detect each of a list of mutations. Also prints digests of random runs, to compare the behavior of builds.
//!
//! A mutation is a small change of the sources that introduces a fault; it is applied to a scratch copy. The runs are
//! simulated by `worksshunt_simulation::random_run`. This file defines the command line and the exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

mod digest;
mod mutation;
mod scratch;
mod search;
mod seeds;

use mutation::MutationError;
use scratch::{ScratchCopy, ScratchError};
use seeds::SeedRange;

/// Exit code: the scratch copy could not be made, built or searched.
const EXIT_CODE_FAILURE: u8 = 1;
/// Exit code: the arguments or the list of mutations are invalid.
const EXIT_CODE_USAGE: u8 = 2;

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
    /// Prints a digest of each random run of a range of seeds to standard output.
    ///
    /// One line for each seed, in their order: the seed, a SHA-256 hash in hexadecimal digits, and the number of
    /// messages.
    ///
    /// The hash covers every message that a controller exchanges with workers, users, the key-value store, the cloud
    /// and other controllers, in order: its time (ms since the start of the run), the controller, the direction, the
    /// kind of the message, and its encoded bytes. The last input of the hash is the verdict on the run: all
    /// invariants held, or the names of those violated. Names of Rust types and log lines are not covered.
    ///
    /// Builds with the same behavior print the same lines for the same seeds.
    #[command(verbatim_doc_comment)]
    Digest {
        /// Range of seeds, FROM..TO; TO is excluded.
        seeds: SeedRange,
    },
}

#[derive(Args)]
struct SearchArguments {
    /// Names of the mutations to search for; all mutations of the list by default.
    names: Vec<String>,
    /// List of mutations (TOML).
    #[arg(long, default_value = "crates/worksshunt-search/mutations.toml")]
    list: PathBuf,
    /// Root of the sources.
    #[arg(long, default_value = ".")]
    sources: PathBuf,
    /// Folder for the scratch copy of the sources and its build.
    #[arg(long)]
    scratch: PathBuf,
    /// Range of seeds of the first start, FROM..TO; TO is excluded.
    #[arg(long, default_value = "1..401")]
    seeds: SeedRange,
    /// Number of searches for each mutation, each with other seeds.
    #[arg(long, default_value_t = 3)]
    starts: u64,
}

/// A search that could not be completed.
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
            // The first line is the error, the rest the usage.
            let text = error.to_string();
            eprintln!("{}", text.lines().next().unwrap_or_default());
            return ExitCode::from(EXIT_CODE_USAGE);
        }
        Err(help) => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match (&arguments.command, &arguments.search) {
        (Some(Command::Digest { seeds }), _) => print_digests(seeds),
        (None, Some(search)) => {
            if let Err(error) = print_table(search) {
                eprintln!("error: {error}");
                return ExitCode::from(exit_code(&error));
            }
        }
        (None, None) => {
            eprintln!("error: a command or --scratch is required");
            return ExitCode::from(EXIT_CODE_USAGE);
        }
    }
    ExitCode::SUCCESS
}

fn exit_code(error: &SearchError) -> u8 {
    match error {
        SearchError::Mutation(_) => EXIT_CODE_USAGE,
        SearchError::Scratch(_) => EXIT_CODE_FAILURE,
    }
}

fn print_digests(seeds: &SeedRange) {
    for (seed, digest) in digest::compute_run_digests(seeds) {
        println!("{seed} {digest}");
    }
}

/// Searches for the selected mutations and prints a table with a row for each.
fn print_table(arguments: &SearchArguments) -> Result<(), SearchError> {
    let list = mutation::read_list(&arguments.list)?;
    let selected = mutation::select(&list, &arguments.names)?;
    let scratch_copy = ScratchCopy::new(&arguments.sources, &arguments.scratch)?;
    println!("{}", search::TABLE_HEADER);
    for mutation in selected {
        let result = search::run(mutation, &scratch_copy, &arguments.seeds, arguments.starts)?;
        println!("{result}");
    }
    Ok(())
}
