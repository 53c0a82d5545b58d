//! Measures how the work of a controller grows with the fleet, on the simulated cluster, and plots it.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};

mod loopback;
mod plot;
mod report;
mod series;
mod workload;

use loopback::upgrade::{self, Programs, UsageError};
use series::Series;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

/// Exit code: a file could not be read or written, or a stage of an upgrade failed.
const FAILED: u8 = 1;
/// Exit code: the arguments are wrong, as the command line's parser has it too.
const WRONG_ARGUMENTS: u8 = 2;
/// Workers of an upgrade if it is not said.
const DEFAULT_UPGRADE_MACHINES: usize = 60;

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays days of fleets of several sizes and writes what was measured.
    Run {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_values_t = [250, 500, 1_000, 2_000, 4_000, 6_000])]
        machines: Vec<usize>,
        /// Days of each size.
        #[arg(long, default_value_t = 3)]
        runs: usize,
        /// What these sources are called in the report.
        #[arg(long)]
        label: String,
        /// The file of results (JSON).
        #[arg(long)]
        out: PathBuf,
    },
    /// Plays three real controllers on the loopback interface, with stand-ins of everything around them.
    Loopback {
        /// Workers.
        #[arg(long, default_value_t = 1_000)]
        machines: usize,
        /// Sockets that each controller is told it may have; three for each worker if it is not given.
        #[arg(long)]
        sockets: Option<usize>,
        /// The program.
        #[arg(long, default_value = "target/release/worksshunt")]
        binary: PathBuf,
        /// Where settings and logs go.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Plays an upgrade of three real controllers, one after the other, with failovers, and the rollback.
    Upgrade {
        /// The program that is put in.
        #[arg(long, default_value = "target/release/worksshunt")]
        program: PathBuf,
        /// The program that runs before, and again after the rollback.
        #[arg(long)]
        second_program: PathBuf,
        /// Workers.
        #[arg(long, default_value_t = DEFAULT_UPGRADE_MACHINES)]
        machines: usize,
        /// Where settings and logs go.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Makes a report (HTML) of files of results.
    Report {
        /// Files of results, the version before first.
        #[arg(required = true)]
        results: Vec<PathBuf>,
        /// The report.
        #[arg(long)]
        out: PathBuf,
    },
}

/// Why there is no result.
#[derive(Debug, thiserror::Error)]
enum MeasureError {
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file of results is not one.
    #[error("{0}: {1}")]
    Results(PathBuf, serde_json::Error),
    /// A plot could not be drawn.
    #[error("cannot plot: {0}")]
    Plot(String),
    /// The arguments are wrong.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// A stage of an upgrade failed.
    #[error("stage {0} failed")]
    Stage(usize),
}

impl MeasureError {
    fn exit_code(&self) -> u8 {
        match self {
            MeasureError::Usage(_) => WRONG_ARGUMENTS,
            _ => FAILED,
        }
    }
}

fn measure(machines: &[usize], runs: usize, label: String) -> Series {
    let mut series = Series {
        label,
        days: Vec::new(),
    };
    for size in machines {
        for run in 1..=runs {
            eprintln!("{size} machines, run {run} of {runs}");
            series.days.push(workload::play(*size));
        }
    }
    series
}

fn read(path: &PathBuf) -> Result<Series, MeasureError> {
    let text = fs::read_to_string(path).map_err(|e| MeasureError::File(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| MeasureError::Results(path.clone(), e))
}

fn write(path: &PathBuf, text: &str) -> Result<(), MeasureError> {
    fs::write(path, text).map_err(|e| MeasureError::File(path.clone(), e))
}

fn run(command: Command) -> Result<(), MeasureError> {
    match command {
        Command::Run {
            machines,
            runs,
            label,
            out,
        } => {
            let series = measure(&machines, runs, label);
            let text = serde_json::to_string_pretty(&series)
                .map_err(|e| MeasureError::Results(out.clone(), e))?;
            write(&out, &text)
        }
        Command::Loopback {
            machines,
            sockets,
            binary,
            folder,
        } => loopback::run(&binary, folder, machines, sockets.unwrap_or(machines * 3)),
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
        Command::Report { results, out } => {
            let all = results.iter().map(read).collect::<Result<Vec<_>, _>>()?;
            write(&out, &report::html(&all)?)
        }
    }
}

/// What the command line's parser has to say of wrong arguments, on one line: all before the first empty line.
fn one_line(error: &clap::Error) -> String {
    let text = error.to_string();
    let said = text.lines().map(str::trim);
    let said: Vec<&str> = said.take_while(|line| !line.is_empty()).collect();
    said.join(" ")
}

fn refuse(error: &clap::Error) -> ExitCode {
    if !error.use_stderr() {
        error.exit();
    }
    eprintln!("{}", one_line(error));
    ExitCode::from(WRONG_ARGUMENTS)
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => return refuse(&error),
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
