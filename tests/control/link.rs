//! The evidence by which a connection between control processes is kept or replaced.

use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::control::link::{
    ANSWER_TIMEOUT, IDLE_TIMEOUT, Liveness, MIN_RATE, PING_INTERVAL, Verdict,
};

const FRAME_INTERVAL_MS: u64 = 50;

const FRAME_BYTES: usize = 200;

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000) + Duration::from_millis(ms)
}

/// Sends a frame every 50 ms over a connection whose pings are answered after `answer_ms`, from `silent_from` on never.
/// Returns when the connection was replaced and why, and the number of pings.
fn play(answer_ms: u64, silent_from: u64, end: u64) -> (Option<(u64, Verdict)>, u32) {
    let mut liveness = Liveness::new(at(0));
    let (mut answer_at, mut pings) = (None, 0);
    for now in (0..end).step_by(10) {
        if answer_at.is_some_and(|due| now >= due) {
            answer_at = None;
            liveness.record_answer(at(now));
        }
        if now % FRAME_INTERVAL_MS != 0 {
            continue;
        }
        match liveness.verdict(at(now)) {
            Verdict::Usable => {}
            Verdict::Ping => {
                pings += 1;
                liveness.record_ping(at(now));
                answer_at = (now < silent_from).then_some(now + answer_ms);
            }
            verdict => return (Some((now, verdict)), pings),
        }
        liveness.record_written(FRAME_BYTES);
    }
    (None, pings)
}

/// Guards against connections that are replaced though they work.
#[test]
fn a_connection_that_answers_is_kept() {
    for answer_ms in [0, 1, 20, 300, 700] {
        let (replaced, pings) = play(answer_ms, u64::MAX, 60_000);
        assert_eq!(replaced, None, "answers after {answer_ms} ms");
        assert!(pings <= 60_000 / PING_INTERVAL.as_millis() as u32, "{pings} pings a minute");
    }
}

/// Guards against a connection that is kept although nothing arrives on it any more.
#[test]
fn a_silent_connection_is_replaced_soon() {
    let limit = PING_INTERVAL + ANSWER_TIMEOUT + Duration::from_millis(2 * FRAME_INTERVAL_MS);
    for silent_from in (1_000..2_000).step_by(10) {
        let (replaced, _) = play(20, silent_from, 60_000);
        let (at, verdict) = replaced.expect("the connection is replaced");
        assert_eq!(verdict, Verdict::Silent);
        assert!(Duration::from_millis(at - silent_from) <= limit, "{silent_from} to {at} ms");
    }
}

/// Guards against a first frame that is lost on a connection which went silent while nobody used it.
#[test]
fn an_unused_connection_is_replaced_before_its_next_use() {
    let liveness = Liveness::new(at(0));
    let idle = IDLE_TIMEOUT.as_millis() as u64;
    assert_eq!(liveness.verdict(at(idle - 1)), Verdict::Ping);
    assert_eq!(liveness.verdict(at(idle)), Verdict::Idle);
}

/// Guards against a connection that is replaced while a long frame in front of the ping is still on its way.
#[test]
fn an_answer_may_come_later_after_a_long_frame() {
    let mut liveness = Liveness::new(at(0));
    liveness.record_written(2 * MIN_RATE as usize);
    liveness.record_ping(at(300));
    let due = 300 + 2_000 + ANSWER_TIMEOUT.as_millis() as u64;
    assert_eq!(liveness.verdict(at(due - 1)), Verdict::Usable);
    assert_eq!(liveness.verdict(at(due)), Verdict::Silent);
    liveness.record_answer(at(due));
    liveness.record_ping(at(due + 300));
    let due = due + 300 + ANSWER_TIMEOUT.as_millis() as u64;
    assert_eq!(liveness.verdict(at(due)), Verdict::Silent, "only unproven bytes count");
}

/// Guards against frames behind a ping that put off its answer for ever.
#[test]
fn frames_behind_a_ping_don_t_delay_its_answer() {
    let mut liveness = Liveness::new(at(0));
    liveness.record_ping(at(300));
    liveness.record_written(usize::MAX);
    let due = 300 + ANSWER_TIMEOUT.as_millis() as u64;
    assert_eq!(liveness.verdict(at(due)), Verdict::Silent);
}
