//! Times and limits of the planner.

use base::prelude::*;

/// Pause between two reports of a member that nothing speaks against.
const PROBE_PERIOD: Duration = Duration::from_millis(2_000);
/// Pause between two reports of a member whose group is being formed.
const FORMING_PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Pause between two reports of a head after the owner has changed.
const HEAD_PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Time for which heads are asked that often; engines finish what nodes that are gone had sent
/// within it.
const HEAD_SPAN: Duration = Duration::from_millis(3_000);
/// Pause between two reports of an endpoint that gave no answer.
const SILENT_PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// Reports in a row without an answer after which an endpoint is taken for lost.
const MISS_LIMIT: u32 = 2;
/// Time for which endpoints that an outage of the store may have dropped from the list are kept;
/// the platform lists them again within two seconds.
const RELIST_SPAN: Duration = Duration::from_millis(2_200);
/// Time after which an order that was taken but shows no effect is given again.
const EFFECT_SPAN: Duration = Duration::from_millis(1_500);
/// Time that a head gets to finish before its leaving member is replaced.
const CLOSE_SPAN: Duration = Duration::from_millis(2_500);
/// Pause before an order that was refused is given again.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// Epochs that an owner takes in one write.
const EPOCH_BLOCK: u64 = 1_000;

/// Times and limits of the planner.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Pause between two reports of a member.
    pub probe_period: Duration,
    /// Pause between two reports of a member of a forming group.
    pub forming_probe_period: Duration,
    /// Pause between two reports of a head after the owner has changed.
    pub head_probe_period: Duration,
    /// Time for which heads are asked that often.
    pub head_span: Duration,
    /// Pause between two reports of a silent endpoint.
    pub silent_probe_period: Duration,
    /// Silent reports in a row that make an endpoint lost.
    pub miss_limit: u32,
    /// Time for which endpoints dropped by an outage are kept.
    pub relist_span: Duration,
    /// Time after which an order without effect is repeated.
    pub effect_span: Duration,
    /// Time that a closing head gets.
    pub close_span: Duration,
    /// Pause before a refused order is repeated.
    pub refused_pause: Duration,
    /// Epochs taken in one write.
    pub epoch_block: u64,
    /// Until when groups may be formed of endpoints without weights; before
    /// traffic starts loads are quick, later they are staged first.
    pub cold_start_until: ClockTime,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            probe_period: PROBE_PERIOD,
            forming_probe_period: FORMING_PROBE_PERIOD,
            head_probe_period: HEAD_PROBE_PERIOD,
            head_span: HEAD_SPAN,
            silent_probe_period: SILENT_PROBE_PERIOD,
            miss_limit: MISS_LIMIT,
            relist_span: RELIST_SPAN,
            effect_span: EFFECT_SPAN,
            close_span: CLOSE_SPAN,
            refused_pause: REFUSED_PAUSE,
            epoch_block: EPOCH_BLOCK,
            cold_start_until: ClockTime::default(),
        }
    }
}
