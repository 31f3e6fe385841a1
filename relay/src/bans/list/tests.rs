//! Tests of the ban list and its text form.
use super::*;

#[test]
fn encoded_ban_list_is_parsed_unchanged_and_counts_only_real_changes() {
    let mut list = BanList::default();
    let steps = [
        ("a", true, 1),
        ("b", true, 2),
        ("a", true, 2),
        ("a", false, 3),
        ("a", false, 3),
        ("c", false, 3),
    ];
    for (backend, is_banned, serial) in steps {
        list.set(backend, is_banned);
        assert_eq!(list.serial, serial, "{backend} {is_banned}");
        assert_eq!(BanList::parse(&list.encode("n3"), "n3"), Ok(list.clone()));
    }
    assert_eq!(list.banned, BTreeSet::from(["b".to_string()]));
}

#[test]
fn damaged_or_foreign_text_is_rejected() {
    let mut list = BanList::default();
    list.set("s-5be2a07c", true);
    let valid = list.encode("n3");
    for length in 0..valid.len() {
        assert!(
            BanList::parse(&valid[..length], "n3").is_err(),
            "cut at byte {length}"
        );
    }
    for position in 0..valid.len() {
        let mut bytes = valid.clone().into_bytes();
        bytes[position] ^= 1;
        let text = String::from_utf8(bytes).unwrap();
        assert!(
            BanList::parse(&text, "n3").is_err(),
            "another character at byte {position}"
        );
    }
    let other_version = HEADER.replace('1', "2");
    let rejected = [
        valid.replace(HEADER, &other_version),
        valid.clone() + "out b\n",
        list.encode("n4"),
        "{}".into(),
    ];
    for text in rejected {
        assert!(BanList::parse(&text, "n3").is_err(), "{text}");
    }
    let unicode = valid.replace("5be2", "5b\u{e9}2");
    assert!(BanList::parse(&unicode, "n3").is_err());
}
