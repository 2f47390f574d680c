use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pollenlever_core::Timestamp;
use pollenlever_core::policy::Policy;
use tokio::sync::Notify;

/// Longest time between two ticks, even if the state machine wants none.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two ticks, unless an event wakes the thread.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// A state machine that receives events from several threads. One thread, the driver, calls
/// [`tick`](SharedMachine::tick) and carries out the actions.
pub(crate) struct SharedMachine<P: Policy> {
    inner: Mutex<Inner<P>>,
    start: Instant,
    wake: Notify,
    is_stopped: AtomicBool,
}

struct Inner<P: Policy> {
    state_machine: P,
    actions: Vec<P::Action>,
}

impl<P: Policy> SharedMachine<P> {
    pub(crate) fn new(state_machine: P) -> SharedMachine<P> {
        SharedMachine {
            inner: Mutex::new(Inner { state_machine, actions: Vec::new() }),
            start: Instant::now(),
            wake: Notify::new(),
            is_stopped: AtomicBool::new(false),
        }
    }

    /// Handles an event and returns the first action for which `is_immediate` is true. The other
    /// actions are queued for the driver, which is woken.
    pub(crate) fn handle_event(
        &self,
        event: P::Event,
        is_immediate: impl Fn(&P::Action) -> bool,
    ) -> Option<P::Action> {
        let mut inner = self.lock();
        let mut actions = Vec::new();
        inner.state_machine.handle(self.start.elapsed(), event, &mut actions);
        let picked = actions.iter().position(is_immediate).map(|at| actions.remove(at));
        inner.actions.append(&mut actions);
        drop(inner);
        self.wake.notify_one();
        picked
    }

    /// Handles an event and queues all of its actions for the driver.
    pub(crate) fn notify(&self, event: P::Event) {
        self.handle_event(event, |_| false);
    }

    /// Handles the passing of time and returns all queued actions, oldest first.
    pub(crate) fn tick(&self, tick: P::Event) -> Vec<P::Action> {
        let mut inner = self.lock();
        let mut actions = std::mem::take(&mut inner.actions);
        inner.state_machine.handle(self.start.elapsed(), tick, &mut actions);
        actions
    }

    /// Calls `read` with the locked state machine.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&P) -> T) -> T {
        read(&self.lock().state_machine)
    }

    /// Waits until an event is handled, the state machine wants a tick, or [`MAX_TICK_INTERVAL`]
    /// has passed.
    pub(crate) async fn wait_for_work(&self) {
        let wakeup = self.read(P::next_wakeup);
        let until = wakeup.unwrap_or(Timestamp::MAX).saturating_sub(self.start.elapsed());
        let sleep = tokio::time::sleep(until.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL));
        tokio::select! {
            () = sleep => {}
            () = self.wake.notified() => {}
        }
    }

    /// Time since the state machine was created.
    pub(crate) fn elapsed(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Tells the driver to end, and wakes it.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        self.wake.notify_one();
    }

    /// Whether the driver should end.
    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Inner<P>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
