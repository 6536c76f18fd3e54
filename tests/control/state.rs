//! The replicated state: plans, confirmations, concurrent operators, resent commands, bounded size.

use cactushatch::control::state::{Action, Command, Intent, Origin, Outcome, State};
use cactushatch::id::{self, Revision};

const DECLARATIONS: &str = "class.read = { priority = 1, deadline = \"1s\" }\n\
    [group.ops]\ninstances = 3\nslots = 2\nconnections = 40\nconnect_time = \"10ms\"\n\
    default_class = \"read\"\n";

fn origin(command: &str, operator: &str) -> Option<Origin> {
    Some(Origin { command: command.parse().unwrap(), operator: operator.parse().unwrap() })
}

fn plan(state: &mut State, operator: &str, text: &str) -> Outcome {
    let plan: id::Plan = format!("plan-{operator}").parse().unwrap();
    let intent = Intent::Configure { text: text.to_owned() };
    let action = Action::Plan { plan, base: state.revision, intent, made_ms: 1_000 };
    state.apply(&Command { origin: origin(&format!("p-{operator}"), operator), action })
}

fn confirm(operator: &str, plan: &str, command: &str) -> Command {
    let plan = format!("plan-{plan}").parse().unwrap();
    let action = Action::Confirm { plan, now_ms: 2_000 };
    Command { origin: origin(command, operator), action }
}

fn effects(outcome: &Outcome) -> &[String] {
    match outcome {
        Outcome::Planned { effects, .. } => effects,
        other => panic!("{other:?} is not a plan"),
    }
}

fn reason(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Refused { reason } => reason,
        other => panic!("{other:?} is not refused"),
    }
}

fn configured() -> State {
    let mut state = State::default();
    plan(&mut state, "anna", DECLARATIONS);
    state.apply(&confirm("anna", "anna", "c-anna"));
    assert_eq!(state.revision, Revision(1));
    state
}

#[test]
fn a_plan_lists_changes_and_metrics_at_risk_and_changes_nothing() {
    let mut state = configured();
    let before = (state.revision, state.text.clone());
    let text =
        DECLARATIONS.replace("connections = 40", "connections = 60\ndurability = \"primary\"");
    let outcome = plan(&mut state, "ben", &text);
    let effects = effects(&outcome);
    assert_eq!(effects.len(), 2, "{effects:?}");
    assert!(effects[0].starts_with("group.ops.connections: 40 -> 60; at risk: "), "{effects:?}");
    assert!(effects[1].contains("writes lost at a failover"), "{effects:?}");
    assert_eq!((state.revision, state.text), before);
}

#[test]
fn of_two_plans_with_equal_base_only_the_first_confirmed_applies() {
    let mut state = configured();
    plan(&mut state, "ben", &DECLARATIONS.replace("40", "50"));
    plan(&mut state, "cleo", &DECLARATIONS.replace("40", "60"));
    let first = state.apply(&confirm("ben", "ben", "c-ben"));
    assert_eq!(first, Outcome::Done { revision: Revision(2) });
    let second = state.apply(&confirm("cleo", "cleo", "c-cleo"));
    let reason = reason(&second);
    assert!(reason.contains("ben put revision 2 in force"), "{reason}");
    assert!(reason.contains(&state.digest), "{reason}");
    assert!(state.text.contains("connections = 50"));
}

#[test]
fn a_resent_command_gets_its_first_outcome() {
    let mut state = configured();
    let planned = plan(&mut state, "ben", &DECLARATIONS.replace("40", "50"));
    assert_eq!(plan(&mut state, "ben", &DECLARATIONS.replace("40", "50")), planned);
    let first = state.apply(&confirm("ben", "ben", "c-ben"));
    plan(&mut state, "cleo", &DECLARATIONS.replace("40", "60"));
    state.apply(&confirm("cleo", "cleo", "c-cleo"));
    assert_eq!(state.apply(&confirm("ben", "ben", "c-ben")), first);
    assert_eq!(state.revision, Revision(3));
}

#[test]
fn a_reused_plan_id_is_refused_and_a_second_confirmation_names_the_first_operator() {
    let mut state = configured();
    plan(&mut state, "ben", &DECLARATIONS.replace("40", "50"));
    let plan: id::Plan = "plan-ben".parse().unwrap();
    let intent = Intent::Configure { text: DECLARATIONS.replace("40", "60") };
    let action = Action::Plan { plan, base: state.revision, intent, made_ms: 1_000 };
    let taken = state.apply(&Command { origin: origin("other", "cleo"), action });
    assert!(reason(&taken).contains("taken"));
    state.apply(&confirm("ben", "ben", "c-ben"));
    let second = state.apply(&confirm("cleo", "ben", "c-cleo"));
    assert!(reason(&second).contains("ben confirmed plan plan-ben already"));
}

#[test]
fn an_expired_plan_is_refused() {
    let mut state = configured();
    plan(&mut state, "ben", &DECLARATIONS.replace("40", "50"));
    let action = Action::Confirm { plan: "plan-ben".parse().unwrap(), now_ms: u64::MAX };
    let late = state.apply(&Command { origin: origin("late", "ben"), action });
    assert!(reason(&late).contains("has run out"));
    assert_eq!(state.revision, Revision(1));
}

#[test]
fn peaks_and_drains_are_applied_and_recorded() {
    let mut state = configured();
    let peak = Intent::Peak { group: "ops".parse().unwrap(), at_ms: 5_000, lasts_ms: 1_000 };
    let drain = Intent::Drain { instance: "ops-1".parse().unwrap() };
    for (name, intent) in [("peak", peak), ("drain", drain)] {
        let plan = format!("plan-{name}").parse().unwrap();
        let action = Action::Plan { plan, base: state.revision, intent, made_ms: 1_000 };
        let planned = state.apply(&Command { origin: origin(&format!("p-{name}"), "ben"), action });
        assert_eq!(effects(&planned).len(), 1);
        state.apply(&confirm("ben", name, &format!("c-{name}")));
    }
    assert_eq!(state.peaks.len(), 1);
    assert_eq!(state.draining.len(), 1);
    let records: Vec<&str> = state.records.iter().map(|record| record.what.as_str()).collect();
    assert_eq!(records, ["configure", "peak of ops", "drain ops-1"]);
}

#[test]
fn outcomes_plans_and_records_stay_bounded() {
    let mut state = configured();
    let padding = format!("# {}\n", "x".repeat(100_000));
    for number in 0..12_000_u32 {
        let plan: id::Plan = format!("plan-{number}").parse().unwrap();
        let changed =
            DECLARATIONS.replace("10ms", &format!("{}ms", number % 9_000 + 11)).replace("1s", "2s");
        let changed = changed.replace("instances = 3", "instances = 5").replace("40", "41");
        let changed =
            changed.replace("slots = 2", "slots = 3").replace("priority = 1", "priority = 2");
        let changed = changed.replace(
            "[group.ops]",
            &format!("[group.{}]", (if number % 20 < 10 { "o" } else { "p" }).repeat(100)),
        );
        let text = if number % 100 == 0 { format!("{padding}{DECLARATIONS}") } else { changed };
        let intent = Intent::Configure { text };
        let action = Action::Plan { plan, base: state.revision, intent, made_ms: 1_000 };
        state.apply(&Command { origin: origin(&format!("p-{number}"), "ben"), action });
        if number % 10 == 0 {
            state.apply(&confirm("ben", &number.to_string(), &format!("c-{number}")));
        }
    }
    let bytes = postcard::to_stdvec(&state).unwrap().len();
    assert!(
        bytes < cactushatch::wire::MAX_FRAME_BYTES,
        "the snapshot is too large for a frame: {bytes} bytes"
    );
}
