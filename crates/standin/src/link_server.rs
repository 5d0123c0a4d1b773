//! A TCP link that can be cut, as a stand-in for the network.
//!
//! `SIGUSR1` cuts it: connections end and new ones are closed at once. `SIGUSR2` heals it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use clap::Args;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Settings of the link.
#[derive(Args)]
pub struct LinkArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address that connections are passed to.
    #[arg(long)]
    to: SocketAddr,
}

struct LinkState {
    cut: Cell<bool>,
    changed: Notify,
}

/// Passes connections on until the process ends.
pub async fn serve(args: LinkArgs) -> std::io::Result<()> {
    let state = Rc::new(LinkState { cut: Cell::new(false), changed: Notify::new() });
    let listener = TcpListener::bind(args.listen).await?;
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(watch(state.clone(), SignalKind::user_defined1(), true));
    tasks.spawn_local(watch(state.clone(), SignalKind::user_defined2(), false));
    tasks.run_until(accept(listener, args.to, state)).await
}

async fn watch(state: Rc<LinkState>, kind: SignalKind, cut: bool) {
    let Ok(mut signals) = signal(kind) else { return };
    while signals.recv().await.is_some() {
        state.cut.set(cut);
        state.changed.notify_waiters();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    state: Rc<LinkState>,
) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        if !state.cut.get() {
            tokio::task::spawn_local(pass_on(stream, to, state.clone()));
        }
    }
}

async fn pass_on(mut stream: TcpStream, to: SocketAddr, state: Rc<LinkState>) {
    let Ok(mut other) = TcpStream::connect(to).await else { return };
    let _ = stream.set_nodelay(true);
    let _ = other.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut other) => {}
        () = state.changed.notified() => {}
    }
}
