//! The program `worksshunt-measure`: measures on a simulated cluster how the work of a controller grows with the size
//! of the fleet, plots the results, and runs and upgrades real controllers on the loopback interface. This module
//! defines the command line, the errors and the exit codes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{fs, io};

use clap::{Parser, Subcommand};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};

mod loopback;
mod plot;
mod report;
mod series;
mod workload;

use loopback::measurement;
use loopback::measurement::arguments::TooFewSockets;
use loopback::upgrade;
use loopback::upgrade::arguments::{Programs, UsageError};
use series::Series;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

/// Exit code: a file, port or process could not be used, or a stage of an upgrade failed.
const EXIT_CODE_FAILURE: u8 = 1;
/// Exit code: the arguments are invalid. The same as the command-line parser's.
const EXIT_CODE_USAGE: u8 = 2;
/// Default for the sockets in a controller's settings, per machine.
const DEFAULT_SOCKETS_PER_MACHINE: usize = 3;
/// Default number of machines of an upgrade.
const DEFAULT_UPGRADE_MACHINES: usize = 60;

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a workload on simulated fleets of several sizes and writes the results.
    Run {
        /// Sizes of the fleet, in machines.
        #[arg(long, value_delimiter = ',', default_values_t = [250, 500, 1_000, 2_000, 4_000, 6_000])]
        machines: Vec<usize>,
        /// Number of runs for each size.
        #[arg(long, default_value_t = 3)]
        runs: usize,
        /// Name of the measured version in the report.
        #[arg(long)]
        label: String,
        /// Results file to write (JSON).
        #[arg(long)]
        out: PathBuf,
    },
    /// Runs and measures three real controllers on the loopback interface, with in-process fakes of the key-value
    /// store, the cloud, the workers and the users.
    Loopback {
        /// Number of machines, each with one worker.
        #[arg(long, default_value_t = 1_000)]
        machines: usize,
        /// Number of sockets in each controller's settings; three per machine by default.
        #[arg(long)]
        sockets: Option<usize>,
        /// Controller program.
        #[arg(long, default_value = "target/release/worksshunt")]
        binary: PathBuf,
        /// Folder for settings and logs.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Runs a rolling upgrade of three real controllers, with failovers, and its rollback.
    Upgrade {
        /// Controller program to upgrade to.
        #[arg(long, default_value = "target/release/worksshunt")]
        program: PathBuf,
        /// Controller program before the upgrade and after the rollback.
        #[arg(long)]
        second_program: PathBuf,
        /// Number of machines, each with one worker.
        #[arg(long, default_value_t = DEFAULT_UPGRADE_MACHINES)]
        machines: usize,
        /// Folder for settings and logs.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Writes a report (HTML) that compares results files.
    Report {
        /// Results files, the earlier version first.
        #[arg(required = true)]
        results: Vec<PathBuf>,
        /// Report to write (HTML).
        #[arg(long)]
        out: PathBuf,
    },
}

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
enum MeasureError {
    /// A file, folder, program or address could not be used.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A results file could not be parsed or encoded.
    #[error("{0}: {1}")]
    Results(PathBuf, serde_json::Error),
    /// A plot could not be drawn, or the report could not be composed.
    #[error("cannot draw the report: {0}")]
    Plot(Box<dyn std::error::Error>),
    /// The arguments of `upgrade` are invalid.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// The number of sockets of `loopback` is below the minimum.
    #[error(transparent)]
    TooFewSockets(#[from] TooFewSockets),
    /// The stage of an upgrade with this number, counted from 1, failed.
    #[error("stage {0} failed")]
    StageFailed(usize),
}

impl MeasureError {
    fn exit_code(&self) -> u8 {
        match self {
            MeasureError::Usage(_) | MeasureError::TooFewSockets(_) => EXIT_CODE_USAGE,
            _ => EXIT_CODE_FAILURE,
        }
    }
}

/// Runs the workload `runs` times on a fleet of each size.
fn measure(fleet_sizes: &[usize], runs: usize, label: String) -> Series {
    let mut series = Series {
        label,
        runs: Vec::new(),
    };
    for size in fleet_sizes {
        for run in 1..=runs {
            eprintln!("{size} machines, run {run} of {runs}");
            series.runs.push(workload::run(*size));
        }
    }
    series
}

fn read_results(path: &Path) -> Result<Series, MeasureError> {
    let text = fs::read_to_string(path).map_err(|e| MeasureError::File(path.to_owned(), e))?;
    serde_json::from_str(&text).map_err(|e| MeasureError::Results(path.to_owned(), e))
}

fn write_file(path: &Path, text: &str) -> Result<(), MeasureError> {
    fs::write(path, text).map_err(|e| MeasureError::File(path.to_owned(), e))
}

fn write_results(series: &Series, out: &Path) -> Result<(), MeasureError> {
    let text = serde_json::to_string_pretty(series)
        .map_err(|e| MeasureError::Results(out.to_owned(), e))?;
    write_file(out, &text)
}

fn write_report(results: &[PathBuf], out: &Path) -> Result<(), MeasureError> {
    let all_series = results.iter().map(|path| read_results(path));
    write_file(
        out,
        &report::render_html(&all_series.collect::<Result<Vec<_>, _>>()?)?,
    )
}

fn run(command: Command) -> Result<(), MeasureError> {
    match command {
        Command::Run {
            machines,
            runs,
            label,
            out,
        } => write_results(&measure(&machines, runs, label), &out),
        Command::Loopback {
            machines,
            sockets,
            binary,
            folder,
        } => {
            let sockets = sockets.unwrap_or(machines * DEFAULT_SOCKETS_PER_MACHINE);
            measurement::run(&binary, folder, machines, sockets)
        }
        Command::Upgrade {
            program,
            second_program,
            machines,
            folder,
        } => {
            let programs = Programs {
                new: program,
                old: second_program,
            };
            upgrade::run(&programs, folder, machines)
        }
        Command::Report { results, out } => write_report(&results, &out),
    }
}

/// The command-line parser's error message, without the usage that follows an empty line, as one line.
fn one_line_message(error: &clap::Error) -> String {
    let text = error.to_string();
    let lines = text.lines().map(str::trim);
    let message: Vec<&str> = lines.take_while(|line| !line.is_empty()).collect();
    message.join(" ")
}

/// Prints help or version and exits with 0 if requested; otherwise prints the error and returns the exit code.
fn handle_parse_error(error: &clap::Error) -> ExitCode {
    if !error.use_stderr() {
        error.exit();
    }
    eprintln!("{}", one_line_message(error));
    ExitCode::from(EXIT_CODE_USAGE)
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => return handle_parse_error(&error),
    };
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

#[cfg(test)]
mod tests;
