//! Runs the commands in the `sh` blocks of the operators' pages, in order, against a fleet, and checks the links of the
//! docs.

mod env;

use std::path::{Path, PathBuf};
use std::process::Command;

use env::Fleet;

/// Returns the commands in the `sh` blocks of a page, one per line.
fn commands(page: &str) -> Vec<String> {
    let mut commands = Vec::new();
    let mut in_block = false;
    for line in page.lines().map(str::trim) {
        match line {
            "```sh" => in_block = true,
            "```" => in_block = false,
            line if in_block && !line.is_empty() => commands.push(line.to_owned()),
            _ => {}
        }
    }
    commands
}

/// Returns the first plan id in the output of a command.
fn plan_id(output: &str) -> Option<String> {
    let words = output.split(|c: char| !c.is_ascii_alphanumeric() && c != '-');
    let mut plans = words.filter(|word| word.starts_with("plan-"));
    plans.next().map(str::to_owned)
}

fn pages() -> Vec<PathBuf> {
    let directory: PathBuf = [env!("CARGO_MANIFEST_DIR"), "docs", "operators"].iter().collect();
    let entries = std::fs::read_dir(directory).expect("the directory of the pages is readable");
    let mut pages: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    pages.sort();
    pages
}

/// Runs the commands of a page in `dir`; returns their number.
fn run(page: &Path, dir: &Path, fleet: &Fleet) -> usize {
    let text = std::fs::read_to_string(page).expect("the page is readable");
    let binary = Path::new(env!("CARGO_BIN_EXE_cactushatch"))
        .parent()
        .expect("the binary is in a directory");
    let path = format!("{}:{}", binary.display(), std::env::var("PATH").unwrap());
    let mut last_plan = None;
    let commands = commands(&text);
    for command in &commands {
        let line = command.replace("PLAN", last_plan.as_deref().unwrap_or("PLAN"));
        let script = format!(". {}/env; {line}", fleet.path().display());
        let output = Command::new("bash")
            .args(["-ec", &script])
            .env("PATH", &path)
            .env("USER", "anna")
            .current_dir(dir)
            .output()
            .expect("bash runs");
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{}: {line}\n{stdout}{stderr}", page.display());
        last_plan = plan_id(&stdout).or(last_plan);
    }
    commands.len()
}

#[test]
fn every_command_of_the_operators_pages_succeeds() {
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
    assert!(ran > 20, "found only {ran} commands");
    let html = std::fs::read_to_string(dir.path().join("burn.html")).unwrap();
    assert!(html.contains("<svg"), "the report has no chart");
}

#[test]
fn relative_links_in_the_docs_resolve() {
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
            assert!(target.exists(), "{}: the target of {link} does not exist", page.display());
        }
    }
}
