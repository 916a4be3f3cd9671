//! The `document` measurement: processor time that a change of one section costs a daemon.

use std::time::Instant;

use ::document::commands::accept;
use ::document::{ConfigState, Document, KeyDigest, Section};
use base::prelude::*;
use clap::Args;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Numbers of sections in the measured documents.
const SECTION_COUNTS: [usize; 4] = [63, 125, 250, 500];
/// Callers of a section; 20 make it about 2 KB long.
const CALLER_COUNT: usize = 20;

/// Options of the measurement.
#[derive(Args)]
pub struct DocumentOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Section changes measured for each document size.
    #[arg(long, default_value_t = 40)]
    changes: usize,
}

/// Runs the measurement and prints its table.
pub fn run(options: &DocumentOptions) {
    println!("seed {}, {} changes each", options.seed, options.changes);
    println!("sections     KB  first ms  decode ms  change ms   (medians of a change)");
    for count in SECTION_COUNTS {
        measure(options, count);
    }
}

fn measure(options: &DocumentOptions, count: usize) {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut document = make_document(&mut random, count);
    let bytes = document.encode().len();
    let mut state = ConfigState::default();
    let start = Instant::now();
    accept(&mut state, ObjectVersion(1), Arc::new(document.clone()));
    let first = start.elapsed();
    let mut decodes = Vec::new();
    let mut changes = Vec::new();
    for change in 0..options.changes {
        let name = section_name(random.random_range(0..count));
        change_section(&mut document, &name, change);
        let value = document.encode();
        let start = Instant::now();
        let decoded = Document::decode(&value).expect("the value was encoded from a document");
        decodes.push(start.elapsed());
        let start = Instant::now();
        let version = ObjectVersion(2 + change as u64);
        accept(&mut state, version, Arc::new(decoded));
        changes.push(start.elapsed());
    }
    assert!(state.in_force.rejected.is_empty(), "every section is valid");
    println!(
        "{count:8} {:6} {:9.2} {:10.2} {:10.2}",
        bytes / 1_000,
        millis(first),
        millis(median(decodes)),
        millis(median(changes)),
    );
}

fn make_document(random: &mut StdRng, count: usize) -> Document {
    let mut document = Document::default();
    for index in 0..count {
        let section = Section {
            owner: TeamName::new("team").expect("the name is valid"),
            revision: SectionRevision(1),
            text: Arc::from(make_text(random, index)),
            edits: Default::default(),
        };
        document.sections.insert(section_name(index), section);
    }
    document
}

fn make_text(random: &mut StdRng, index: usize) -> String {
    let mut text = format!(
        "deployments:\n  model-{index}: {{model: m, group_size: 16, groups: 2}}\n\
         services:\n  service-{index}: {{deployment: model-{index}}}\n\
         workspaces:\n  workspace-{index}:\n    services: [service-{index}]\n    callers:\n"
    );
    for caller in 0..CALLER_COUNT {
        let key = random.random::<u64>().to_string();
        let digest = KeyDigest::of_key(&key).to_hex();
        text.push_str(&format!(
            "      caller-{caller}: {{key_sha256: {digest}}}\n"
        ));
    }
    text
}

fn change_section(document: &mut Document, name: &SectionName, change: usize) {
    let section = document
        .sections
        .get_mut(name)
        .expect("the document has this section");
    section.revision = section.revision.next();
    section.text = Arc::from(format!("{}# change {change}\n", section.text));
}

fn section_name(index: usize) -> SectionName {
    SectionName::new(&format!("section-{index}")).expect("the name is valid")
}

fn median(mut durations: Vec<Duration>) -> Duration {
    durations.sort();
    durations
        .get(durations.len() / 2)
        .copied()
        .unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
