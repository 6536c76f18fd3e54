//! Runs the state machines of control and of the proxies through random schedules. Messages are lost, delayed,
//! duplicated and reordered; proxies are restarted and paused; instances stop and start; leaders are replaced but keep
//! running; links are cut and healed; clocks drift within the margin. `EXPLORER_SCHEDULES` sets the number of schedules,
//! `EXPLORER_SEED` the first seed and `EXPLORER_THREADS` the number of threads.

mod instance;
#[path = "../machine/mod.rs"]
mod machine;
mod simulation;

use simulation::Simulation;

/// The number of schedules unless `EXPLORER_SCHEDULES` sets another.
const DEFAULT_SCHEDULES: u64 = 120;

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_schedules_violate_no_invariant() {
    let first = env_or("EXPLORER_SEED", 1);
    let schedules = env_or("EXPLORER_SCHEDULES", DEFAULT_SCHEDULES);
    let threads = env_or("EXPLORER_THREADS", 2);
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
    assert!(total.acknowledged > schedules * 20, "too few acknowledged writes: {total:?}");
    assert!(total.promotions > schedules, "too few promotions: {total:?}");
}
