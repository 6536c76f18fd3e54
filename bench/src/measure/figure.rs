//! One figure with its samples.

use serde::Serialize;

/// One figure with its samples.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// What it is of.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// The deployment and what else sets it apart.
    pub case: String,
    /// The samples.
    pub samples: Vec<f64>,
}

impl Figure {
    /// Makes a figure with one sample.
    pub fn new(name: &str, unit: &'static str, case: &str, sample: f64) -> Self {
        Self { name: name.to_owned(), unit, case: case.to_owned(), samples: vec![sample] }
    }

    /// Returns the row for `docs/MEASURES.md`, but for the date.
    pub fn row(&self, label: &str) -> String {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        let (min, max) = (sorted[0], sorted[sorted.len() - 1]);
        let median = sorted[sorted.len() / 2];
        let Self { name, unit, case, .. } = self;
        format!(
            "| {label} | {name} | {case} | {} | {min:.3} | {median:.3} | {max:.3} | {unit} |",
            sorted.len()
        )
    }
}

/// Adds a figure's samples to those of the same name and case.
pub fn merge(figures: &mut Vec<Figure>, figure: Figure) {
    let same = |known: &&mut Figure| known.name == figure.name && known.case == figure.case;
    match figures.iter_mut().find(same) {
        Some(known) => known.samples.extend(figure.samples),
        None => figures.push(figure),
    }
}
