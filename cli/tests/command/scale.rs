//! Tests of `thistlecroft experiment scale`.
use crate::helper::{decode, run, test_folder};
use std::path::Path;

/// Runs hollow relays as processes and kills a rack: all subjects must be owned again, and the
/// budget's limit that is too low must be reported.
#[test]
fn hollow_fleet_over_its_budget_writes_its_figures_and_fails() {
    let folder = test_folder("scale");
    let (budget, out) = (folder.join("budget.toml"), folder.join("out"));
    std::fs::write(
        &budget,
        "[budget]\nrelay_sent_bytes_s = 1\ntwo_owners = 0\nnot_owned = 0\n",
    )
    .unwrap();
    let (budget, out) = (
        budget.to_string_lossy().into_owned(),
        out.to_string_lossy().into_owned(),
    );
    let sizes = [
        "--relays",
        "16",
        "--subjects",
        "400",
        "--rack",
        "3",
        "--each-process",
        "8",
    ];
    let times = [
        "--period", "200", "--term", "2000", "--calm", "2", "--fault", "rack",
    ];
    let mut arguments = vec![
        "experiment",
        "scale",
        "--quiet",
        "--budget",
        &budget,
        "--out",
        &out,
    ];
    arguments.extend(sizes.iter().chain(&times));
    let output = run(&arguments);
    let (table, stderr) = (decode(&output.stdout), decode(&output.stderr));
    assert_eq!(output.status.code(), Some(1), "{table}{stderr}");
    assert!(
        stderr.contains("1 limits of the budget were not kept"),
        "{stderr}"
    );
    assert!(
        table.contains("over budget: relay_sent_bytes_s: "),
        "{table}"
    );
    assert!(
        table.contains("owned at the end 400 of 400") && table.contains("two owners at once 0"),
        "{table}"
    );
    let json = std::fs::read_to_string(Path::new(&out).join("scale.json")).unwrap();
    let outcome: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert!(
        outcome["phases"][3]["converged"]["owned_s"]
            .as_f64()
            .is_some_and(|owned| owned > 0.5),
        "{json}"
    );
    assert!(outcome["holdings"].as_u64() > Some(400), "{json}");
    std::fs::remove_dir_all(folder).unwrap();
}
