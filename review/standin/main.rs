//! Stand-ins of the platform, its servers and clients, and the scripted cases.
//!
//! `standin CASE FOLDER` plays a case, writes `FOLDER/record.txt`, and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 there is no disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod node;
mod proxy;
mod record;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

use record::Record;
use world::Verdict;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let verdict = match cases::play(case, &record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
