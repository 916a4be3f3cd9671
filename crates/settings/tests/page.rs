//! The example settings in the operators' guide are valid.

use settings::parse_settings;

#[test]
fn the_example_in_the_operators_guide_is_valid() {
    let page = include_str!("../../../docs/OPERATORS.md");
    let mut examples = page.split("```yaml\n").skip(1);
    let example = examples.find(|example| example.starts_with("node:"));
    let (example, _) = example.and_then(|rest| rest.split_once("```")).unwrap();
    let settings = parse_settings(example).unwrap();
    assert_eq!(settings.node.as_str(), "entry-1");
}
