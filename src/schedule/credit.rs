//! Guaranteed parts of the time.

/// The time that a waiting class is owed from its guaranteed part, in seconds. While the class waits, each statement
/// that ends adds its duration times the guaranteed part; each start of the class takes the time that it is expected to
/// run for. So a class whose statements take `mean` waits for `mean` / `guaranteed` of service at most, and one that is
/// served anyway never goes ahead of another. Takes constant memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct Credit(f64);

impl Credit {
    /// Adds the part `guaranteed` of the time for which a statement ran. A class that is already owed the time of one
    /// statement, `mean`, is owed no more, so that it can't save turns for a burst.
    pub fn accrue(&mut self, guaranteed: f64, seconds: f64, mean: f64) {
        if !self.is_due(mean) {
            self.0 += guaranteed * seconds;
        }
    }

    /// Takes the time of a statement that starts.
    pub fn spend(&mut self, seconds: f64) {
        self.0 = (self.0 - seconds).max(0.0);
    }

    /// Returns whether the class is owed the time of one statement.
    pub fn is_due(self, mean: f64) -> bool {
        self.0 >= mean
    }

    /// Returns the time that is owed, in seconds.
    pub fn seconds(self) -> f64 {
        self.0
    }
}
