//! Figures and their samples.

use serde::Serialize;

/// A measured quantity and its samples.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// The name of the quantity.
    pub name: String,
    /// The unit of the samples.
    pub unit: &'static str,
    /// The deployment, and other conditions of the measurement.
    pub case: String,
    /// The samples.
    pub samples: Vec<f64>,
}

impl Figure {
    /// Returns a figure with one sample.
    pub fn new(name: &str, unit: &'static str, case: &str, sample: f64) -> Self {
        Self { name: name.to_owned(), unit, case: case.to_owned(), samples: vec![sample] }
    }

    /// Returns the table row for `docs/MEASURES.md`, without the date.
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

/// Adds a figure's samples to the figure of the same name and case, or adds the figure if there is none.
pub fn merge(figures: &mut Vec<Figure>, figure: Figure) {
    let same = |known: &&mut Figure| known.name == figure.name && known.case == figure.case;
    match figures.iter_mut().find(same) {
        Some(known) => known.samples.extend(figure.samples),
        None => figures.push(figure),
    }
}
