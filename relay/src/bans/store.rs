//! The ban store: a file in `$TMPDIR` that the processes of one relay share. The file is replaced
//! as a whole, under a file lock: if a process dies during a write, the former list stays and the
//! system releases the lock.
use crate::bans::list::{BanList, BanListError};
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The ban list as this process last read or wrote it.
pub(crate) struct BanStore {
    path: PathBuf,
    /// The file to which a new list is written before it replaces the former one.
    temporary_path: PathBuf,
    lock_path: PathBuf,
    relay: String,
    list: BanList,
    /// The version that was last read or written; `None` until the file has been found.
    version: Option<FileVersion>,
}

/// The metadata that tells one version of the file from another.
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
    /// Another process is writing at present: an attempt soon afterwards may succeed.
    #[error("another process has locked the ban store")]
    Locked,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why the ban list could not be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    List(#[from] BanListError),
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
            version: None,
        }
    }

    pub(crate) fn list(&self) -> &BanList {
        &self.list
    }

    /// Reads the file if another process has written it since this one last read or wrote it. A
    /// file that can't be read changes nothing.
    pub(crate) fn refresh(&mut self) {
        let Ok(metadata) = std::fs::metadata(&self.path) else {
            return;
        };
        let version = Some(FileVersion::from(&metadata));
        if version == self.version {
            return;
        }
        self.version = version;
        match self.read() {
            Ok(list) => self.list = list,
            Err(error) => {
                let path = self.path.display();
                log::warn!(
                    "cannot read the ban list {path}: {error}; the bans known so far stay in force"
                );
            }
        }
    }

    fn read(&self) -> Result<BanList, ReadError> {
        let text = std::fs::read_to_string(&self.path)?;
        Ok(BanList::parse(&text, &self.relay)?)
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
            std::fs::write(&self.temporary_path, list.encode(&self.relay))?;
            std::fs::rename(&self.temporary_path, &self.path)?;
            self.list = list;
            self.version = Some(FileVersion::from(&std::fs::metadata(&self.path)?));
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
