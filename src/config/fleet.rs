//! The declarations: groups, their classes of requests, and their requests.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::{Error, Span};
use crate::id;

/// All declarations of a fleet, checked.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The classes of requests.
    #[serde(default)]
    pub class: BTreeMap<id::Class, Class>,
    /// The database groups.
    #[serde(default)]
    pub group: BTreeMap<id::Group, Group>,
}

/// A class of requests: who goes first, and how long an answer may take.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Lower goes first.
    pub priority: u8,
    /// How long after its arrival a request is answered at the latest.
    pub deadline: Span,
}

/// A database group.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// How many instances the group has, the primary included.
    pub instances: u32,
    /// How many statements an instance runs at once.
    pub slots: u32,
    /// How many connections an instance takes from the whole system.
    pub connections: u32,
    /// How long a new connection takes.
    pub connect_time: Span,
    /// When a write is acknowledged.
    #[serde(default)]
    pub durability: Durability,
    /// The class of a statement that names no request.
    pub default_class: id::Class,
    /// The declared requests.
    #[serde(default)]
    pub request: BTreeMap<id::Request, Request>,
    /// The declared peaks.
    #[serde(default)]
    pub peak: Vec<Peak>,
}

/// When a write is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// When a majority of the group's instances holds it, so that any promotion must find it.
    #[default]
    Majority,
    /// When the primary holds it.
    Primary,
}

/// A declared request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Its class.
    pub class: id::Class,
    /// How old the data may be that it reads, when it may be old at all.
    pub max_age: Option<Span>,
    /// Whether it may never run twice; its key comes with the request.
    #[serde(default)]
    pub once: bool,
    /// How long the key of a `once` request is kept.
    pub keep: Option<Span>,
    /// Whether it may be resent without a key.
    #[serde(default)]
    pub idempotent: bool,
}

/// A declared peak: connections are opened ahead of it every day.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peak {
    /// When it begins, UTC, as `HH:MM`.
    pub at: String,
    /// How long it lasts.
    pub lasts: Span,
}

impl Fleet {
    /// Reads and checks declarations; `path` names them in errors.
    ///
    /// # Errors
    ///
    /// Fails when the text is not valid TOML or declares something that can't be.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let invalid = |message| Error::Invalid { path: path.to_owned(), message };
        let fleet: Self = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
        fleet.check().map_err(invalid)?;
        Ok(fleet)
    }

    fn check(&self) -> Result<(), String> {
        for (name, group) in &self.group {
            let classes = group.request.values().map(|request| &request.class);
            for class in classes.chain([&group.default_class]) {
                if !self.class.contains_key(class) {
                    return Err(format!("group.{name}: class {class} is not declared"));
                }
            }
        }
        Ok(())
    }
}
