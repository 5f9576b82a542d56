//! Notifications between tasks of an entry.

use async_std::channel;

/// A notification that is kept until a task waits for it. Several before the wait count as one.
#[derive(Debug)]
pub struct Notify {
    sender: channel::Sender<()>,
    receiver: channel::Receiver<()>,
}

impl Notify {
    /// Creates one without a notification.
    #[must_use]
    pub fn new() -> Self {
        let (sender, receiver) = channel::bounded(1);
        Self { sender, receiver }
    }

    /// Leaves a notification.
    pub fn notify(&self) {
        // A full channel already holds a notification.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification and takes it.
    pub async fn wait(&self) {
        // The sender is a field of this value, so `recv` can't fail.
        let _ = self.receiver.recv().await;
    }
}

impl Default for Notify {
    fn default() -> Self {
        Self::new()
    }
}
