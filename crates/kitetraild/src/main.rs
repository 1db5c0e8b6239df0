//! The entry point of the daemon.

use std::process::ExitCode;

use clap::Parser;
use kitetraild::{args::Args, daemon, logging, settings::Settings};

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{} is in order", args.settings.display());
        return ExitCode::SUCCESS;
    }
    logging::start(settings.log.level, settings.log.format);
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
