//! worksshunt, a cluster scheduler: the command line.
//!
//! Parses the arguments and starts a controller ([`service`]), checks settings ([`options`]) or sends one request to
//! a controller ([`client`]).

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

mod client;
mod options;
mod service;

/// Exit code: the settings are wrong (also used by the argument parser).
const BAD_SETTINGS: u8 = 2;
/// Exit code: the service could not run.
const FAILED: u8 = 1;

#[derive(Parser)]
#[command(
    version,
    about = "A cluster scheduler",
    args_conflicts_with_subcommands = true
)]
struct Arguments {
    /// Run a controller with this settings file (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (TOML).
    #[arg(long, value_name = "FILE", env = "WORKSSHUNT_OPTIONS")]
    options: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check settings and exit.
    Check {
        /// The settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (TOML).
        #[arg(long, value_name = "FILE", env = "WORKSSHUNT_OPTIONS")]
        options: Option<PathBuf>,
    },
    /// Submit a job from a JSON file.
    Submit {
        /// Address of a controller, for example 10.0.0.1:8080.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// The job; - for standard input.
        file: PathBuf,
    },
    /// Show a job's state.
    Status {
        /// Address of a controller.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// The job's id.
        id: String,
    },
    /// Cancel a job.
    Withdraw {
        /// Address of a controller.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// The job's id.
        id: String,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    init_logging();
    match (arguments.command, arguments.config) {
        (None, Some(config)) => run(&config, arguments.options.as_deref()),
        (Some(Command::Check { config, options }), _) => check(&config, options.as_deref()),
        (Some(Command::Submit { server, file }), _) => client::submit(server, &file),
        (Some(Command::Status { server, id }), _) => client::status(server, &id),
        (Some(Command::Withdraw { server, id }), _) => client::cancel(server, &id),
        (None, None) => {
            eprintln!("worksshunt: nothing to do; see --help");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

/// Logs to standard error, at the level of the environment variable `LOG_LEVEL`: `error`, `info` or `debug`.
fn init_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = match level.as_str() {
        "error" => tracing::Level::ERROR,
        "debug" => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    let filter = Targets::new()
        .with_target("worksshunt", level)
        .with_target("worksshunt_core", level)
        .with_target("worksshunt_net", level);
    let to_standard_error = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(to_standard_error)
        .with(filter)
        .init();
}

/// Runs a controller until it is killed.
fn run(config: &Path, options: Option<&Path>) -> ExitCode {
    let (settings, parameters) = match options::load(config, options) {
        Ok(loaded) => loaded,
        Err(error) => return bad_settings(&error),
    };
    match service::run(settings, parameters) {
        Ok(never) => match never {},
        Err(error) => {
            tracing::error!(%error, "service failed");
            ExitCode::from(FAILED)
        }
    }
}

/// Checks settings and says what is wrong with them.
fn check(config: &Path, options: Option<&Path>) -> ExitCode {
    match options::load(config, options) {
        Ok((settings, _)) => {
            let (file, controller) = (config.display(), settings.host_name);
            println!("{file}: settings of {controller} are fine");
            ExitCode::SUCCESS
        }
        Err(error) => bad_settings(&error),
    }
}

fn bad_settings(error: &options::SettingsError) -> ExitCode {
    eprintln!("worksshunt: {error}");
    ExitCode::from(BAD_SETTINGS)
}
