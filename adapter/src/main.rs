//! Connects the balancer to a simulator: batches of events on standard input, one reply with
//! actions for each on standard output.
//!
//! [`wire`] decodes batches and encodes replies, [`host`] keeps the instances of the process, and
//! [`instance`] applies events to the balancer of one instance, whose decisions [`driver`] turns
//! into actions.
mod driver;
mod error;
mod host;
mod ids;
mod instance;
mod wire;

#[cfg(test)]
mod tests;

use error::AdapterError;
use host::Host;
use std::io::{BufWriter, Read, Write};
use std::process::ExitCode;

const USAGE: &str = "usage: thistlecroft-adapter [--help | --version]

Reads event batches on standard input and writes a reply for each on standard output, until input ends.
Faults in the input are told on standard error, with exit code 1.";

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        None => run(),
        Some("--help") => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Some("--version") => {
            println!("thistlecroft-adapter {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some(other) => {
            eprintln!("unknown argument: {other}\n{USAGE}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run() -> ExitCode {
    // The host reports a panic of the balancer in the reply. The default hook would also print it.
    std::panic::set_hook(Box::new(|_| {}));
    let output = BufWriter::new(std::io::stdout().lock());
    match serve(std::io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlecroft-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let reply = host.answer(&batch).map_err(|source| AdapterError::Record {
            batch: batch.number,
            source,
        })?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}
