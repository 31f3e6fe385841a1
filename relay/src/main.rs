use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let charter = thistlecroft_relay::operator_config_from_environment();
    let path =
        std::env::var("ROUTER_CONFIG").map_err(|_| vec!["ROUTER_CONFIG names no file".to_string()]);
    match path.and_then(|path| thistlecroft_relay::serve(&path, charter.as_deref())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            faults
                .iter()
                .for_each(|fault| eprintln!("thistlecroft-relay: {fault}"));
            ExitCode::FAILURE
        }
    }
}
