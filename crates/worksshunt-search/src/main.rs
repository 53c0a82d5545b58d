//! Measures the search for violated invariants: how many seeds of random days it takes to find each of a list of
//! mutations. Also prints digests of random days, by which two versions of the program are compared.
//!
//! A mutation replaces a few lines of the sources in a scratch copy. The days are those of
//! `worksshunt_simulation::random_run`. This file has the arguments and the exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

mod digest;
mod mutation;
mod scratch;
mod search;
mod seeds;

use mutation::MutationError;
use scratch::{Scratch, ScratchError};
use seeds::SeedRange;

/// Exit code: the search could not be run.
const FAILED: u8 = 1;
/// Exit code: arguments or the list of mutations are wrong.
const WRONG_ARGUMENTS: u8 = 2;

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
    /// Prints a digest of each random day of a range of seeds to standard output.
    ///
    /// One line for each seed, in their order: the seed, a SHA-256 hash in hexadecimal digits, and the number of
    /// messages.
    ///
    /// The hash covers every message that a controller sends or receives, in the order in which they pass: its time
    /// (ms since the start of the day), the controller, the direction, the kind of the message, and its bytes as the
    /// protocol or the link between controllers encodes them. Messages are those from and to workers, users, the
    /// key-value store, the cloud and other controllers. The hash ends with the verdict on the day: whether all
    /// invariants held, otherwise the names of those violated. Names of Rust types and log lines are not covered.
    ///
    /// Two builds that behave alike print the same lines for the same seeds.
    #[command(verbatim_doc_comment)]
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
    match (&arguments.command, &arguments.search) {
        (Some(Command::Digest { seeds }), _) => print_digests(seeds),
        (None, Some(search)) => {
            if let Err(error) = print_table(search) {
                eprintln!("error: {error}");
                return ExitCode::from(exit_code(&error));
            }
        }
        (None, None) => {
            eprintln!("error: neither a command nor --scratch is given");
            return ExitCode::from(WRONG_ARGUMENTS);
        }
    }
    ExitCode::SUCCESS
}

fn exit_code(error: &SearchError) -> u8 {
    match error {
        SearchError::Mutation(_) => WRONG_ARGUMENTS,
        SearchError::Scratch(_) => FAILED,
    }
}

fn print_digests(seeds: &SeedRange) {
    for (seed, digest) in digest::of_days(seeds) {
        println!("{seed} {digest}");
    }
}

/// Searches for the chosen mutations and prints a row for each.
fn print_table(arguments: &SearchArguments) -> Result<(), SearchError> {
    let list = mutation::read_list(&arguments.list)?;
    let chosen = mutation::choose(&list, &arguments.names)?;
    let scratch = Scratch::new(&arguments.sources, &arguments.scratch)?;
    println!("{}", search::TABLE_HEADER);
    for mutation in chosen {
        let result = search::run(mutation, &scratch, &arguments.seeds, arguments.starts)?;
        println!("{result}");
    }
    Ok(())
}
