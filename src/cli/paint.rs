//! Colour for people: on a terminal only, and never when `NO_COLOR` is set.

use std::fmt::Display;
use std::io::IsTerminal;

use clap::builder::styling::{AnsiColor, Style};

/// Whether standard output takes colour.
#[derive(Debug, Clone, Copy)]
pub(super) struct Paint {
    on: bool,
}

impl Paint {
    /// Looks at standard output and the environment.
    pub(super) fn stdout() -> Self {
        let refused = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self { on: !refused && std::io::stdout().is_terminal() }
    }

    /// Returns a heading.
    pub(super) fn bold(self, text: impl Display) -> String {
        self.style(Style::new().bold(), text)
    }

    /// Returns what an operator should look at.
    pub(super) fn alarm(self, text: impl Display) -> String {
        self.style(AnsiColor::Red.on_default().bold(), text)
    }

    fn style(self, style: Style, text: impl Display) -> String {
        if self.on { format!("{style}{text}{style:#}") } else { text.to_string() }
    }
}
