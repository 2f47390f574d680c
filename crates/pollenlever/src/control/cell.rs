use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pollenlever_core::Timestamp;
use pollenlever_core::policy::Policy;
use tokio::sync::Notify;

/// Longest time between two ticks.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Shortest time between two ticks, unless an event wakes the thread.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// A state machine that several threads report to and one thread acts for.
pub(super) struct Cell<P: Policy> {
    inner: Mutex<Inner<P>>,
    start: Instant,
    wake: Notify,
    is_stopped: AtomicBool,
}

struct Inner<P: Policy> {
    machine: P,
    actions: Vec<P::Action>,
}

impl<P: Policy> Cell<P> {
    pub(super) fn new(machine: P) -> Cell<P> {
        Cell {
            inner: Mutex::new(Inner { machine, actions: Vec::new() }),
            start: Instant::now(),
            wake: Notify::new(),
            is_stopped: AtomicBool::new(false),
        }
    }

    /// Reports an event and returns the first action that `is_immediate` picks. The others wait
    /// for the thread that acts.
    pub(super) fn report(
        &self,
        event: P::Event,
        is_immediate: impl Fn(&P::Action) -> bool,
    ) -> Option<P::Action> {
        let mut inner = self.lock();
        let mut actions = Vec::new();
        inner.machine.handle(self.start.elapsed(), event, &mut actions);
        let picked = actions.iter().position(is_immediate).map(|at| actions.remove(at));
        inner.actions.append(&mut actions);
        drop(inner);
        self.wake.notify_one();
        picked
    }

    /// Reports an event that needs no action at once.
    pub(super) fn notify(&self, event: P::Event) {
        self.report(event, |_| false);
    }

    /// Reports that time passed and takes all actions that wait.
    pub(super) fn tick(&self, tick: P::Event) -> Vec<P::Action> {
        let mut inner = self.lock();
        let mut actions = std::mem::take(&mut inner.actions);
        inner.machine.handle(self.start.elapsed(), tick, &mut actions);
        actions
    }

    /// Looks at the state machine.
    pub(super) fn read<T>(&self, read: impl FnOnce(&P) -> T) -> T {
        read(&self.lock().machine)
    }

    /// Waits until there is something to do.
    pub(super) async fn wait(&self) {
        let wakeup = self.read(P::next_wakeup);
        let until = wakeup.unwrap_or(Timestamp::MAX).saturating_sub(self.start.elapsed());
        let sleep = tokio::time::sleep(until.clamp(MIN_SLEEP, MAX_SLEEP));
        tokio::select! {
            () = sleep => {}
            () = self.wake.notified() => {}
        }
    }

    /// Time since the start.
    pub(super) fn elapsed(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Ends the thread that acts.
    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        self.wake.notify_one();
    }

    /// Whether the thread that acts is to end.
    pub(super) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Inner<P>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
