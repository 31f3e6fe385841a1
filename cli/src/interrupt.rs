//! Interrupts by SIGINT (the terminal) or SIGTERM (a supervisor).
use signal_hook::consts::{SIGINT, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// The exit code of the command after an interrupt.
const EXIT_CODE: i32 = 130;

/// Returns a flag that the first interrupt sets. A second interrupt ends the process at once, and
/// its children with it.
pub(crate) fn interrupt_flag() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // If no handler can be registered, an interrupt ends the process at once: its results are
        // lost, but no child process is left running.
        let _ = signal_hook::flag::register_conditional_shutdown(signal, EXIT_CODE, flag.clone());
        let _ = signal_hook::flag::register(signal, flag.clone());
    }
    flag
}
