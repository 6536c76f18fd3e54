//! Coloured output, used only on a terminal and if `NO_COLOR` is not set.

use std::fmt::Display;
use std::io::IsTerminal;

use clap::builder::styling::{AnsiColor, Style};

/// Styles text for standard output.
#[derive(Debug, Clone, Copy)]
pub(super) struct Colors {
    enabled: bool,
}

impl Colors {
    /// Enables colours depending on standard output and the environment.
    pub(super) fn stdout() -> Self {
        let no_color = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self { enabled: !no_color && std::io::stdout().is_terminal() }
    }

    /// Returns `text` in bold, for names.
    pub(super) fn bold(self, text: impl Display) -> String {
        self.style(Style::new().bold(), text)
    }

    /// Returns `text` in bold red, for states that need the operator's attention.
    pub(super) fn alert(self, text: impl Display) -> String {
        self.style(AnsiColor::Red.on_default().bold(), text)
    }

    fn style(self, style: Style, text: impl Display) -> String {
        if self.enabled { format!("{style}{text}{style:#}") } else { text.to_string() }
    }
}
