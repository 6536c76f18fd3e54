//! Measures the write gap when a primary fails, per kind of failure.

use super::{Figure, PROFILES, Run, with_fleet};
use crate::fleet::Fleet;
use crate::{check, load};

/// Each failure's name, the actions that begin and end it, and the options of the fleet.
const FAILURES: [(&str, &str, &str, &[&str]); 3] = [
    ("crash", "kill", "start", &[]),
    ("silent", "stop", "resume", &[]),
    // Three voters in three failure domains, so that voters remain on the other side of every cut.
    ("cut", "cut", "heal", &["--voters", "3", "--link", "yes"]),
];

/// Measures each kind of failure three times in one fleet, with time to recover in between.
pub fn run(run: &Run) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for profile in PROFILES {
        for (failure, begin, end, options) in FAILURES {
            let gaps = with_fleet(profile, options, |dir| {
                let group = Fleet::open(dir)?.groups().remove(0);
                let mut settings = super::base_load(dir, run.seed, 22);
                settings.probers = 1;
                settings.sessions = 30;
                for at in [2, 9, 16] {
                    let fail_action = format!("{at}s {begin} primary:{group}");
                    let end_action = format!("{}s {end} last", at + 4);
                    for action in [fail_action, end_action] {
                        settings.actions.push(action.parse().map_err(anyhow::Error::msg)?);
                    }
                }
                load::run(settings)?;
                let report = check::run(dir)?;
                anyhow::ensure!(report.violations.is_empty(), "the history violates the rules");
                Ok(report.gaps)
            })?;
            let case = format!("{profile}, {failure}");
            for gap in gaps {
                let length = gap.milliseconds.unwrap_or(f64::INFINITY);
                figures.push(Figure::new("failover_gap", "ms", &case, length));
            }
        }
    }
    Ok(figures)
}
