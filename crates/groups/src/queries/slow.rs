//! Detection of members that are slower than the others of their deployment.

use std::collections::BTreeMap;

use base::prelude::*;

use super::health::ReportTable;
use crate::FabricRecord;

/// Smallest number of members whose median is meaningful.
const MIN_MEDIAN_SAMPLES: usize = 3;

/// Members whose step duration exceeds `factor` times the median of their
/// deployment in this fabric domain.
pub(crate) fn slow_members(
    record: &FabricRecord,
    reports: &ReportTable,
    factor: f64,
    now: ClockTime,
) -> Vec<HostName> {
    let mut steps: BTreeMap<&DeploymentName, Vec<(u32, &HostName)>> = BTreeMap::new();
    for group in &record.groups {
        for member in &group.members {
            let timed = reports.get(&member.host);
            let valid = timed.filter(|timed| now < timed.valid_until);
            let step = valid.map_or(0, |timed| timed.report.load.step_micros);
            if step > 0 {
                let steps = steps.entry(&group.deployment).or_default();
                steps.push((step, &member.host));
            }
        }
    }
    steps
        .into_values()
        .flat_map(|steps| above_median(steps, factor))
        .collect()
}

fn above_median(mut steps: Vec<(u32, &HostName)>, factor: f64) -> Vec<HostName> {
    if steps.len() < MIN_MEDIAN_SAMPLES {
        return Vec::new();
    }
    steps.sort();
    let median = f64::from(steps[(steps.len() - 1) / 2].0);
    steps
        .into_iter()
        .filter(|(step, _)| f64::from(*step) > median * factor)
        .map(|(_, host)| host.clone())
        .collect()
}
