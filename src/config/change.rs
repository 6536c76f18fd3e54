//! The difference between two revisions of the declarations, which is sent to processes that have the earlier one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Account, Class, Database, Fleet, Group, Span};
use crate::id;

/// What changed from one revision of the declarations to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Change {
    class: Entries<id::Class, Class>,
    group: Entries<id::Group, Group>,
    database: Entries<id::Database, Database>,
    idle_transaction: Option<Span>,
    account: Entries<id::Account, Account>,
    require_account: bool,
}

/// The changed entries of one table: the new declaration of each, or `None` if it was removed.
type Entries<K, V> = Vec<(K, Option<V>)>;

impl Change {
    /// Returns the change from `old` to `new`.
    pub fn between(old: &Fleet, new: &Fleet) -> Self {
        Self {
            class: changed_entries(&old.class, &new.class),
            group: changed_entries(&old.group, &new.group),
            database: changed_entries(&old.database, &new.database),
            idle_transaction: new.idle_transaction,
            account: changed_entries(&old.account, &new.account),
            require_account: new.require_account,
        }
    }

    /// Applies the change to the declarations that it was made from.
    pub fn apply(self, fleet: &mut Fleet) {
        apply_entries(self.class, &mut fleet.class);
        apply_entries(self.group, &mut fleet.group);
        apply_entries(self.database, &mut fleet.database);
        fleet.idle_transaction = self.idle_transaction;
        apply_entries(self.account, &mut fleet.account);
        fleet.require_account = self.require_account;
    }
}

fn changed_entries<K: Clone + Ord, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> Entries<K, V> {
    let set = new.iter().filter(|(key, value)| old.get(key) != Some(value));
    let set = set.map(|(key, value)| (key.clone(), Some(value.clone())));
    let removed = old.keys().filter(|key| !new.contains_key(key)).map(|key| (key.clone(), None));
    set.chain(removed).collect()
}

fn apply_entries<K: Ord, V>(entries: Entries<K, V>, table: &mut BTreeMap<K, V>) {
    for (key, value) in entries {
        match value {
            Some(value) => table.insert(key, value),
            None => table.remove(&key),
        };
    }
}
