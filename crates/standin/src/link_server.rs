//! A TCP proxy that simulates a network link which can be cut.
//!
//! `SIGUSR1` cuts the link: open connections are closed, and new ones are closed when accepted.
//! `SIGUSR2` restores it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use clap::Args;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Command-line arguments of the link.
#[derive(Args)]
pub struct LinkArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address to forward connections to.
    #[arg(long)]
    to: SocketAddr,
}

struct LinkState {
    cut: Cell<bool>,
    /// Notified whenever the link is cut or restored; ends the open connections.
    changed: Notify,
}

/// Forwards connections until accepting one fails.
pub async fn serve(args: LinkArgs) -> std::io::Result<()> {
    let state = Rc::new(LinkState { cut: Cell::new(false), changed: Notify::new() });
    let listener = TcpListener::bind(args.listen).await?;
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(set_cut_on_signal(state.clone(), SignalKind::user_defined1(), true));
    tasks.spawn_local(set_cut_on_signal(state.clone(), SignalKind::user_defined2(), false));
    tasks.run_until(accept_connections(listener, args.to, state)).await
}

async fn set_cut_on_signal(state: Rc<LinkState>, kind: SignalKind, cut: bool) {
    let Ok(mut signals) = signal(kind) else { return };
    while signals.recv().await.is_some() {
        state.cut.set(cut);
        state.changed.notify_waiters();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: Rc<LinkState>,
) -> std::io::Result<()> {
    loop {
        let (incoming, _) = listener.accept().await?;
        if !state.cut.get() {
            tokio::task::spawn_local(forward_connection(incoming, target, state.clone()));
        }
    }
}

async fn forward_connection(mut incoming: TcpStream, target: SocketAddr, state: Rc<LinkState>) {
    let Ok(mut outgoing) = TcpStream::connect(target).await else { return };
    let _ = incoming.set_nodelay(true);
    let _ = outgoing.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut incoming, &mut outgoing) => {}
        () = state.changed.notified() => {}
    }
}
