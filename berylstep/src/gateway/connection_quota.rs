//! Bound on the connections of a listener that serves short queries.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

use smol::channel::{bounded, Sender};
use smol::future;

/// Open connections of a listener. A new one beyond the bound closes the oldest: queries take milliseconds, so
/// it is one that its client holds open.
#[derive(Debug)]
pub struct ConnectionQuota {
    max_connections: usize,
    next_id: Cell<u64>,
    open: RefCell<VecDeque<(u64, Sender<()>)>>,
}

impl ConnectionQuota {
    /// Creates a quota without open connections.
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, next_id: Cell::new(0), open: RefCell::default() }
    }

    /// Serves a connection until `serving` ends or the connection must give way to a newer one.
    pub fn serve(self: &Rc<Self>, serving: impl Future<Output = ()>) -> impl Future<Output = ()> {
        let (closer, closing) = bounded(1);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let mut open = self.open.borrow_mut();
        while open.len() >= self.max_connections {
            let Some((oldest_id, oldest)) = open.pop_front() else { break };
            log::info!(
                "event=connection_closed reason=quota connection={oldest_id} open={}",
                open.len() + 1
            );
            if oldest.try_send(()).is_err() {
                log::debug!("event=connection_closed_already");
            }
        }
        open.push_back((id, closer));
        drop(open);
        let quota = self.clone();
        async move {
            let closed = async {
                if closing.recv().await.is_err() {
                    future::pending().await
                }
            };
            future::or(serving, closed).await;
            quota.open.borrow_mut().retain(|(other, _)| *other != id);
        }
    }
}
