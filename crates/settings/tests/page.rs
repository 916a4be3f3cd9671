//! The operators' page shows settings that a daemon takes.

use settings::parse_settings;

#[test]
fn the_sample_of_the_operators_page_is_good() {
    let page = include_str!("../../../docs/OPERATORS.md");
    let mut samples = page.split("```yaml\n").skip(1);
    let sample = samples.find(|sample| sample.starts_with("node:"));
    let (sample, _) = sample.and_then(|rest| rest.split_once("```")).unwrap();
    let settings = parse_settings(sample).unwrap();
    assert_eq!(settings.node.as_str(), "entry-1");
}
