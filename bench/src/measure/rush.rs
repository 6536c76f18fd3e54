//! Measures a rush: all sessions arrive within a second and offer ten times the sustainable rate.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{Figure, PROFILES, Run, with_fleet};
use crate::check;
use crate::history::{self, Kind, Outcome, Record, Request};
use crate::load::{self, HISTORY};

/// The offered rate as a multiple of the sustainable rate.
const OVERLOAD: f64 = 10.0;

/// The share of the sustainable rate that is offered to measure the unloaded latency.
const LIGHT_LOAD: f64 = 0.2;

/// How long a statement holds its slot on an instance; long enough that one machine can also generate the overload.
const SERVICE_TIME: &str = "20ms";

/// The time after which an answer is late: the longest declared deadline, plus an allowance for transit.
const DEADLINE: Duration = Duration::from_millis(5_250);

/// The duration of each phase.
const PHASE_SECONDS: u64 = 4;

/// Measures both deployment profiles.
pub fn run(run: &Run) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for profile in PROFILES {
        figures.extend(with_fleet(profile, &["--service-time", SERVICE_TIME], |dir| {
            measure(profile, run, dir)
        })?);
    }
    Ok(figures)
}

fn measure(profile: &str, run: &Run, dir: &Path) -> anyhow::Result<Vec<Figure>> {
    let mut settings = super::base_load(dir, run.seed, PHASE_SECONDS);
    settings.read_percent = 80;
    settings.think_time = Duration::ZERO;
    let sustainable = Phase::run(settings.clone())?.done_rate();
    settings.rate = Some((sustainable * LIGHT_LOAD) as u32);
    settings.seed += 1_000;
    let light = Phase::run(settings.clone())?;
    // As many sessions as requests per second, so that each session arrives with its first request due.
    settings.rate = Some((sustainable * OVERLOAD) as u32);
    settings.sessions = (sustainable * OVERLOAD) as usize;
    settings.ramp_up = Duration::from_secs(1);
    settings.seed += 1_000;
    let rush = Phase::run(settings)?;
    let report = check::run(dir)?;
    let figure = |name: &str, unit, sample| Figure::new(name, unit, profile, sample);
    Ok(vec![
        figure("sustainable_rate", "requests/s", sustainable),
        figure("rush_offered", "of the sustainable rate", rush.offered_rate() / sustainable),
        figure("rush_final_answers", "of 1", rush.answered()),
        figure("rush_goodput", "of the sustainable rate", rush.done_rate() / sustainable),
        figure("rush_p99_once", "ms", rush.p99_once()),
        figure("unloaded_p99_once", "ms", light.p99_once()),
        figure("rush_rules_broken", "violations", report.violations.len() as f64),
    ])
}

/// The requests of one load.
struct Phase {
    requests: Vec<Request>,
}

impl Phase {
    fn run(settings: load::Settings) -> anyhow::Result<Self> {
        let path = settings.dir.join(HISTORY);
        load::run(settings)?;
        let requests = history::read(&path)?.into_iter().filter_map(|record| match record {
            Record::Request(request) => Some(request),
            Record::Event(_) => None,
        });
        Ok(Self { requests: requests.collect() })
    }

    /// Returns the number of requests sent per second.
    fn offered_rate(&self) -> f64 {
        self.requests.len() as f64 / PHASE_SECONDS as f64
    }

    /// Returns the number of requests that succeeded per second of the load.
    fn done_rate(&self) -> f64 {
        let start = self.requests.iter().map(|request| request.invoked).min().unwrap_or_default();
        let end = start + PHASE_SECONDS * 1_000_000;
        let done = self.requests.iter().filter(|request| {
            request.returned <= end && matches!(request.outcome, Outcome::Done { .. })
        });
        done.count() as f64 / PHASE_SECONDS as f64
    }

    /// Returns the share of requests that got a final answer in time, other than an unknown outcome.
    fn answered(&self) -> f64 {
        let deadline = DEADLINE.as_micros() as u64;
        let answered = self.requests.iter().filter(|request| {
            !matches!(request.outcome, Outcome::Cut { .. } | Outcome::Unknown(_))
                && request.returned - request.invoked <= deadline
        });
        answered.count() as f64 / self.requests.len().max(1) as f64
    }

    /// Returns the 99th percentile of the latency of `once` requests that succeeded, in milliseconds.
    fn p99_once(&self) -> f64 {
        let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
        for request in &self.requests {
            let once = matches!(request.kind, Kind::Once { .. });
            if once && matches!(request.outcome, Outcome::Done { .. }) {
                let _ = times.record(request.returned - request.invoked);
            }
        }
        times.value_at_quantile(0.99) as f64 / 1_000.0
    }
}
