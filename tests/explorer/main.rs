//! Random schedules over the machines that decide: messages are lost, late, doubled and reordered, proxies are
//! restarted and stopped, leaders replaced while they run on, links cut and healed, clocks drift within the
//! margin. `EXPLORER_SCHEDULES` sets how many are tried, `EXPLORER_SEED` where they begin.

mod instance;
#[path = "../machine/mod.rs"]
mod machine;
mod simulation;

use simulation::Simulation;

/// The schedules of a plain test run.
const SCHEDULES: u64 = 120;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_schedule_breaks_the_rules() {
    let first = setting("EXPLORER_SEED", 1);
    let schedules = setting("EXPLORER_SCHEDULES", SCHEDULES);
    let threads = setting("EXPLORER_THREADS", 2);
    let total = std::sync::Mutex::new(simulation::Counts::default());
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let total = &total;
            scope.spawn(move || {
                for seed in (first + thread..first + schedules).step_by(threads as usize) {
                    let counts = Simulation::new(seed).run();
                    total.lock().unwrap().add(&counts);
                }
            });
        }
    });
    let total = total.into_inner().unwrap();
    println!("{schedules} schedules from seed {first}: {total:?}");
    assert!(total.acknowledged > schedules * 20, "too little happened: {total:?}");
    assert!(total.promotions > schedules, "too little happened: {total:?}");
}
