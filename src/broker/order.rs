//! The order in which the statements of each group start, from the setting and the declared classes.

use std::collections::BTreeMap;

use super::state::State;
use crate::clock::Instant;
use crate::config::{Scheduling, Share};
use crate::schedule::{DEFAULT_GUARANTEE, Level, Terms};
use crate::wire::Serving;

impl State {
    /// Applies the setting and the declared classes to the groups whose order may have changed. Where every proxy serves
    /// every group, statements start by priority.
    pub(super) fn refresh_order(&mut self, now: Instant) {
        if self.scheduling == Scheduling::Priority {
            return;
        }
        let table = self.fence.table();
        let mut stale = BTreeMap::new();
        for (name, group) in &mut self.groups {
            let by_objective = matches!(table.serving(name), Serving::Listed(_));
            let ordered = by_objective.then_some(self.revision);
            if group.permits > 0 && group.ordered != ordered {
                group.ordered = ordered;
                stale.insert(name.clone(), Vec::new());
            }
        }
        if stale.is_empty() {
            return;
        }
        for database in self.fleet.database.values() {
            let class = self.fleet.class.get(&database.class);
            if let (Some(classes), Some(class)) = (stale.get_mut(&database.group), class) {
                let level = Level { priority: class.priority, target: database.target.0 };
                classes.push((level, class.guaranteed, class.most));
            }
        }
        for (name, declared) in stale {
            if let Some(group) = self.groups.get_mut(&name) {
                let classes = group.ordered.is_some().then(|| terms(&declared));
                group.dispatcher.set_classes(now, classes.as_deref());
            }
        }
    }
}

/// Returns the terms of the classes of a group. Classes without a guaranteed part share what the others leave, at most
/// [`DEFAULT_GUARANTEE`] each. Of several databases with equal priority and target, the greatest parts count.
fn terms(declared: &[(Level, Option<Share>, Option<Share>)]) -> Vec<(Level, Terms)> {
    let mut levels: BTreeMap<Level, (Option<f64>, f64)> = BTreeMap::new();
    for (level, guaranteed, most) in declared {
        let guaranteed = guaranteed.map(Share::fraction);
        let most = most.map_or(1.0, Share::fraction);
        let known = levels.entry(*level).or_insert((guaranteed, most));
        known.0 = known.0.into_iter().chain(guaranteed).reduce(f64::max);
        known.1 = known.1.max(most);
    }
    let declared: f64 = levels.values().filter_map(|(guaranteed, _)| *guaranteed).sum();
    let others = levels.values().filter(|(guaranteed, _)| guaranteed.is_none()).count();
    let left = (1.0 - declared).max(0.0) / others.max(1) as f64;
    let default = DEFAULT_GUARANTEE.min(left);
    let terms =
        |guaranteed: Option<f64>, most| Terms { guaranteed: guaranteed.unwrap_or(default), most };
    levels.into_iter().map(|(level, (guaranteed, most))| (level, terms(guaranteed, most))).collect()
}
