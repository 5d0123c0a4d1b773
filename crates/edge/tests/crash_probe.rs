//! A process that dies slowly is seen dead; a live one is not.

use std::time::Duration;

use firspindle_edge::upstream_died;
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_millis(300);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// The connection that carried the request is gone, the listening socket closes 60 ms later: the
/// order in which a crash on a busy machine was seen.
#[test]
fn a_process_whose_listener_closes_last_is_seen_dead() {
    run(async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let dying = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            drop(listener);
        };
        let (died, ()) = tokio::join!(upstream_died(address, LIMIT), dying);
        assert!(died);
    });
}

#[test]
fn a_process_that_is_gone_is_seen_dead() {
    run(async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        drop(listener);
        assert!(upstream_died(address, LIMIT).await);
    });
}

#[test]
fn a_live_process_is_not_seen_dead() {
    run(async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        assert!(!upstream_died(address, LIMIT).await);
    });
}
