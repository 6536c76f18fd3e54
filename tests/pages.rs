//! The operators' pages: each command in an `sh` block runs as it stands, in order, against a fleet.

mod env;

use std::path::{Path, PathBuf};
use std::process::Command;

use env::Fleet;

/// Returns the lines of a page's `sh` blocks.
fn commands(page: &str) -> Vec<String> {
    let mut commands = Vec::new();
    let mut inside = false;
    for line in page.lines().map(str::trim) {
        match line {
            "```sh" => inside = true,
            "```" => inside = false,
            line if inside && !line.is_empty() => commands.push(line.to_owned()),
            _ => {}
        }
    }
    commands
}

/// Returns the id of the plan that an output names.
fn plan(output: &str) -> Option<String> {
    let words = output.split(|c: char| !c.is_ascii_alphanumeric() && c != '-');
    let mut plans = words.filter(|word| word.starts_with("plan-"));
    plans.next().map(str::to_owned)
}

fn pages() -> Vec<PathBuf> {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "docs", "operators"].iter().collect();
    let entries = std::fs::read_dir(folder).expect("the pages");
    let mut pages: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    pages.sort();
    pages
}

/// Runs a page's commands in `dir`; returns how many there were.
fn run(page: &Path, dir: &Path, fleet: &Fleet) -> usize {
    let text = std::fs::read_to_string(page).expect("a page");
    let binary = Path::new(env!("CARGO_BIN_EXE_cactushatch")).parent().expect("its folder");
    let path = format!("{}:{}", binary.display(), std::env::var("PATH").unwrap());
    let mut last = None;
    let commands = commands(&text);
    for command in &commands {
        let line = command.replace("PLAN", last.as_deref().unwrap_or("PLAN"));
        let script = format!(". {}/env; {line}", fleet.path().display());
        let output = Command::new("bash")
            .args(["-ec", &script])
            .env("PATH", &path)
            .env("USER", "anna")
            .current_dir(dir)
            .output()
            .expect("bash runs");
        let shown = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{}: {line}\n{shown}{errors}", page.display());
        last = plan(&shown).or(last);
    }
    commands.len()
}

#[test]
fn every_command_of_the_pages_runs_as_it_stands() {
    let fleet = Fleet::up();
    let dir = tempfile::tempdir().unwrap();
    let examples: PathBuf = [env!("CARGO_MANIFEST_DIR"), "examples", "imena"].iter().collect();
    for file in ["groups.toml", "proxy-1.toml", "control-1.toml"] {
        std::fs::copy(examples.join(file), dir.path().join(file)).unwrap();
    }
    let mut ran = 0;
    for page in pages() {
        ran += run(&page, dir.path(), &fleet);
    }
    assert!(ran > 20, "only {ran} commands were found");
    let html = std::fs::read_to_string(dir.path().join("burn.html")).unwrap();
    assert!(html.contains("<svg"), "the page has no picture");
}

#[test]
fn links_between_pages_lead_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let docs = std::fs::read_dir(root.join("docs")).unwrap().map(|entry| entry.unwrap().path());
    let docs = docs.filter(|path| path.extension().is_some_and(|extension| extension == "md"));
    for page in docs.chain(pages()).chain([root.join("README.md")]) {
        let text = std::fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
            let file = link.split('#').next().unwrap();
            if file.is_empty() || file.contains("://") {
                continue;
            }
            let target = page.parent().unwrap().join(file);
            assert!(target.exists(), "{}: {link} leads nowhere", page.display());
        }
    }
}
