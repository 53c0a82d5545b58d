//! The program `worksshunt-measure`: measures how the work of a controller grows with the fleet, on the simulated
//! cluster, and plots it; runs real controllers, and upgrades of them, on the loopback interface. This module owns the
//! command line, the errors and the exit codes.

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

/// Exit code: a file could not be read or written, or a stage of an upgrade failed.
const FAILED: u8 = 1;
/// Exit code: the arguments are wrong, the same as the command-line parser's.
const WRONG_ARGUMENTS: u8 = 2;
/// Sockets for each worker in a controller's settings by default.
const DEFAULT_SOCKETS_PER_MACHINE: usize = 3;
/// Workers of an upgrade by default.
const DEFAULT_UPGRADE_MACHINES: usize = 60;

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a workload on simulated fleets of several sizes and writes the measurements.
    Run {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_values_t = [250, 500, 1_000, 2_000, 4_000, 6_000])]
        machines: Vec<usize>,
        /// Runs of each size.
        #[arg(long, default_value_t = 3)]
        runs: usize,
        /// Name of this version in the report.
        #[arg(long)]
        label: String,
        /// The file of results (JSON).
        #[arg(long)]
        out: PathBuf,
    },
    /// Runs three real controllers on the loopback interface, with stand-ins of everything around them.
    Loopback {
        /// Workers.
        #[arg(long, default_value_t = 1_000)]
        machines: usize,
        /// Sockets in each controller's settings; three for each worker if it is not given.
        #[arg(long)]
        sockets: Option<usize>,
        /// The program.
        #[arg(long, default_value = "target/release/worksshunt")]
        binary: PathBuf,
        /// Folder for settings and logs.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Runs an upgrade of three real controllers, one after the other, with failovers, and the rollback.
    Upgrade {
        /// The program that is upgraded to.
        #[arg(long, default_value = "target/release/worksshunt")]
        program: PathBuf,
        /// The program that runs before, and again after the rollback.
        #[arg(long)]
        second_program: PathBuf,
        /// Workers.
        #[arg(long, default_value_t = DEFAULT_UPGRADE_MACHINES)]
        machines: usize,
        /// Folder for settings and logs.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Writes a report (HTML) of files of results.
    Report {
        /// Files of results, the earlier version first.
        #[arg(required = true)]
        results: Vec<PathBuf>,
        /// The report.
        #[arg(long)]
        out: PathBuf,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum MeasureError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A file is not a file of results.
    #[error("{0}: {1}")]
    Results(PathBuf, serde_json::Error),
    /// A plot could not be drawn, or the report not be put together.
    #[error("cannot plot: {0}")]
    Plot(Box<dyn std::error::Error>),
    /// The arguments are wrong.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// The sockets of a measurement's controllers are too few.
    #[error(transparent)]
    Sockets(#[from] TooFewSockets),
    /// A stage of an upgrade failed.
    #[error("stage {0} failed")]
    Stage(usize),
}

impl MeasureError {
    fn exit_code(&self) -> u8 {
        match self {
            MeasureError::Usage(_) | MeasureError::Sockets(_) => WRONG_ARGUMENTS,
            _ => FAILED,
        }
    }
}

fn measure(machines: &[usize], runs: usize, label: String) -> Series {
    let mut series = Series {
        label,
        runs: Vec::new(),
    };
    for size in machines {
        for run in 1..=runs {
            eprintln!("{size} machines, run {run} of {runs}");
            series.runs.push(workload::run(*size));
        }
    }
    series
}

fn read(path: &Path) -> Result<Series, MeasureError> {
    let text = fs::read_to_string(path).map_err(|e| MeasureError::File(path.to_owned(), e))?;
    serde_json::from_str(&text).map_err(|e| MeasureError::Results(path.to_owned(), e))
}

fn write(path: &Path, text: &str) -> Result<(), MeasureError> {
    fs::write(path, text).map_err(|e| MeasureError::File(path.to_owned(), e))
}

fn write_measurements(series: &Series, out: &Path) -> Result<(), MeasureError> {
    let text = serde_json::to_string_pretty(series)
        .map_err(|e| MeasureError::Results(out.to_owned(), e))?;
    write(out, &text)
}

fn write_report(results: &[PathBuf], out: &Path) -> Result<(), MeasureError> {
    let all = results.iter().map(|path| read(path));
    write(out, &report::html(&all.collect::<Result<Vec<_>, _>>()?)?)
}

fn run(command: Command) -> Result<(), MeasureError> {
    match command {
        Command::Run {
            machines,
            runs,
            label,
            out,
        } => write_measurements(&measure(&machines, runs, label), &out),
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

/// The command-line parser's message on one line: all before the first empty line.
fn one_line(error: &clap::Error) -> String {
    let text = error.to_string();
    let lines = text.lines().map(str::trim);
    let message: Vec<&str> = lines.take_while(|line| !line.is_empty()).collect();
    message.join(" ")
}

/// Prints help or version and exits with 0 if the arguments ask for them; else prints what is wrong.
fn exit_unparsed(error: &clap::Error) -> ExitCode {
    if !error.use_stderr() {
        error.exit();
    }
    eprintln!("{}", one_line(error));
    ExitCode::from(WRONG_ARGUMENTS)
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => return exit_unparsed(&error),
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
