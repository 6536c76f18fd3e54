//! What the log lets come in force: a term belongs to one instance, and only a frozen epoch is followed by another.

mod machine;

use cactushatch::control::state::{Action, Outcome, State};
use cactushatch::id;
use machine::{Control, START, group, name};

fn claim(term: u64, primary: &str) -> Action {
    Action::Claim { group: group(), term: id::Term(term), primary: name(primary) }
}

fn promote(term: u64, primary: &str) -> Action {
    let (term, start) = (id::Term(term), id::Position(9));
    Action::Promote { group: group(), term, primary: name(primary), start }
}

fn done(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done { .. })
}

fn begun() -> Control {
    let mut control = Control::elected(START, State::default(), 1);
    control.begin(START, "i1");
    control
}

#[test]
fn an_epoch_in_force_is_not_replaced() {
    let mut control = begun();
    assert!(!done(&control.commit(START, claim(2, "i2"))));
    assert!(!done(&control.commit(START, promote(2, "i2"))));
    control.freeze(START);
    assert!(done(&control.commit(START, claim(2, "i2"))));
    assert!(done(&control.commit(START, promote(2, "i2"))));
    assert!(
        !done(&control.commit(START, claim(3, "i3"))),
        "the claim of a former leader comes late"
    );
}

#[test]
fn a_term_belongs_to_one_instance() {
    let mut control = begun();
    control.freeze(START);
    assert!(!done(&control.commit(START, promote(2, "i2"))), "nobody reserved it");
    assert!(done(&control.commit(START, claim(2, "i2"))));
    assert!(!done(&control.commit(START, claim(2, "i3"))), "it was given already");
    assert!(!done(&control.commit(START, promote(2, "i3"))));
    assert!(done(&control.commit(START, claim(3, "i3"))));
    assert!(!done(&control.commit(START, promote(2, "i2"))), "a later term was given since");
    assert!(done(&control.commit(START, promote(3, "i3"))));
}
