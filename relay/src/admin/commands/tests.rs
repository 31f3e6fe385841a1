//! Tests of bans that two processes of one relay make in turn, each through its own store.
use super::*;
use crate::bans::store::tests::new_folder;
use crate::io_context::tests::io_context;
use std::path::Path;

/// The admin commands of one process, with what they notify.
struct Process {
    commands: AdminCommands,
    registry: EndpointRegistry,
    io: IoContext,
}

impl Process {
    /// Starts a process that knows the backends `b0`, `b1` and `b2`.
    fn start(folder: &Path) -> Process {
        let mut io = io_context(0);
        let mut registry = EndpointRegistry::new(Vec::new(), Default::default());
        for name in ["b0", "b1", "b2"] {
            registry.find_or_insert(name);
        }
        let store = BanStore::new(folder, "n3");
        let commands = AdminCommands::new(None, Some(store), &mut registry, &mut io);
        Process {
            commands,
            registry,
            io,
        }
    }

    fn set_banned(&mut self, name: &str, is_banned: bool) -> String {
        let result = self
            .commands
            .set_banned(name, is_banned, &mut self.registry, &mut self.io);
        result.expect("the store is not locked").unwrap()
    }

    fn refresh(&mut self) {
        self.commands.refresh_bans(&mut self.registry, &mut self.io);
    }

    /// Returns the backends that the registry counts as banned, and checks that the balancer was
    /// notified of the same.
    fn banned(&self) -> Vec<&str> {
        let mut notified = BTreeSet::new();
        for event in &self.io.events {
            match event {
                Event::BanChanged(backend, true) => assert!(notified.insert(*backend)),
                Event::BanChanged(backend, false) => assert!(notified.remove(backend)),
                _ => panic!("an event of another kind"),
            }
        }
        let names = ["b0", "b1", "b2"].into_iter();
        names
            .filter(|name| {
                let backend = self.registry.find(name).unwrap();
                let is_banned = self.registry.is_draining_or_banned(backend);
                assert_eq!(notified.contains(&backend), is_banned, "{name}");
                is_banned
            })
            .collect()
    }
}

/// Guards against a backend that is used although it is banned, or not used although its ban has
/// ended, because this process read the other one's change together with a command of its own.
#[test]
fn change_of_another_process_right_before_a_command_is_applied() {
    let folder = new_folder("two-commands");
    let (mut old, mut new) = (Process::start(&folder), Process::start(&folder));
    assert_eq!(old.set_banned("b0", true), "out");
    assert_eq!(new.set_banned("b1", true), "out");
    assert_eq!(new.banned(), ["b0", "b1"]);
    old.refresh();
    assert_eq!(old.banned(), ["b0", "b1"]);
    // The end of a ban, and a command that changes nothing itself.
    assert_eq!(old.set_banned("b0", false), "back");
    assert_eq!(new.set_banned("b1", true), "already out");
    assert_eq!(new.banned(), ["b1"]);
    // A command for the backend that the other process has just banned.
    assert_eq!(old.set_banned("b2", true), "out");
    assert_eq!(new.set_banned("b2", false), "back");
    assert_eq!(new.banned(), ["b1"]);
    old.refresh();
    new.refresh();
    assert_eq!([old.banned(), new.banned()], [["b1"], ["b1"]]);
    std::fs::remove_dir_all(&folder).unwrap();
}
