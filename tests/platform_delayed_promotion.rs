//! Tests on real processes that no acknowledged write is lost when the platform accepts an order to promote and carries it
//! out seconds later.

mod lines;

use std::time::Duration;

use lines::load::{Load, Outcome};
use lines::{Fleet, PROXIES};

/// The first primary of the group.
const FIRST_PRIMARY: &str = "i-21";

/// Number of acknowledged writes that show that the group is served.
const SERVED_WRITES: usize = 20;

/// How much later than usual a promotion takes effect.
const DELAY: Duration = Duration::from_secs(6);

/// Time in which all orders that were accepted take effect.
const EFFECT_DURATION: Duration = Duration::from_secs(9);

/// Time for which an instance is cut off while its promotion is to take effect.
const CUT_DURATION: Duration = Duration::from_secs(5);

/// A fleet under writes, whose platform is slow to promote.
struct Scene {
    fleet: Fleet,
    load: Load,
}

impl Scene {
    fn up(subnet: u8) -> Self {
        let fleet = Fleet::up_behind_paths(subnet);
        let load = Load::start(fleet.address(PROXIES[0], lines::FRONT_PORT), "w".to_owned());
        fleet.wait_until("the first writes", |_| load.count() >= SERVED_WRITES);
        fleet.group.delay_promotions(DELAY);
        Self { fleet, load }
    }

    /// Returns the instance that the first order names.
    fn wait_for_order(&self) -> String {
        let ordered = || self.fleet.group.promotions.lock().unwrap().first().cloned();
        self.fleet.wait_until("an order", |_| ordered().is_some());
        ordered().unwrap().0
    }

    fn wait_for_writes(&self) {
        let before = self.load.count();
        let is_served = || self.load.count() >= before + SERVED_WRITES;
        self.fleet.wait_until("writes are acknowledged", |_| is_served());
    }

    /// Checks that the instance that was promoted held each write that had been acknowledged, and that none is missing now.
    fn check(self) {
        self.wait_for_writes();
        std::thread::sleep(EFFECT_DURATION);
        self.wait_for_writes();
        let acknowledged = self.load.stop_with_times();
        let group = &self.fleet.group;
        let at_promotions = Outcome::lost_at_promotions(group, &acknowledged);
        let data: Vec<String> = acknowledged.into_iter().map(|(_, data)| data).collect();
        let outcome = Outcome::new(group, &data);
        let orders = group.promotions.lock().unwrap().clone();
        let result = format!(
            "{outcome}; lost at each promotion: {at_promotions:?}; {} orders: {orders:?}",
            orders.len()
        );
        eprintln!("{result}");
        let holds = outcome.is_right() && at_promotions.iter().all(|(_, lost)| *lost == 0);
        assert!(holds, "{result}\n{}", self.fleet.logs());
    }
}

#[test]
fn a_promotion_that_takes_effect_seconds_late_loses_no_write() {
    let scene = Scene::up(71);
    scene.fleet.group.crash(FIRST_PRIMARY);
    scene.wait_for_order();
    scene.check();
}

/// The old primary is back, with all its writes, before the order takes effect.
#[test]
fn a_late_promotion_loses_no_write_although_the_old_primary_has_come_back() {
    let scene = Scene::up(72);
    scene.fleet.group.detach(FIRST_PRIMARY);
    scene.wait_for_order();
    std::thread::sleep(Duration::from_secs(2));
    scene.fleet.group.attach(FIRST_PRIMARY);
    scene.check();
}

/// The instance is given up after some seconds, though the platform still reaches it and promotes it. What was acknowledged
/// meanwhile under another primary is missing there.
#[test]
fn a_late_promotion_of_an_instance_that_is_cut_off_meanwhile_loses_no_write() {
    let scene = Scene::up(73);
    scene.fleet.group.detach(FIRST_PRIMARY);
    let ordered = scene.wait_for_order();
    scene.fleet.group.detach(&ordered);
    scene.fleet.group.attach(FIRST_PRIMARY);
    scene.fleet.group.delay_promotions(Duration::ZERO);
    std::thread::sleep(CUT_DURATION);
    scene.fleet.wait_until("the order takes effect", |fleet| {
        fleet.group.effects().iter().any(|(_, instance, _)| *instance == ordered)
    });
    scene.fleet.group.attach(&ordered);
    scene.check();
}

/// An order that was accepted takes effect once; each repeat would be one more that may do so seconds later.
#[test]
fn an_order_that_was_accepted_is_not_repeated_while_it_may_take_effect() {
    let scene = Scene::up(74);
    scene.fleet.group.crash(FIRST_PRIMARY);
    let ordered = scene.wait_for_order();
    scene.fleet.wait_until("the order takes effect", |fleet| !fleet.group.effects().is_empty());
    let orders = scene.fleet.group.promotions.lock().unwrap().clone();
    let to_it = orders.iter().filter(|(instance, ..)| *instance == ordered).count();
    assert_eq!((to_it, orders.len()), (1, 1), "{orders:?}\n{}", scene.fleet.logs());
}
