//! The rule that no write is acknowledged in a replaced epoch.

use std::collections::BTreeMap;

use super::{Rule, Violation};
use crate::history::{Outcome, Request};

/// Finds writes acknowledged in a term although they were sent after another write of the group had been acknowledged in
/// a newer term.
pub fn check(requests: &[&Request]) -> Vec<Violation> {
    let mut groups: BTreeMap<&str, Vec<(u64, &Request)>> = BTreeMap::new();
    for request in requests {
        if let (Some((term, _)), Outcome::Done { .. }) = (request.mark, &request.outcome) {
            groups.entry(&request.group).or_default().push((term, request));
        }
    }
    let mut violations = Vec::new();
    for acknowledged in groups.values() {
        let mut first_acknowledged: BTreeMap<u64, u64> = BTreeMap::new();
        for (term, request) in acknowledged {
            let at = first_acknowledged.entry(*term).or_insert(request.returned);
            *at = request.returned.min(*at);
        }
        for (term, request) in acknowledged {
            let newer = first_acknowledged.range(term + 1..).find(|(_, at)| **at < request.invoked);
            if let Some((newer, _)) = newer {
                let id = request.id;
                let seen =
                    format!("request {id} was acknowledged in term {term} after term {newer}");
                violations.push(Violation::new(Rule::ReplacedEpoch, seen));
            }
        }
    }
    violations
}
