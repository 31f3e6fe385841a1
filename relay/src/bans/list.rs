//! The set of backends that operators have taken out, as it is kept for the next process: a small
//! text with a version, a serial number and a check over all of it. No I/O.
use crate::discovery::watch::hash;
use std::collections::BTreeSet;

const HEAD: &str = "thistlecroft bans 1";

/// Backends by the id that is the same at every relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BanList {
    /// Of the change that made it.
    pub serial: u64,
    pub out: BTreeSet<String>,
}

impl BanList {
    /// True where it changed anything: a ban is a set, and twice out is once out.
    pub fn change(&mut self, id: &str, out: bool) -> bool {
        let changed = if out {
            self.out.insert(id.to_string())
        } else {
            self.out.remove(id)
        };
        self.serial += u64::from(changed);
        changed
    }

    /// `relay` is the name of the relay whose list it is.
    pub fn text(&self, relay: &str) -> String {
        let mut text = format!("{HEAD}\nrelay {relay}\nserial {}\n", self.serial);
        for id in &self.out {
            text.push_str(&format!("out {id}\n"));
        }
        let check = hash(text.as_bytes());
        text.push_str(&format!("check {check:016x}\n"));
        text
    }

    /// # Errors
    /// What is wrong with the text: torn, of another version, or of another relay.
    pub fn read(text: &str, relay: &str) -> Result<BanList, &'static str> {
        if !text.starts_with(&format!("{HEAD}\n")) {
            return Err("not a list of bans of this version");
        }
        let body = text
            .len()
            .checked_sub("check 0000000000000000\n".len())
            .ok_or("cut short")?;
        let (body, check) = text.split_at_checked(body).ok_or("cut short")?;
        if check != format!("check {:016x}\n", hash(body.as_bytes())) {
            return Err("its check does not agree");
        }
        let mut bans = BanList::default();
        for line in body.lines().skip(1) {
            match line.split_once(' ') {
                Some(("relay", name)) if name == relay => {}
                Some(("relay", _)) => return Err("of another relay"),
                Some(("serial", number)) => {
                    bans.serial = number.parse().map_err(|_| "a bad serial")?
                }
                Some(("out", id)) => drop(bans.out.insert(id.to_string())),
                _ => return Err("a line that is none of its own"),
            }
        }
        Ok(bans)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_ban_is_a_set_and_is_read_as_it_was_written() {
        let mut bans = BanList::default();
        let steps = [
            ("a", true, 1),
            ("b", true, 2),
            ("a", true, 2),
            ("a", false, 3),
            ("a", false, 3),
            ("c", false, 3),
        ];
        for (id, out, serial) in steps {
            bans.change(id, out);
            assert_eq!(bans.serial, serial, "{id} {out}");
            assert_eq!(BanList::read(&bans.text("n3"), "n3"), Ok(bans.clone()));
        }
        assert_eq!(bans.out, BTreeSet::from(["b".to_string()]));
    }

    #[test]
    fn what_is_torn_or_foreign_is_told() {
        let mut bans = BanList::default();
        bans.change("s-5be2a07c", true);
        let sound = bans.text("n3");
        for length in 0..sound.len() {
            assert!(
                BanList::read(&sound[..length], "n3").is_err(),
                "cut at {length}"
            );
        }
        for place in 0..sound.len() {
            let mut bytes = sound.clone().into_bytes();
            bytes[place] ^= 1;
            let text = String::from_utf8(bytes).unwrap();
            assert!(
                BanList::read(&text, "n3").is_err(),
                "another sign at {place}"
            );
        }
        let version = HEAD.replace('1', "2");
        let cases = [
            sound.replace(HEAD, &version),
            sound.clone() + "out b\n",
            bans.text("n4"),
            "{}".into(),
        ];
        for text in cases {
            assert!(BanList::read(&text, "n3").is_err(), "{text}");
        }
        let unicode = sound.replace("5be2", "5b\u{e9}2");
        assert!(BanList::read(&unicode, "n3").is_err());
    }
}
