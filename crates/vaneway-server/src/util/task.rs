//! Tasks that end with their owner.

use futures_channel::oneshot;

/// Starts `work`, which ends when what is returned is dropped.
pub fn spawn_until_dropped(work: impl Future<Output = ()> + 'static) -> oneshot::Sender<()> {
    let (tx, rx) = oneshot::channel::<()>();
    compio::runtime::spawn(async move {
        futures_util::pin_mut!(work);
        futures_util::future::select(work, rx).await;
    })
    .detach();
    tx
}
