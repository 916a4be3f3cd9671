//! Which spare endpoint should load which model.

use std::collections::BTreeMap;

use base::prelude::*;
use intent::{EngineProfile, Service};

use super::target::{count_usable, fabrics_of, share_out};
use crate::{GroupRecord, MemberOrder, PlannerState};

/// Models that spare endpoints should load, by endpoint.
///
/// A fabric domain wants the members of its target groups and one spare of each
/// model, as far as its endpoints reach. An endpoint that holds a model in
/// surplus is used for another one only where that one's groups are incomplete.
pub fn plan_staging(
    state: &PlannerState,
    draft: &GroupRecord,
    service: &Service,
    engine: &EngineProfile,
    spares: &[HostName],
) -> BTreeMap<HostName, ModelName> {
    let mut wishes = BTreeMap::new();
    for fabric in fabrics_of(state, service) {
        let in_fabric = |id: &HostName| {
            let view = state.endpoints.get(id);
            view.is_some_and(|view| view.endpoint.fabric.as_ref() == Some(&fabric))
        };
        let usable = count_usable(state, service, &fabric);
        let counts = share_out(usable, &engine.models);
        let mut lacks: Vec<Lack> = engine
            .models
            .iter()
            .zip(counts)
            .map(|(model, count)| Lack {
                model: model.name.clone(),
                needed: count * model.size,
                spare: 0,
                held: 0,
            })
            .collect();
        let needed: usize = lacks.iter().map(|lack| lack.needed).sum();
        let order = 0..lacks.len();
        for index in order.cycle().take(usable.saturating_sub(needed).min(64)) {
            lacks[index].spare += 1;
        }
        for group in &draft.groups {
            let members = group.members.iter().filter(|member| in_fabric(&member.id));
            let count = members.count();
            if let Some(lack) = lacks.iter_mut().find(|lack| lack.model == group.model) {
                lack.held += count;
            }
        }
        let mut idle = Vec::new();
        for id in spares.iter().filter(|id| in_fabric(id)) {
            let held = model_of(state, id);
            match held.and_then(|held| lacks.iter_mut().find(|lack| lack.model == held)) {
                Some(lack) if lack.held < lack.needed + lack.spare => lack.held += 1,
                Some(lack) => idle.push((id, Some(lack.model.clone()))),
                None => idle.push((id, None)),
            }
        }
        for (id, held) in idle {
            let most = lacks.iter_mut().filter(|lack| lack.missing(held.is_some()) > 0);
            let most = most.max_by_key(|lack| lack.missing(held.is_some()));
            if let Some(lack) = most {
                lack.held += 1;
                wishes.insert(id.clone(), lack.model.clone());
            }
        }
    }
    wishes
}

/// Endpoints that one model lacks in a fabric domain.
struct Lack {
    model: ModelName,
    needed: usize,
    spare: usize,
    held: usize,
}

impl Lack {
    /// Endpoints missing; for one that holds another model only groups count.
    fn missing(&self, only_groups: bool) -> usize {
        let wanted = if only_groups {
            self.needed
        } else {
            self.needed + self.spare
        };
        wanted.saturating_sub(self.held)
    }
}

/// Model that an endpoint has on its host or is loading.
fn model_of(state: &PlannerState, id: &HostName) -> Option<ModelName> {
    let view = state.endpoints.get(id)?;
    let loading = view.pending.as_ref().and_then(|pending| match &pending.order {
        MemberOrder::Stage { model } => Some(model.clone()),
        _ => None,
    });
    loading.or_else(|| view.endpoint.staged.first().cloned())
}
