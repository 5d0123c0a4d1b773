//! Tests that a crashed process is detected, also while it is still closing its sockets, and that a
//! live one is not reported as dead.

use std::time::Duration;

use firspindle_edge::upstream_died;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(300);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("building a Tokio runtime succeeds").block_on(test);
}

/// The connection that carried the request is already closed, and the listening socket follows
/// 60 ms later; a crash on a busy machine closed them in this order. A probe that does not wait for
/// the listening socket would take the process for a live one.
#[test]
fn a_process_whose_listener_closes_late_is_reported_dead() {
    run(async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let dying = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            drop(listener);
        };
        let (died, ()) = tokio::join!(upstream_died(address, TIMEOUT), dying);
        assert!(died);
    });
}

#[test]
fn a_process_that_has_exited_is_reported_dead() {
    run(async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        assert!(upstream_died(address, TIMEOUT).await);
    });
}

#[test]
fn a_live_process_is_not_reported_dead() {
    run(async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        assert!(!upstream_died(address, TIMEOUT).await);
    });
}
