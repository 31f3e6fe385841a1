//! The ban store: a file in `$TMPDIR` that the processes of one relay share. The file is replaced
//! as a whole, under a file lock: if a process dies during a write, the former list stays and the
//! system releases the lock.
use crate::bans::list::BanList;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The ban list as this process last read or wrote it.
pub(crate) struct BanStore {
    path: PathBuf,
    /// The file to which a new list is written before it replaces the former one.
    temporary_path: PathBuf,
    lock_path: PathBuf,
    relay: String,
    list: BanList,
    /// The text that was last read or written; `None` until the file has been found.
    text: Option<Vec<u8>>,
    /// Whether the file could not be read the last time, so that each failure is logged once.
    is_unreadable: bool,
}

/// Why a ban was not changed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BanStoreError {
    /// Another process is writing at present: an attempt soon afterwards may succeed.
    #[error("another process has locked the ban store")]
    Locked,
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl BanStore {
    /// Creates a store in this folder, without reading it yet.
    pub(crate) fn new(folder: &Path, relay: &str) -> BanStore {
        BanStore {
            path: folder.join("thistlecroft-bans"),
            temporary_path: folder.join("thistlecroft-bans.fresh"),
            lock_path: folder.join("thistlecroft-bans.lock"),
            relay: relay.to_string(),
            list: BanList::default(),
            text: None,
            is_unreadable: false,
        }
    }

    pub(crate) fn list(&self) -> &BanList {
        &self.list
    }

    /// Reads the list if another process has written it since this one last read or wrote it. The
    /// texts are compared, since two versions of the file may agree in all metadata. A file that
    /// can't be read at present changes nothing, and is read again the next time.
    pub(crate) fn refresh(&mut self) {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(error) => return self.record_unreadable(&error),
        };
        self.is_unreadable = false;
        if self.text.as_ref() == Some(&text) {
            return;
        }
        match BanList::parse(&String::from_utf8_lossy(&text), &self.relay) {
            Ok(list) => self.list = list,
            Err(error) => self.log_unusable(&error),
        }
        self.text = Some(text);
    }

    fn record_unreadable(&mut self, error: &io::Error) {
        // No process has banned a backend yet.
        let is_expected = error.kind() == io::ErrorKind::NotFound;
        if !is_expected && !self.is_unreadable {
            self.log_unusable(error);
        }
        self.is_unreadable = !is_expected;
    }

    fn log_unusable(&self, error: &dyn std::error::Error) {
        let path = self.path.display();
        log::warn!("cannot read the ban list {path}: {error}; the bans known so far stay in force");
    }

    /// Bans a backend or ends its ban, for every process of this relay. Returns whether that changed
    /// the list, which then also has what another process has changed before.
    ///
    /// # Errors
    /// Returns an error, and changes nothing, if the store is locked or can't be written.
    pub(crate) fn set(&mut self, backend: &str, is_banned: bool) -> Result<bool, BanStoreError> {
        let lock = self.lock()?;
        self.refresh();
        let mut list = self.list.clone();
        let has_changed = list.set(backend, is_banned);
        if has_changed {
            let text = list.encode(&self.relay).into_bytes();
            std::fs::write(&self.temporary_path, &text)?;
            std::fs::rename(&self.temporary_path, &self.path)?;
            (self.list, self.text) = (list, Some(text));
        }
        drop(lock);
        Ok(has_changed)
    }

    /// Locks the store until the returned file is dropped.
    fn lock(&self) -> Result<File, BanStoreError> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).open(&self.lock_path)?;
        match file.try_lock() {
            Ok(()) => Ok(file),
            Err(TryLockError::WouldBlock) => Err(BanStoreError::Locked),
            Err(TryLockError::Error(error)) => Err(error.into()),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
