//! Error budgets of the service-level objectives: how much is spent, at which burn rate, and by what.
//!
//! Proxies count requests into buckets of one minute ([`History`]). [`Report::aggregate`] is a pure function of
//! buckets, objectives and a time. Burn rates and alerts over several windows follow the SRE Workbook's chapter on
//! alerting on objectives. See `docs/operators/burn.md`.

mod bucket;
mod history;
mod plot;
mod report;
mod text;

pub use bucket::{Bucket, Cause, Counts, Minute, Spender};
pub use history::{CompletedRequest, History};
pub use plot::{html, svg};
pub use report::{Alert, Burn, Goal, Line, Report, Severity, Spending};
pub use text::text;
