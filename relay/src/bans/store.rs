//! The ban store: a file in `$TMPDIR` that the processes of one relay share. It is replaced as a
//! whole under a lock, so that a process that dies in the middle of a write leaves the list as it
//! was, and its lock free.
use crate::bans::list::{BanList, BanListError};
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The ban list as this process read or wrote it last.
pub(crate) struct BanStore {
    path: PathBuf,
    /// Where the next list is written before it takes the place of the last one.
    new_path: PathBuf,
    lock_path: PathBuf,
    relay: String,
    list: BanList,
    /// None until the file has been found.
    version: Option<FileVersion>,
}

/// Tells one written file from the next.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanos: i64,
    size: u64,
}

impl From<&Metadata> for FileVersion {
    fn from(metadata: &Metadata) -> FileVersion {
        FileVersion {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanos: metadata.mtime_nsec(),
            size: metadata.size(),
        }
    }
}

/// Why a ban was not changed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BanStoreError {
    /// The other process writes at present: worth another attempt soon.
    #[error("another process holds the list of bans")]
    Locked,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why a list could not be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    List(#[from] BanListError),
}

impl BanStore {
    /// A store in this folder; nothing is read yet.
    pub(crate) fn new(folder: &Path, relay: &str) -> BanStore {
        BanStore {
            path: folder.join("thistlecroft-bans"),
            new_path: folder.join("thistlecroft-bans.fresh"),
            lock_path: folder.join("thistlecroft-bans.lock"),
            relay: relay.to_string(),
            list: BanList::default(),
            version: None,
        }
    }

    pub(crate) fn list(&self) -> &BanList {
        &self.list
    }

    /// Reads what another process has written since; true if that changed the set of bans. A file
    /// that can't be read changes nothing.
    pub(crate) fn refresh(&mut self) -> bool {
        let Ok(metadata) = std::fs::metadata(&self.path) else {
            return false;
        };
        let version = Some(FileVersion::from(&metadata));
        if version == self.version {
            return false;
        }
        self.version = version;
        match self.read() {
            Ok(list) => {
                let has_changed = list.banned != self.list.banned;
                self.list = list;
                has_changed
            }
            Err(error) => {
                let path = self.path.display();
                log::warn!("{path}: {error}; the bans known so far stay");
                false
            }
        }
    }

    fn read(&self) -> Result<BanList, ReadError> {
        let text = std::fs::read_to_string(&self.path)?;
        Ok(BanList::parse(&text, &self.relay)?)
    }

    /// Bans a backend or ends its ban, for every process of this relay.
    ///
    /// # Errors
    /// The store is locked or can't be written. Nothing has changed.
    pub(crate) fn set(&mut self, backend: &str, is_banned: bool) -> Result<(), BanStoreError> {
        let lock = self.lock()?;
        self.refresh();
        let mut list = self.list.clone();
        if list.set(backend, is_banned) {
            std::fs::write(&self.new_path, list.encode(&self.relay))?;
            std::fs::rename(&self.new_path, &self.path)?;
            self.list = list;
            self.version = Some(FileVersion::from(&std::fs::metadata(&self.path)?));
        }
        drop(lock);
        Ok(())
    }

    /// Held until the file is dropped.
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
mod tests;
