//! Tests that a change between two revisions of the declarations turns the one into the other, and is as small as what
//! changed.

use std::time::Duration;

use cactushatch::config::{Change, Fleet, Span};
use cactushatch::id;
use cactushatch::wire::{Body, Configuration, Frame};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The bytes that docs/CAPACITY.md allows for one change to reach a process.
const MAX_CHANGE_BYTES: usize = 400;

/// Returns declarations with these groups and databases. Each database has its own timeout.
fn fleet(groups: &[u8], databases: &[(u16, u8, u64)], idle_ms: Option<u64>) -> Fleet {
    let mut text = String::new();
    if let Some(idle) = idle_ms {
        text += &format!("idle_transaction = \"{idle}ms\"\n");
    }
    text += "[class.c]\npriority = 0\ndeadline = \"1s\"\n";
    for group in groups {
        text += &format!(
            "[group.g{group}]\ninstances = 3\nslots = 2\nconnections = 34\nconnect_time = \"10ms\"\n\
             durability = \"majority\"\ndefault_class = \"c\"\n"
        );
    }
    for (number, group, timeout) in databases {
        text += &format!(
            "[database.d{number}]\ngroup = \"g{group}\"\nclass = \"c\"\nreads = \"bounded\"\n\
             max_age = \"500ms\"\ntimeout = \"{timeout}ms\"\ntarget = \"200ms\"\n"
        );
    }
    Fleet::parse("fleet", &text).expect("valid declarations")
}

/// Guards against configurations that go whole to every proxy with each revision: they kept the proxies' links busy, and
/// everything else on these waited.
#[test]
fn one_changed_database_of_a_thousand_is_sent_in_few_bytes() {
    let mut databases: Vec<(u16, u8, u64)> =
        (0..1_000).map(|number| (number, 1, 800 + u64::from(number % 7))).collect();
    let old = fleet(&[1], &databases, None);
    databases[500].2 = 900;
    databases.push((1_000, 1, 800));
    databases.remove(3);
    let new = fleet(&[1], &databases, None);
    let configuration = Configuration {
        since: id::Revision(41),
        revision: id::Revision(42),
        change: Change::between(&old, &new),
    };
    let frame = Frame {
        sender: "control-1".parse().expect("a name"),
        incarnation: id::Incarnation(1),
        body: Body::Configuration(configuration),
    };
    let bytes = frame.encode().expect("a frame").len();
    assert!(bytes <= 3 * MAX_CHANGE_BYTES, "{bytes} bytes for three changes");
}

#[test]
fn the_idle_timeout_of_transactions_is_part_of_a_change() {
    let (old, new) = (fleet(&[1], &[], Some(3_000)), fleet(&[1], &[], None));
    let mut changed = old.clone();
    Change::between(&old, &new).apply(&mut changed);
    assert_eq!(changed.idle_transaction, None);
    Change::between(&new, &old).apply(&mut changed);
    assert_eq!(changed.idle_transaction, Some(Span(Duration::from_secs(3))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_change_that_was_sent_turns_the_old_declarations_into_the_new_ones(
        old in prop::collection::btree_map(0_u16..12, (1_u8..3, 100_u64..104), 0..10),
        new in prop::collection::btree_map(0_u16..12, (1_u8..3, 100_u64..104), 0..10),
        groups in 2_u8..4,
    ) {
        let build = |databases: &std::collections::BTreeMap<u16, (u8, u64)>, groups: u8| {
            let databases: Vec<_> = databases.iter().map(|(n, (g, t))| (*n, *g, *t)).collect();
            fleet(&(1..=groups).collect::<Vec<_>>(), &databases, None)
        };
        let (old, new) = (build(&old, 2), build(&new, groups));
        let bytes = postcard::to_stdvec(&Change::between(&old, &new)).expect("a change");
        let change: Change = postcard::from_bytes(&bytes).expect("a change");
        let mut changed = old;
        change.apply(&mut changed);
        prop_assert_eq!(changed, new);
    }
}
