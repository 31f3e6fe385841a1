//! Tests of the ban list and its text form.
use super::*;

#[test]
fn ban_is_a_set_and_is_parsed_as_it_was_encoded() {
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
fn torn_or_foreign_text_is_rejected() {
    let mut list = BanList::default();
    list.set("s-5be2a07c", true);
    let sound = list.encode("n3");
    for length in 0..sound.len() {
        assert!(
            BanList::parse(&sound[..length], "n3").is_err(),
            "cut at {length}"
        );
    }
    for place in 0..sound.len() {
        let mut bytes = sound.clone().into_bytes();
        bytes[place] ^= 1;
        let text = String::from_utf8(bytes).unwrap();
        assert!(
            BanList::parse(&text, "n3").is_err(),
            "another character at {place}"
        );
    }
    let other_version = HEADER.replace('1', "2");
    let cases = [
        sound.replace(HEADER, &other_version),
        sound.clone() + "out b\n",
        list.encode("n4"),
        "{}".into(),
    ];
    for text in cases {
        assert!(BanList::parse(&text, "n3").is_err(), "{text}");
    }
    let unicode = sound.replace("5be2", "5b\u{e9}2");
    assert!(BanList::parse(&unicode, "n3").is_err());
}
