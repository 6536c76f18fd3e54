//! `cactushatch explain`: what the logs say of one request.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use serde_json::{Value, json};

use super::Exit;
use crate::report::timeline::{Line, Timeline};

/// Reads logs and prints the timeline of a request.
pub(super) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let request = matches.get_one::<String>("request").context("no request is given")?;
    let mut lines = Vec::new();
    let mut unread = 0;
    match matches.get_many::<PathBuf>("logs") {
        Some(paths) => {
            for path in paths {
                let file = std::fs::File::open(path);
                let file = file.with_context(|| format!("{} can't be opened", path.display()))?;
                unread += read(file, &mut lines)?;
            }
        }
        None => unread += read(std::io::stdin().lock(), &mut lines)?,
    }
    let Some(timeline) = Timeline::of_request(request, &lines) else {
        anyhow::bail!(
            "none of {} lines names request {request} ({unread} more can't be read); \
             requests that were served in time have no line, and a flood leaves lines out",
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

/// Reads lines, and returns how many of them are none of ours.
fn read(log: impl Read, lines: &mut Vec<Line>) -> anyhow::Result<usize> {
    let mut unread = 0;
    for bytes in BufReader::new(log).split(b'\n') {
        match Line::parse(&String::from_utf8_lossy(&bytes?)) {
            Some(line) => lines.push(line),
            None => unread += 1,
        }
    }
    Ok(unread)
}
