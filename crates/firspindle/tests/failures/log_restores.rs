//! A log that comes back from an older copy: what was written since is lost, and its offsets are
//! given out again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, longest_gap, wait_until};

use crate::fleet_checks::{
    LOSS_BOUND, PARTITIONS, SETTLE_TIMEOUT, SHORT_TIMEOUT, manifest, run_for, start_fleet,
    start_load, stop_and_check, wait_until_settled,
};
use crate::log_faults::{MANIFEST_TIMEOUT, version, wait_for_version};

/// Time for which callers run before the restore.
const STEADY_TIME: Duration = Duration::from_millis(700);

/// Time for which callers run after a restore; longer than [`LOSS_BOUND`], in which service must
/// return.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Lets hosts be replaced, so that the log has records of which a restore leaves none.
fn replace_host(fleet: &mut Fleet, host: usize) {
    fleet.kill_host(host);
    wait_until("the others serve all partitions", SETTLE_TIMEOUT, || {
        let others = (0..fleet.nodes.len()).filter(|other| *other != host);
        let served: usize = others.map(|other| fleet.partitions(other).len()).sum();
        (served == PARTITIONS).then_some(())
    });
    fleet.start_node(host);
    fleet.start_upstream(host);
    wait_until_settled(fleet);
}

/// Writes a manifest that a restore lost, which a node may have put in force again before.
fn publish_again(fleet: &Fleet, text: &str, wanted: u64) {
    let output = fleet.publish(text);
    let (code, error) = (output.status.code(), String::from_utf8_lossy(&output.stderr));
    assert!(code == Some(0) || code == Some(3), "version {wanted}: {code:?}, {error}");
}

/// Runs `steps` while the manifest version of each node is read, and asserts that none falls.
fn assert_no_reversion(fleet: &Fleet, steps: impl FnOnce()) {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            let mut newest = vec![0; fleet.nodes.len()];
            while !done.load(Ordering::Relaxed) {
                for (host, newest) in newest.iter_mut().enumerate() {
                    let Some(status) = fleet.status(host) else { continue };
                    let version = status["manifest_version"].as_u64().unwrap_or(0);
                    assert!(version >= *newest, "host {host}: version {newest}, then {version}");
                    *newest = version;
                }
                run_for(Duration::from_millis(20));
            }
        });
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(steps));
        done.store(true, Ordering::Relaxed);
        watcher.join().expect("no manifest reverts");
        result.unwrap_or_else(|panic| std::panic::resume_unwind(panic));
    });
}

fn check_restore_under_load(lost_host: bool) {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let end = fleet.log_end();
    if lost_host {
        replace_host(&mut fleet, 3);
    }
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let restored_at = Instant::now();
    fleet.restore_log(if lost_host { end } else { end / 2 });
    run_for(RECOVERY_TIME);
    // What is written now gets offsets that the lost history had given out.
    replace_host(&mut fleet, 2);
    let rows = stop_and_check(&fleet, generator);
    let gap = longest_gap(&rows, restored_at, restored_at + RECOVERY_TIME);
    eprintln!("longest time without service after the restore: {} ms", gap.as_millis());
    assert!(gap <= LOSS_BOUND, "a key was not served for {gap:?}");
}

#[test]
fn a_restored_log_leaves_each_key_one_owner() {
    check_restore_under_load(true);
}

#[test]
fn a_log_restored_to_a_time_before_its_members_leaves_each_key_one_owner() {
    check_restore_under_load(false);
}

/// The host's right is known only from before the restore, and nothing ends it but its witnesses.
#[test]
fn a_host_lost_together_with_the_log_is_replaced() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 5, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let lost_at = Instant::now();
    generator.disable_endpoint(1);
    fleet.kill_host(1);
    fleet.restore_log(fleet.log_end() / 2);
    run_for(RECOVERY_TIME);
    let rows = stop_and_check(&fleet, generator);
    let gap = longest_gap(&rows, lost_at, lost_at + RECOVERY_TIME);
    eprintln!("longest time without service after the restore: {} ms", gap.as_millis());
    assert!(gap <= LOSS_BOUND, "a key was not served for {gap:?}");
}

#[test]
fn a_log_that_is_away_and_then_restored_several_times_leaves_each_key_one_owner() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    let mut last_restore = Instant::now();
    for (lost, pause_ms) in [(4, 300), (9, 900), (14, 1700), (3, 2500)] {
        let end = fleet.log_end().saturating_sub(lost).max(1);
        fleet.set_log_faults(r#"{"down": true}"#);
        run_for(Duration::from_millis(400));
        fleet.restore_log(end);
        fleet.set_log_faults("{}");
        last_restore = Instant::now();
        run_for(Duration::from_millis(pause_ms));
    }
    run_for(RECOVERY_TIME);
    let rows = stop_and_check(&fleet, generator);
    let gap = longest_gap(&rows, last_restore, last_restore + RECOVERY_TIME);
    eprintln!("longest time without service after the last restore: {} ms", gap.as_millis());
    assert!(gap <= LOSS_BOUND, "a key was not served for {gap:?}");
}

/// What its host ran may still run, which only another process of the upstream ends.
#[test]
fn after_a_restore_an_upstream_without_grant_checks_holds_up_its_own_service_only() {
    let mut spec = FleetSpec::one_service("registre", 4, 3);
    spec.nodes[3].service = "archives".to_owned();
    spec.nodes[3].upstream_args.push("--checks-grants=false".to_owned());
    let mut fleet = Fleet::start(spec);
    let archives = "[[service]]\nname = \"archives\"\npartitions = 4\n";
    let output = fleet.publish(&manifest(0, archives));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    fleet.wait_until_served(PARTITIONS + 4);
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let restored_at = Instant::now();
    fleet.restore_log(fleet.log_end() / 2);
    run_for(RECOVERY_TIME);
    let rows = stop_and_check(&fleet, generator);
    let gap = longest_gap(&rows, restored_at, restored_at + RECOVERY_TIME);
    assert!(gap <= LOSS_BOUND, "a key was not served for {gap:?}");
    assert_eq!(fleet.owner("archives", "key"), None, "its earlier right may last");
    fleet.kill_host(3);
    fleet.start_node(3);
    fleet.start_upstream(3);
    fleet.wait_until_served(PARTITIONS + 4);
}

#[test]
fn a_manifest_written_again_after_a_restore_is_in_force_in_time() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let end = fleet.log_end();
    let texts: Vec<_> =
        (1..4).map(|replaces| manifest(replaces, &format!("queue_limit = {replaces}0"))).collect();
    for text in &texts[..2] {
        assert!(fleet.publish(text).status.success());
    }
    replace_host(&mut fleet, 3);
    assert_no_reversion(&fleet, || {
        fleet.restore_log(end);
        publish_again(&fleet, &texts[0], 2);
        publish_again(&fleet, &texts[1], 3);
        wait_for_version(&fleet, 3);
        let output = fleet.publish(&texts[2]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        wait_for_version(&fleet, 4);
        run_for(RECOVERY_TIME);
        assert!((0..4).all(|host| version(&fleet, host) == 4));
    });
}

#[test]
fn a_node_that_starts_after_a_restore_has_the_newest_manifest_and_serves() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    fleet.kill_host(3);
    let end = fleet.log_end();
    assert!(fleet.publish(&manifest(1, "queue_limit = 50")).status.success());
    wait_for_version(&fleet, 2);
    fleet.restore_log(end);
    fleet.start_node(3);
    fleet.start_upstream(3);
    wait_until("the new process has the manifest", MANIFEST_TIMEOUT, || {
        (version(&fleet, 3) == 2).then_some(())
    });
    wait_until_settled(&fleet);
    let output = fleet.publish(&manifest(2, "queue_limit = 60"));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    wait_for_version(&fleet, 3);
}
