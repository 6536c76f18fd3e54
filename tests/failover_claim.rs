//! Tests the rules of the replicated state for terms: a term belongs to one instance, and a new epoch comes in force
//! only after the previous one was frozen.

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

fn is_done(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done { .. })
}

fn active_group() -> Control {
    let mut control = Control::elected(START, State::default(), 1);
    control.promote_first(START, "i1");
    control
}

#[test]
fn an_epoch_is_replaced_only_after_it_was_frozen() {
    let mut control = active_group();
    assert!(!is_done(&control.commit(START, claim(2, "i2"))));
    assert!(!is_done(&control.commit(START, promote(2, "i2"))));
    control.freeze(START);
    assert!(is_done(&control.commit(START, claim(2, "i2"))));
    assert!(is_done(&control.commit(START, promote(2, "i2"))));
    assert!(
        !is_done(&control.commit(START, claim(3, "i3"))),
        "a late claim of a former leader is refused"
    );
}

#[test]
fn a_term_belongs_to_one_instance() {
    let mut control = active_group();
    control.freeze(START);
    assert!(!is_done(&control.commit(START, promote(2, "i2"))), "the term was not reserved");
    assert!(is_done(&control.commit(START, claim(2, "i2"))));
    assert!(!is_done(&control.commit(START, claim(2, "i3"))), "the term was reserved for i2");
    assert!(!is_done(&control.commit(START, promote(2, "i3"))));
    assert!(is_done(&control.commit(START, claim(3, "i3"))));
    assert!(!is_done(&control.commit(START, promote(2, "i2"))), "a later term was reserved since");
    assert!(is_done(&control.commit(START, promote(3, "i3"))));
}
