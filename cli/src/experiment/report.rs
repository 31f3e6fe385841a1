//! `thistlecroft experiment report`: prints the figures of all runs in a folder, and writes a page
//! with links to their reports.
use crate::error::CommandError;
use std::path::Path;
use thistlecroft_experiments::compare;
use thistlecroft_experiments::summary::Summary;

const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
    <title>Runs</title><style>body{font:15px sans-serif;margin:2em}\
    td,th{padding:.2em .8em;text-align:left}</style><h1>Runs</h1><table>\
    <tr><th>run<th>rules<th>utility served<th>set-up p99, ms<th>line p99, ms\n";
const PAGE_END: &str = "</table></html>\n";

pub(crate) fn run(folder: &Path) -> Result<(), CommandError> {
    let summaries = compare::read(folder).map_err(CommandError::invalid)?;
    let mut page = PAGE_HEAD.to_string();
    for summary in &summaries {
        println!("{}", summary.report_text());
        page += &table_row(folder, summary);
    }
    page += PAGE_END;
    let path = folder.join("index.html");
    std::fs::write(&path, page)
        .map_err(|error| CommandError::Failed(format!("writing {}: {error}", path.display())))?;
    println!("{} runs; {}", summaries.len(), path.display());
    Ok(())
}

fn table_row(folder: &Path, summary: &Summary) -> String {
    format!(
        "<tr><td><a href=\"{}\">{} / {} / {}</a><td>{}<td>{:.3}<td>{:.1}<td>{:.1}\n",
        report_link(folder, summary),
        summary.scenario,
        summary.target,
        summary.seed,
        summary.headline(),
        summary.served,
        summary.setup_delays.p99,
        summary.message_delays.p99
    )
}

/// Returns the path of a run's report relative to the folder, which may hold all scenarios, one
/// scenario or one run.
fn report_link(folder: &Path, summary: &Summary) -> String {
    let in_scenario = format!("{}/seed-{}/report.html", summary.target, summary.seed);
    let in_all = format!("{}/{in_scenario}", summary.scenario);
    let link = [in_all, in_scenario]
        .into_iter()
        .find(|path| folder.join(path).exists());
    link.unwrap_or_else(|| "report.html".into())
}
