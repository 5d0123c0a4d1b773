//! Stand-ins and drivers for the cases of the review: a store, targets and clients that follow the users'
//! pages, and one driver for each script. Uses the standard library only.
//!
//! `standin case N DIR` plays case N, writes DIR/record.txt and exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. `standin target KEY=VALUE...` is one target process.

mod fleet;
mod http;
mod json;
mod store;
mod target;

mod case_cold;
mod case_crash;
mod case_extra;
mod case_foreign;
mod case_length;
mod case_owner;
mod case_slow;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let code = match words.first().map(String::as_str) {
        Some("target") => {
            target::run(&words[1..]);
            0
        }
        Some("case") if words.len() == 3 => play(&words[1], &words[2]),
        _ => {
            eprintln!("usage: standin case NAME DIR | standin target KEY=VALUE...");
            2
        }
    };
    std::process::exit(code);
}

/// Plays a case; a case that panics could not run.
fn play(name: &str, directory: &str) -> i32 {
    let (name, directory) = (name.to_owned(), directory.to_owned());
    let played = std::panic::catch_unwind(move || match name.as_str() {
        "extra" => case_extra::play(&directory),
        "slow" => case_slow::play(&directory),
        "crash" => case_crash::play(&directory),
        "foreign" => case_foreign::play(&directory),
        "length" => case_length::play(&directory),
        "owner" => case_owner::play(&directory),
        "cold" => case_cold::play(&directory),
        other => panic!("no case {other}"),
    });
    fleet::end_all_processes();
    played.unwrap_or(2)
}
