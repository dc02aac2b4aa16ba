//! Tasks that are cancelled when their owner is dropped.

use futures_channel::oneshot;

/// Spawns a task that runs `work` and is cancelled when the returned handle is dropped.
pub fn spawn_until_dropped(work: impl Future<Output = ()> + 'static) -> oneshot::Sender<()> {
    let (tx, rx) = oneshot::channel::<()>();
    compio::runtime::spawn(async move {
        futures_util::pin_mut!(work);
        futures_util::future::select(work, rx).await;
    })
    .detach();
    tx
}
