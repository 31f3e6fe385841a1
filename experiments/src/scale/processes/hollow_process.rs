//! A process of hollow relays, as the run controls it.
use super::super::error::ScaleError;
use super::super::protocol::{Answer, Command, Status};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Stdio};
use std::sync::mpsc::Sender;
use std::time::Duration;
use thistlecroft_testbed::relay_process::process_cost;

/// An answer and the number of the process that gave it.
pub(super) type NumberedAnswer = (usize, Answer);

/// A process and the members that it runs. Dropping it kills the process.
pub(super) struct HollowProcess {
    number: usize,
    child: Child,
    input: ChildStdin,
    pub(super) members: Vec<usize>,
    pub(super) status: Status,
    /// Memory of the process before it ran any member, in bytes.
    empty_bytes: u64,
    /// CPU time of the process when the current phase began.
    cpu_at_phase_start: Duration,
}

impl Drop for HollowProcess {
    fn drop(&mut self) {
        // The process may have ended already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The CPU time and the memory that a process used in a phase.
pub(super) struct ProcessCost {
    pub(super) cpu: Duration,
    /// Resident memory in bytes, without that of the process before it ran any member.
    pub(super) memory_bytes: u64,
}

impl HollowProcess {
    /// Starts the program. Its answers are forwarded to `answers`.
    pub(super) fn spawn(
        number: usize,
        program: &[String],
        members: Vec<usize>,
        answers: &Sender<NumberedAnswer>,
    ) -> Result<HollowProcess, ScaleError> {
        let (name, arguments) = program.split_first().ok_or(ScaleError::MissingProgram)?;
        let mut child = std::process::Command::new(name)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(ScaleError::Spawn)?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(ScaleError::MissingPipes);
        };
        forward_answers(number, output, answers.clone());
        Ok(HollowProcess {
            number,
            child,
            input,
            members,
            status: Status::default(),
            empty_bytes: 0,
            cpu_at_phase_start: Duration::ZERO,
        })
    }

    pub(super) fn send(&mut self, command: &Command) -> Result<(), ScaleError> {
        let line = serde_json::to_string(command)?;
        writeln!(self.input, "{line}").map_err(|source| ScaleError::SendCommand {
            process: self.number,
            source,
        })
    }

    /// Records the memory of the process before it runs any member, which is no cost of a member.
    pub(super) fn record_empty_memory(&mut self) {
        self.empty_bytes = process_cost(self.child.id()).map_or(0, |(_, memory)| memory);
    }

    pub(super) fn begin_phase(&mut self) {
        if let Some((cpu, _)) = process_cost(self.child.id()) {
            self.cpu_at_phase_start = Duration::from_micros(cpu.as_micros());
        }
    }

    /// Returns the cost since the phase began; `None` if the process has ended.
    pub(super) fn cost(&self) -> Option<ProcessCost> {
        let (cpu, memory) = process_cost(self.child.id())?;
        let cpu = Duration::from_micros(cpu.as_micros());
        Some(ProcessCost {
            cpu: cpu.saturating_sub(self.cpu_at_phase_start),
            memory_bytes: memory.saturating_sub(self.empty_bytes),
        })
    }

    /// Resets the status after all members of the process were killed, except the longest delay.
    pub(super) fn clear_status(&mut self) {
        self.status = Status {
            late_us: self.status.late_us,
            ..Status::default()
        };
    }
}

fn forward_answers(number: usize, output: ChildStdout, answers: Sender<NumberedAnswer>) {
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let Ok(answer) = serde_json::from_str(&line) else {
                break;
            };
            if answers.send((number, answer)).is_err() {
                break;
            }
        }
    });
}
