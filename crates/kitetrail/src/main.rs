//! The `kitetrail` command-line tool.

use std::process::ExitCode;

use clap::Parser;
use kitetrail::args::Args;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match kitetrail::run(Args::parse()).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
