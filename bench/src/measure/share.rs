//! Measures the share of reads that replicas serve, as counted by the instances.

use super::{Figure, PROFILES, Run, with_fleet};
use crate::{check, load};

/// Measures both deployment profiles at their normal lag, and with one replica of each group that lags by two seconds.
pub fn run(run: &Run) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for profile in PROFILES {
        for lagging in [false, true] {
            let share = with_fleet(profile, &[], |dir| {
                let mut settings = super::base_load(dir, run.seed, 5);
                if lagging {
                    let fleet = crate::fleet::Fleet::open(dir)?;
                    for group in fleet.groups() {
                        let fault = format!("0us fault replica:{group} {{\"lag_ms\":2000}}");
                        settings.actions.push(fault.parse().map_err(anyhow::Error::msg)?);
                    }
                }
                let summary = load::run(settings)?;
                let report = check::run(dir)?;
                anyhow::ensure!(report.violations.is_empty(), "the history violates the rules");
                Ok(summary.replica_read_share)
            })?;
            let case = if lagging { "one replica 2 s behind" } else { "normal lag" };
            let case = format!("{profile}, {case}");
            figures.push(Figure::new("replica_read_share", "of 1", &case, share));
        }
    }
    Ok(figures)
}
