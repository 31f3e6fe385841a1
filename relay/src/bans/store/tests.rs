//! Tests of the ban store, each in a folder of its own.
use super::*;

fn new_folder(name: &str) -> PathBuf {
    let name = format!("thistlecroft-ban-store-{}-{name}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn two_processes_share_one_list() {
    let folder = new_folder("two");
    let mut old = BanStore::new(&folder, "n3");
    let mut new = BanStore::new(&folder, "n3");
    assert!(
        !old.refresh() && old.list().banned.is_empty(),
        "a missing list is an empty one"
    );
    old.set("a", true).unwrap();
    assert!(new.refresh() && !new.refresh());
    new.set("b", true).unwrap();
    // It has not read what the other wrote: its own change must not undo that.
    old.set("a", false).unwrap();
    assert!(new.refresh());
    assert_eq!(new.list(), old.list());
    assert_eq!(new.list().banned.iter().collect::<Vec<_>>(), ["b"]);
    // While one writes the other is notified, and nothing changes.
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
fn torn_or_foreign_file_starts_empty_and_is_mended_by_the_next_change() {
    for (name, text) in [
        ("torn", "thistlecroft bans 1\nrelay n3\nser"),
        ("foreign", "{}"),
        ("empty", ""),
    ] {
        let folder = new_folder(name);
        std::fs::write(folder.join("thistlecroft-bans"), text).unwrap();
        std::fs::write(folder.join("thistlecroft-bans.fresh"), "half of a li").unwrap();
        let mut store = BanStore::new(&folder, "n3");
        assert!(!store.refresh() && store.list().banned.is_empty(), "{name}");
        store.set("a", true).unwrap();
        let mut next = BanStore::new(&folder, "n3");
        assert!(next.refresh());
        let banned: Vec<_> = next.list().banned.iter().collect();
        assert_eq!(banned, ["a"], "{name}");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}

#[test]
fn missing_folder_refuses_changes_and_changes_nothing() {
    let mut store = BanStore::new(Path::new("/nowhere/at/all"), "n3");
    assert!(!store.refresh());
    assert!(
        matches!(store.set("a", true), Err(BanStoreError::Io(_))) && store.list().banned.is_empty()
    );
}
