//! Command line of worksshunt, a cluster scheduler.
//!
//! Runs a controller ([`service`]), checks settings ([`options`]) or sends a user's request to a controller
//! ([`client`]).

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

mod client;
mod options;
mod service;

/// Exit code: invalid settings or arguments (clap exits with the same code).
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code: the controller could not start.
const EXIT_SERVICE_FAILED: u8 = 1;

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
    /// Operator options file (TOML).
    #[arg(long, value_name = "FILE", env = "WORKSSHUNT_OPTIONS")]
    options: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and exit.
    Check {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Operator options file (TOML).
        #[arg(long, value_name = "FILE", env = "WORKSSHUNT_OPTIONS")]
        options: Option<PathBuf>,
    },
    /// Submit a job from a JSON file.
    Submit {
        /// Address of a controller, for example 10.0.0.1:8080.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// Job file (JSON); - for standard input.
        file: PathBuf,
    },
    /// Print the state of a job.
    Status {
        /// Address of a controller.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// Job id.
        id: String,
    },
    /// Cancel a job.
    Withdraw {
        /// Address of a controller.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// Job id.
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
            eprintln!("worksshunt: no --config and no command; see --help");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Logs to standard error, at the level in the environment variable `LOG_LEVEL`: `error`, `info` (default) or `debug`.
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
    let stderr_layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(stderr_layer)
        .with(filter)
        .init();
}

/// Runs a controller until the process is killed.
fn run(config: &Path, options: Option<&Path>) -> ExitCode {
    let (settings, parameters) = match options::load(config, options) {
        Ok(settings_and_parameters) => settings_and_parameters,
        Err(error) => return report_invalid_settings(&error),
    };
    match service::run(settings, parameters) {
        Ok(never) => match never {},
        Err(error) => {
            tracing::error!(%error, "controller cannot start; exiting");
            ExitCode::from(EXIT_SERVICE_FAILED)
        }
    }
}

/// Checks the settings files and prints the result.
fn check(config: &Path, options: Option<&Path>) -> ExitCode {
    match options::load(config, options) {
        Ok((settings, _)) => {
            let (file, controller) = (config.display(), settings.host_name);
            println!("{file}: settings of {controller} are valid");
            ExitCode::SUCCESS
        }
        Err(error) => report_invalid_settings(&error),
    }
}

fn report_invalid_settings(error: &options::SettingsError) -> ExitCode {
    eprintln!("worksshunt: {error}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}
