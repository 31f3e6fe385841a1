//! Interrupts from the terminal or a supervisor.
use signal_hook::consts::{SIGINT, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// The exit code of a process that a signal ended.
const INTERRUPTED: i32 = 130;

/// A flag that the first interrupt sets. A second one ends the process at once, and its children
/// with it.
pub(crate) fn interrupt_flag() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // Without a handler the process ends at once, which loses results but leaves no process.
        let _ = signal_hook::flag::register_conditional_shutdown(signal, INTERRUPTED, flag.clone());
        let _ = signal_hook::flag::register(signal, flag.clone());
    }
    flag
}
