//! Tests of the ban store, each in a folder of its own.
use super::*;

pub(crate) fn new_folder(name: &str) -> PathBuf {
    let name = format!("thistlecroft-ban-store-{}-{name}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn ban_list_of_two_processes_is_shared() {
    let folder = new_folder("two");
    let mut old = BanStore::new(&folder, "n3");
    let mut new = BanStore::new(&folder, "n3");
    old.refresh();
    assert!(
        old.list().banned.is_empty(),
        "a missing file is an empty list"
    );
    old.set("a", true).unwrap();
    for _ in 0..2 {
        new.refresh();
        assert_eq!(new.list(), old.list());
        assert_eq!(new.list().banned.iter().collect::<Vec<_>>(), ["a"]);
    }
    new.set("b", true).unwrap();
    // This store has not yet read what the other one wrote; its own change must not undo that.
    old.set("a", false).unwrap();
    new.refresh();
    assert_eq!(new.list(), old.list());
    assert_eq!(new.list().banned.iter().collect::<Vec<_>>(), ["b"]);
    // While another process holds the lock, a change fails and leaves the list as it was.
    let lock = OpenOptions::new()
        .append(true)
        .open(folder.join("thistlecroft-bans.lock"))
        .unwrap();
    lock.lock().unwrap();
    assert!(matches!(old.set("c", true), Err(BanStoreError::Locked)));
    assert_eq!(old.list(), new.list());
    drop(lock);
    old.set("c", true).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn damaged_or_foreign_file_reads_as_empty_and_is_replaced_by_the_next_change() {
    for (name, text) in [
        ("truncated", "thistlecroft bans 1\nrelay n3\nser"),
        ("foreign", "{}"),
        ("empty", ""),
    ] {
        let folder = new_folder(name);
        std::fs::write(folder.join("thistlecroft-bans"), text).unwrap();
        std::fs::write(folder.join("thistlecroft-bans.fresh"), "half of a li").unwrap();
        let mut store = BanStore::new(&folder, "n3");
        store.refresh();
        assert!(store.list().banned.is_empty(), "{name}");
        store.set("a", true).unwrap();
        let mut next = BanStore::new(&folder, "n3");
        next.refresh();
        let banned: Vec<_> = next.list().banned.iter().collect();
        assert_eq!(banned, ["a"], "{name}");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}

#[test]
fn ban_in_a_missing_folder_fails_and_changes_nothing() {
    let mut store = BanStore::new(Path::new("/nowhere/at/all"), "n3");
    store.refresh();
    assert!(store.list().banned.is_empty());
    assert!(
        matches!(store.set("a", true), Err(BanStoreError::Io(_))) && store.list().banned.is_empty()
    );
}

/// Guards against a ban that is never learnt of, because the file was replaced by one of the same
/// inode, time and size.
#[test]
fn change_that_leaves_the_metadata_as_they_were_is_read() {
    let folder = new_folder("metadata");
    let path = folder.join("thistlecroft-bans");
    let list_of = |backend: &str| {
        let mut list = BanList::default();
        list.set(backend, true);
        list.encode("n3")
    };
    std::fs::write(&path, list_of("a")).unwrap();
    let mut store = BanStore::new(&folder, "n3");
    store.refresh();
    assert!(store.list().banned.contains("a"));
    let modified = std::fs::metadata(&path).unwrap().modified().unwrap();
    std::fs::write(&path, list_of("b")).unwrap();
    let file = OpenOptions::new().append(true).open(&path).unwrap();
    file.set_modified(modified).unwrap();
    store.refresh();
    assert_eq!(store.list().banned.iter().collect::<Vec<_>>(), ["b"]);
    std::fs::remove_dir_all(&folder).unwrap();
}
