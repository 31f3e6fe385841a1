//! The record of a run: a line for each thing that was sent, answered or run.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let path = Path::new(folder).join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(2);
        });
        Record {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    pub fn note(&self, text: String) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
        println!("{seconds:8.3} {text}");
    }

    /// Notes what is of use for looking into a run, in the file only.
    pub fn detail(&self, text: String) {
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }
}
