//! Renders the report as plain text.

use std::fmt::Write;

use super::report::{Report, Severity};

/// Renders the report as plain text.
pub fn text(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a `String` can't fail.
    let _ = write(report, &mut out);
    out
}

fn write(report: &Report, out: &mut String) -> std::fmt::Result {
    for proxy in &report.missing {
        writeln!(out, "PARTIAL: {proxy} could not be asked")?;
    }
    writeln!(out, "objectives over 30 days; a burn of 1 spends the budget in exactly 30 days")?;
    for line in &report.lines {
        let result = if line.total == 0 {
            "nothing counted".to_owned()
        } else {
            let percent = 100.0 * (line.total - line.missed) as f64 / line.total as f64;
            format!("{percent:.3}% of {}", line.total)
        };
        writeln!(
            out,
            "{} {}: {result}, target {}, {:.1}% of the budget spent",
            line.class,
            line.goal,
            line.target,
            100.0 * line.spent
        )?;
        let burns: Vec<String> = line
            .burns
            .iter()
            .map(|burn| match burn.rate {
                Some(rate) => format!("{} {rate:.2}", burn.window),
                None => format!("{} -", burn.window),
            })
            .collect();
        writeln!(out, "    burn: {}", burns.join("  "))?;
        for alert in &line.alerts {
            let name = match alert.severity {
                Severity::Page => "PAGE",
                Severity::Ticket => "TICKET",
            };
            writeln!(out, "    {name}: too fast over {} and {}", alert.long, alert.short)?;
        }
    }
    writeln!(out, "spent by:")?;
    for spending in &report.spent {
        let spender = &spending.spender;
        let instance = spender.instance.as_ref().map_or("no primary", |name| name.as_str());
        writeln!(
            out,
            "    {} requests: class {}, under {instance}, {}",
            spending.requests, spender.class, spender.cause
        )?;
    }
    if report.spent.is_empty() {
        writeln!(out, "    nothing")?;
    }
    writeln!(out, "failover gaps:")?;
    for (instance, ms, within_objective) in &report.gaps {
        let suffix = if *within_objective { "" } else { ", longer than the objective" };
        writeln!(out, "    {ms} ms after {instance}{suffix}")?;
    }
    if report.gaps.is_empty() {
        writeln!(out, "    none")?;
    }
    Ok(())
}
