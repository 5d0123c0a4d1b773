//! Stand-ins of the third review: store, targets and clients, in one program. `standin CASE FOLDER` plays a case.

mod case_crash;
mod case_left;
mod case_parts;
mod client;
mod fleet;
mod http;
mod random;
mod record;
mod store;
mod target;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "crash" => case_crash::play(folder, trouble),
        "left" => case_left::play(folder, trouble),
        "parts" => case_parts::play(folder, trouble),
        _ => 2,
    });
    std::process::exit(played.unwrap_or(2));
}
