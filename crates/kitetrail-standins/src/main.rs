//! Runs a stand-in for a platform service.

use std::process::ExitCode;

use clap::Parser;
use kitetrail_standins::{
    args::{Args, Role},
    box_list, caller, judge, plot, table, worker,
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let result = match Args::parse().role {
        Role::Table(args) => table::run(args).await,
        Role::BoxList(args) => box_list::run(args).await,
        Role::Worker(args) => worker::run(args).await,
        Role::Caller(args) => caller::run(args).await,
        Role::Judge(args) => judge::run(&args),
        Role::Plot(args) => plot::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
