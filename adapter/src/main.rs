//! Runs the decisions on a simulator's wire: batches on standard input, one reply for each on
//! standard output.
#[path = "wire/batch.rs"]
mod frame;
mod instance;

use std::io::{BufWriter, Read, Write};
use std::process::ExitCode;

const USAGE: &str = "usage: thistlecroft-adapter [--help | --version]

Reads event batches on standard input and writes a reply for each on standard output, until input ends.
Faults in the input are told on standard error, with exit code 1.";

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        None => {}
        Some("--help") => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Some("--version") => {
            println!("thistlecroft-adapter {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Some(other) => {
            eprintln!("unknown argument: {other}\n{USAGE}");
            return ExitCode::from(2);
        }
    }
    // A fault in the decisions goes to the wire as text; the default hook would only repeat it
    // here.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(
        std::io::stdin().lock(),
        BufWriter::new(std::io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("thistlecroft-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = instance::Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let reply = host
            .answer(&batch)
            .map_err(|fault| format!("batch {}: {fault}", batch.number))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|fault| format!("output: {fault}"))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
