//! Service-level burn: what was spent of each objective's budget, how fast, and by what.
//!
//! Proxies count into buckets of a minute ([`History`]); [`Report::of`] is a pure function of buckets,
//! objectives and a moment. Burn rates and alerts over several windows follow the SRE Workbook's chapter on
//! alerting on objectives. See `docs/operators/burn.md`.

mod bucket;
mod history;
mod plot;
mod show;
mod sum;

pub use bucket::{Bucket, Cause, Counts, Minute, Spender};
pub use history::{History, Kept};
pub use plot::{html, svg};
pub use show::text;
pub use sum::{Alert, Burn, Goal, Line, Report, Severity, Spent};
