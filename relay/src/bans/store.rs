//! Where the list of bans is kept between processes of one relay: a file in `$TMPDIR`, replaced as
//! a whole under a lock. A process that dies in the middle of a write leaves the list as it was,
//! and its lock is free.
use crate::bans::list::BanList;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

pub struct BanStore {
    list: PathBuf,
    fresh: PathBuf,
    lock: PathBuf,
    relay: String,
    bans: BanList,
    /// What tells one written list from the next.
    seen: Option<(u64, i64, i64, u64)>,
}

#[derive(Debug)]
pub enum BanStoreError {
    /// The other process is at it: to be tried again soon.
    Locked,
    Other(io::Error),
}

impl From<io::Error> for BanStoreError {
    fn from(fault: io::Error) -> BanStoreError {
        BanStoreError::Other(fault)
    }
}

impl BanStore {
    /// In this folder; nothing is read yet.
    pub fn new(folder: &std::path::Path, relay: &str) -> BanStore {
        let in_folder = |name: &str| folder.join(name);
        BanStore {
            list: in_folder("thistlecroft-bans"),
            // Only the one that holds the lock writes here.
            fresh: in_folder("thistlecroft-bans.fresh"),
            lock: in_folder("thistlecroft-bans.lock"),
            relay: relay.to_string(),
            bans: BanList::default(),
            seen: None,
        }
    }

    pub fn bans(&self) -> &BanList {
        &self.bans
    }

    /// Reads what another process has written since; true where that changed anything.
    pub fn refresh(&mut self) -> bool {
        let Ok(about) = std::fs::metadata(&self.list) else {
            return false;
        };
        let seen = Some((about.ino(), about.mtime(), about.mtime_nsec(), about.size()));
        if seen == self.seen {
            return false;
        }
        self.seen = seen;
        let text = std::fs::read_to_string(&self.list).map_err(|fault| fault.to_string());
        match text.and_then(|text| BanList::read(&text, &self.relay).map_err(str::to_string)) {
            Ok(bans) => {
                let changed = bans.out != self.bans.out;
                self.bans = bans;
                changed
            }
            Err(why) => {
                log::warn!("{}: {why}; the bans known so far stay", self.list.display());
                false
            }
        }
    }

    /// # Errors
    /// Nothing has changed.
    pub fn change(&mut self, id: &str, out: bool) -> Result<(), BanStoreError> {
        let lock = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.lock)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(std::fs::TryLockError::WouldBlock) => return Err(BanStoreError::Locked),
            Err(std::fs::TryLockError::Error(fault)) => return Err(fault.into()),
        }
        self.refresh();
        let mut later = self.bans.clone();
        if later.change(id, out) {
            std::fs::write(&self.fresh, later.text(&self.relay))?;
            std::fs::rename(&self.fresh, &self.list)?;
            self.bans = later;
            let about = std::fs::metadata(&self.list)?;
            self.seen = Some((about.ino(), about.mtime(), about.mtime_nsec(), about.size()));
        }
        drop::<File>(lock);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder =
            std::env::temp_dir().join(format!("thistlecroft-shelf-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    #[test]
    fn two_processes_keep_one_list() {
        let folder = folder("two");
        let (mut old, mut new) = (BanStore::new(&folder, "n3"), BanStore::new(&folder, "n3"));
        assert!(
            !old.refresh() && old.bans().out.is_empty(),
            "a missing list is an empty one"
        );
        old.change("a", true).unwrap();
        assert!(new.refresh() && !new.refresh());
        new.change("b", true).unwrap();
        // It has not read what the other wrote: its own change must not undo that.
        old.change("a", false).unwrap();
        assert!(new.refresh());
        assert_eq!(new.bans(), old.bans());
        assert_eq!(new.bans().out.iter().collect::<Vec<_>>(), ["b"]);
        // While one is at it the other is told so, and nothing changes.
        let lock = OpenOptions::new()
            .append(true)
            .open(folder.join("thistlecroft-bans.lock"))
            .unwrap();
        lock.lock().unwrap();
        assert!(matches!(old.change("c", true), Err(BanStoreError::Locked)));
        assert_eq!(old.bans(), new.bans());
        drop(lock);
        old.change("c", true).unwrap();
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    fn a_torn_or_foreign_list_is_a_clean_start_and_the_next_change_mends_it() {
        for (name, text) in [
            ("torn", "thistlecroft bans 1\nrelay n3\nser"),
            ("foreign", "{}"),
            ("empty", ""),
        ] {
            let folder = folder(name);
            std::fs::write(folder.join("thistlecroft-bans"), text).unwrap();
            std::fs::write(folder.join("thistlecroft-bans.fresh"), "half of a li").unwrap();
            let mut shelf = BanStore::new(&folder, "n3");
            assert!(!shelf.refresh() && shelf.bans().out.is_empty(), "{name}");
            shelf.change("a", true).unwrap();
            let mut next = BanStore::new(&folder, "n3");
            assert!(next.refresh());
            assert_eq!(next.bans().out.iter().collect::<Vec<_>>(), ["a"], "{name}");
            std::fs::remove_dir_all(&folder).unwrap();
        }
        let mut nowhere = BanStore::new(std::path::Path::new("/nowhere/at/all"), "n3");
        assert!(!nowhere.refresh());
        assert!(
            matches!(nowhere.change("a", true), Err(BanStoreError::Other(_)))
                && nowhere.bans().out.is_empty()
        );
    }
}
