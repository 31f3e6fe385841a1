use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_string());
    match path.and_then(|path| thistlecroft_relay::serve(&path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("thistlecroft-relay: {fault}");
            ExitCode::FAILURE
        }
    }
}
