//! Stand-ins of the second independent review: `standin-2 CASE FOLDER` plays a case, with the settings and logs of
//! the nodes in FOLDER. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod case_handover;
mod case_left;
mod case_reader;
mod case_report;
mod client;
mod fleet;
mod http;
mod json;
mod mill;
mod overlap;
mod record;
mod store;
mod system;
mod target;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = Path::new(folder);
    record::note(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "report" => case_report::play(folder, trouble),
        "handover" => case_handover::play(folder, trouble),
        "left" => case_left::play(folder, trouble),
        "reader" => case_reader::play(folder, trouble),
        _ => Outcome::NotRun,
    };
    record::write_requests();
    let (text, status) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::NotRun => ("the case could not run", 2),
    };
    record::note(text);
    ExitCode::from(status)
}
