//! Reload of the settings, on a signal and periodically.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::{SignalWatch, with_deadline};

use super::ports::SettingsSource;
use crate::{EdgeEvent, EdgeSettings};

/// Interval between two reads of the settings, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Sends changed settings to the event loop until it has ended.
pub(super) async fn watch_settings(
    mut current: EdgeSettings,
    source: Rc<dyn SettingsSource>,
    mut signal: SignalWatch,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<EdgeEvent>,
) {
    loop {
        let deadline = clock.now() + RELOAD_INTERVAL;
        let signalled = with_deadline(clock.as_ref(), deadline, signal.wait()).await;
        if signalled.is_some() {
            log::info!("settings reload requested");
        }
        match source.read() {
            Ok(settings) if settings == current => {}
            Ok(settings) => {
                current = settings.clone();
                let event = EdgeEvent::Reloaded(Box::new(settings));
                if events.unbounded_send(event).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("settings not reloaded, keeping the current ones: {error}"),
        }
    }
}
