use std::process::ExitCode;
use thistlecroft_relay::{Service, read_file};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_string());
    let done = path.and_then(|path| read_file(&path)).and_then(|posting| {
        Service::start(posting).and_then(Service::run).map_err(|fault| fault.to_string())
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("thistlecroft-relay: {fault}");
            ExitCode::FAILURE
        }
    }
}
