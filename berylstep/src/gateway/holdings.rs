//! What this node holds for its clients: memory, connections, and who gives way when they run out.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::byte_account::{
    AccountBounds, ByteAccount, ClientGroup, ConnectionId, ConnectionPhase, HoldVerdict,
    OpenVerdict,
};
use smol::channel::{bounded, Receiver, Sender};

use crate::clock::RuntimeClock;
use crate::gateway::client_metrics::ClientMetrics;
use crate::gateway::notifier::ChangeNotifier;

/// Time after which a client that found no place looks again; a connection may have stalled meanwhile.
const PLACE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Account of all clients' connections, with the means to close them.
#[derive(Debug)]
pub struct Holdings {
    clock: RuntimeClock,
    account: RefCell<ByteAccount>,
    /// Tells the task of a connection that it must close.
    closers: RefCell<HashMap<ConnectionId, Sender<()>>>,
    place_freed: ChangeNotifier,
    metrics: ClientMetrics,
}

/// A connection of a client; what it holds is free once it is dropped.
#[derive(Debug)]
pub struct HoldGuard {
    holdings: Rc<Holdings>,
    id: ConnectionId,
    closing: Receiver<()>,
}

impl Holdings {
    /// Creates an account of which nothing is in use.
    pub fn new(clock: RuntimeClock, bounds: AccountBounds, metrics: ClientMetrics) -> Self {
        Self {
            clock,
            account: RefCell::new(ByteAccount::new(bounds)),
            closers: RefCell::default(),
            place_freed: ChangeNotifier::default(),
            metrics,
        }
    }

    /// Opens a connection. Waits up to `patience` for one that gives way; `None` if there is none.
    pub async fn open(self: &Rc<Self>, client: IpAddr, patience: Duration) -> Option<HoldGuard> {
        let group = ClientGroup::Address(client);
        let until = self.clock.now() + patience;
        loop {
            let now = self.clock.now();
            let verdict = self.account.borrow_mut().open(group.clone(), now);
            if let OpenVerdict::Opened(id, closed) = verdict {
                self.close_all(closed, "connections");
                let (closer, closing) = bounded(1);
                self.closers.borrow_mut().insert(id, closer);
                self.export();
                return Some(HoldGuard { holdings: self.clone(), id, closing });
            }
            if now >= until {
                self.metrics.record_refused("connections", now);
                return None;
            }
            self.place_freed.wait(&self.clock, PLACE_POLL_INTERVAL).await;
        }
    }

    fn close_all(&self, ids: impl IntoIterator<Item = ConnectionId>, reason: &'static str) {
        for id in ids {
            let closer = self.closers.borrow_mut().remove(&id);
            if closer.is_some_and(|closer| closer.try_send(()).is_ok()) {
                self.metrics.record_closed(reason, self.clock.now());
            }
        }
    }

    fn export(&self) {
        let account = self.account.borrow();
        self.metrics.held_bytes.set(account.held() as i64);
        self.metrics.connections.set(account.connections() as i64);
    }
}

impl HoldGuard {
    /// Lets the connection hold `content` bytes in a phase; returns `false` if there is no memory for them.
    pub fn hold(&self, phase: ConnectionPhase, content: usize) -> bool {
        let holdings = &self.holdings;
        let now = holdings.clock.now();
        let verdict = holdings.account.borrow_mut().hold(self.id, phase, content, now);
        let (is_granted, closed) = match verdict {
            HoldVerdict::Granted(closed) => (true, closed),
            HoldVerdict::Refused(closed) => (false, closed),
        };
        holdings.close_all(closed, "memory");
        if !is_granted {
            holdings.metrics.record_refused("memory", now);
        }
        holdings.export();
        is_granted
    }

    /// Counts the connection towards an organisation from now on.
    pub fn assign(&self, organisation: SharedName) {
        let group = ClientGroup::Organisation(organisation);
        self.holdings.account.borrow_mut().assign(self.id, group);
    }

    /// Records that `content` bytes wait until the client reads. They are counted even if the account is full,
    /// because they are held already; the client may then have to give way.
    pub fn set_writing(&self, content: usize) {
        if !self.hold(ConnectionPhase::Writing, content) {
            self.hold(ConnectionPhase::Writing, 0);
        }
    }

    /// Records that the client has read what waited.
    pub fn set_serving(&self, content: usize) {
        if !self.hold(ConnectionPhase::Serving, content) {
            self.hold(ConnectionPhase::Serving, 0);
        }
    }

    /// Waits until the connection must close in favour of another one.
    pub async fn wait_closing(&self) {
        if self.closing.recv().await.is_err() {
            // The connection has been told already.
            smol::future::pending().await
        }
    }
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        self.holdings.account.borrow_mut().close(self.id);
        self.holdings.closers.borrow_mut().remove(&self.id);
        self.holdings.place_freed.notify();
        self.holdings.export();
    }
}
