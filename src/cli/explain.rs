//! `cactushatch explain`: what the logs record about a request.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use serde_json::{Value, json};

use super::Exit;
use crate::report::timeline::{Line, Timeline};

/// Reads the logs and prints the timeline of a request, with the cause of its outcome.
pub(super) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let request = matches.get_one::<String>("request").context("missing request id")?;
    let mut lines = Vec::new();
    let mut unparsed = 0;
    match matches.get_many::<PathBuf>("logs") {
        Some(paths) => {
            for path in paths {
                let file = std::fs::File::open(path);
                let file = file.with_context(|| format!("can't open {}", path.display()))?;
                unparsed += read(file, &mut lines)?;
            }
        }
        None => unparsed += read(std::io::stdin().lock(), &mut lines)?,
    }
    let Some(timeline) = Timeline::of_request(request, &lines) else {
        anyhow::bail!(
            "none of {} log lines mentions request {request} \
             ({unparsed} other lines can't be parsed); requests served in time are not logged, \
             and lines beyond the rate limit are suppressed",
            lines.len()
        );
    };
    if matches.get_flag("json") {
        let lines: Vec<Value> = timeline.lines().iter().map(Line::json).collect();
        let cause = timeline.cause().to_string();
        println!("{}", json!({ "request": request, "cause": cause, "lines": lines }));
    } else {
        timeline.lines().iter().for_each(|line| println!("{line}"));
        println!("request {request}: {}", timeline.cause());
    }
    Ok(Exit::Success)
}

/// Appends the log lines of our processes to `lines`; returns the number of lines that can't be parsed.
fn read(log: impl Read, lines: &mut Vec<Line>) -> anyhow::Result<usize> {
    let mut unparsed = 0;
    for bytes in BufReader::new(log).split(b'\n') {
        match Line::parse(&String::from_utf8_lossy(&bytes?)) {
            Some(line) => lines.push(line),
            None => unparsed += 1,
        }
    }
    Ok(unparsed)
}
