use super::*;

#[test]
fn request_with_known_generation_gets_changes_and_any_other_a_snapshot() {
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
    for (generation, reset, rows) in cases {
        let (json, states) = list.json_since(generation);
        let states: Vec<_> = states
            .iter()
            .map(|(backend, lifecycle)| (backend.0, *lifecycle))
            .collect();
        assert_eq!(states, rows, "{generation:?}");
        assert!(
            json.contains(&format!("\"reset\":{reset}")),
            "{generation:?}: {json}"
        );
    }
    list.restart_generations();
    assert_eq!(
        list.json_since(Some(3)).1.len(),
        1,
        "a request from before the restart gets a snapshot"
    );
    assert_eq!(list.json_since(Some(1)).1.len(), 0);
}
