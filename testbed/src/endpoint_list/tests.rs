use super::*;

#[test]
fn who_asks_has_what_changed_since_or_the_whole() {
    let row = |lifecycle| EndpointRow {
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".into(),
        cell: 0,
        lifecycle,
        started_ms: 0,
    };
    let mut list = EndpointList::default();
    list.put(BackendIndex(0), row(Lifecycle::Ready));
    list.put(BackendIndex(1), row(Lifecycle::Ready));
    list.put(BackendIndex(0), row(Lifecycle::Gone));
    use Lifecycle::{Gone, Ready};
    let cases = [
        (None, true, vec![(1, Ready)]),
        (Some(1), false, vec![(0, Gone), (1, Ready)]),
        (Some(2), false, vec![(0, Gone)]),
        (Some(3), false, vec![]),
        (Some(9), true, vec![(1, Ready)]),
    ];
    for (held, reset, rows) in cases {
        let (text, told) = list.text_since(held);
        let told: Vec<_> = told
            .iter()
            .map(|(at, lifecycle)| (at.0, *lifecycle))
            .collect();
        assert_eq!(told, rows, "{held:?}");
        assert!(
            text.contains(&format!("\"reset\":{reset}")),
            "{held:?}: {text}"
        );
    }
    list.forget_versions();
    assert_eq!(
        list.text_since(Some(3)).1.len(),
        1,
        "the whole, since its versions are others now"
    );
    assert_eq!(list.text_since(Some(1)).1.len(), 0);
}
