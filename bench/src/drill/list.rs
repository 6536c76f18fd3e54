//! The list of drills.

/// A failure drill: a load, actions on the fleet during the load, and a bound on the write gap.
#[derive(Debug, Clone, Copy)]
pub struct Drill {
    /// The drill's name.
    pub name: &'static str,
    /// Whether the drill belongs to the short set for CI.
    pub is_short: bool,
    /// The number of voters in the control plane.
    pub voters: u32,
    /// Whether frames go through a link, so that a cut affects them too.
    pub link: bool,
    /// The duration of the load in seconds.
    pub seconds: u64,
    /// The actions, in the syntax of `load::Action`.
    pub actions: &'static [&'static str],
    /// The longest permitted write gap: the target for this kind of failure.
    pub max_gap_ms: Option<f64>,
    /// What the operator does during the load.
    pub operator: Operator,
}

/// What the operator does during a drill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    /// Nothing.
    Nothing,
    /// Two plans with the same base revision are confirmed concurrently; one must be accepted and the other refused.
    Race,
    /// A confirmation is sent twice; the second must get the same answer as the first.
    Resend,
    /// The primary of the first group is drained.
    Drain,
}

/// The bound after a crash of a primary.
const CRASH_GAP_MS: Option<f64> = Some(1_000.0);
/// The bound for a primary that is silent or cut off.
const SILENT_GAP_MS: Option<f64> = Some(2_500.0);
/// The bound for a switchover.
const SWITCHOVER_GAP_MS: Option<f64> = Some(200.0);

const fn drill(name: &'static str, actions: &'static [&'static str]) -> Drill {
    let operator = Operator::Nothing;
    Drill {
        name,
        is_short: false,
        voters: 1,
        link: false,
        seconds: 5,
        actions,
        max_gap_ms: None,
        operator,
    }
}

/// All drills, in the order in which they run.
pub const DRILLS: &[Drill] = &[
    Drill {
        is_short: true,
        max_gap_ms: CRASH_GAP_MS,
        ..drill("kill_primary", &["1500ms kill primary:ops-1"])
    },
    Drill { is_short: true, ..drill("kill_proxy", &["1500ms kill proxy-2"]) },
    Drill {
        is_short: true,
        ..drill("lose_answer", &["500ms fault primary:ops-1 {\"lose_after_commit\":20}"])
    },
    drill("terminate_proxy", &["1500ms terminate proxy-2"]),
    Drill {
        max_gap_ms: SILENT_GAP_MS,
        seconds: 8,
        ..drill("stop_primary", &["1500ms stop primary:ops-1", "5s resume last"])
    },
    Drill { seconds: 7, ..drill("stop_proxy", &["1500ms stop proxy-2", "5s resume proxy-2"]) },
    Drill {
        seconds: 8,
        max_gap_ms: SILENT_GAP_MS,
        ..drill(
            "stop_proxy_and_kill_primary",
            &["1500ms stop proxy-2", "1600ms kill primary:ops-1", "6s resume proxy-2"],
        )
    },
    Drill {
        voters: 3,
        link: true,
        seconds: 10,
        ..drill("cut_domain_of_proxy", &["1500ms cut b", "7s heal all"])
    },
    Drill {
        voters: 3,
        link: true,
        seconds: 10,
        max_gap_ms: SILENT_GAP_MS,
        ..drill("cut_domain_of_primary", &["1500ms cut primary:ops-1", "7s heal all"])
    },
    Drill {
        voters: 3,
        link: true,
        seconds: 12,
        ..drill(
            "cut_domain_and_kill_primary",
            &["1500ms cut b", "2s kill primary:ops-1", "7s heal all", "8s start ops-1-1"],
        )
    },
    Drill {
        voters: 3,
        link: true,
        seconds: 12,
        ..drill("isolated_leader_returns", &["1s cut a", "9s heal all"])
    },
    drill("late_answers", &["1s fault primary:ops-1 {\"late_ms\":700}", "3s fault last {}"]),
    drill(
        "second_answers",
        &[
            "500ms fault primary:ops-1 {\"twice_every\":17,\"twice_ms\":20}",
            "600ms fault replica:ops-1 {\"twice_every\":17,\"twice_ms\":100}",
        ],
    ),
    drill(
        "half_open",
        &[
            "1s fault primary:ops-1 {\"half_open\":true}",
            "1100ms fault replica:ops-2 {\"half_open\":true}",
        ],
    ),
    drill("lagging_replica", &["500ms fault replica:ops-1 {\"lag_ms\":2000}", "4s fault last {}"]),
    Drill {
        seconds: 6,
        ..drill(
            "rolled_behind",
            &[
                "1s save replica:ops-1",
                "2500ms kill last",
                "2600ms restore last",
                "2700ms start last",
            ],
        )
    },
    Drill {
        seconds: 8,
        max_gap_ms: CRASH_GAP_MS,
        ..drill("old_primary_returns", &["1500ms kill primary:ops-1", "3500ms start last"])
    },
    Drill {
        seconds: 10,
        max_gap_ms: CRASH_GAP_MS,
        ..drill(
            "two_primaries_in_turn",
            &["1500ms kill primary:ops-1", "3500ms start last", "6s kill primary:ops-1"],
        )
    },
    Drill {
        max_gap_ms: CRASH_GAP_MS,
        ..drill("kill_primary_and_proxy", &["1500ms kill primary:ops-1", "1500ms kill proxy-2"])
    },
    Drill {
        max_gap_ms: CRASH_GAP_MS,
        ..drill(
            "lose_answer_and_kill_primary",
            &["1s fault primary:ops-1 {\"lose_after_commit\":50}", "1200ms kill primary:ops-1"],
        )
    },
    Drill { operator: Operator::Race, ..drill("operator_race", &[]) },
    Drill { operator: Operator::Resend, ..drill("resent_command", &[]) },
    Drill {
        operator: Operator::Drain,
        max_gap_ms: SWITCHOVER_GAP_MS,
        ..drill("drain_primary", &[])
    },
    Drill {
        voters: 3,
        seconds: 7,
        max_gap_ms: SILENT_GAP_MS,
        ..drill(
            "kill_leader_and_primary",
            &["1500ms kill control-1", "1500ms kill primary:ops-1", "5s start control-1"],
        )
    },
    Drill {
        voters: 3,
        seconds: 10,
        ..drill(
            "lost_disk_of_a_voter",
            &["1s kill control-1", "1100ms wipe control-1", "1200ms start control-1"],
        )
    },
    Drill {
        voters: 3,
        seconds: 12,
        ..drill(
            "two_voters_lose_their_disks_in_turn",
            &[
                "500ms kill control-1",
                "600ms wipe control-1",
                "700ms start control-1",
                "6s kill control-2",
                "6100ms wipe control-2",
                "6200ms start control-2",
            ],
        )
    },
    Drill {
        voters: 3,
        seconds: 8,
        max_gap_ms: SILENT_GAP_MS,
        ..drill(
            "stop_leader_and_kill_primary",
            &["1500ms stop control-1", "1600ms kill primary:ops-1", "6s resume control-1"],
        )
    },
];
