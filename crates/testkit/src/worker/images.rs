//! The image cache of a worker, and prefetches into it.

use super::{Worker, CHANGE_HEARTBEAT_DELAY_MS};
use crate::Ms;
use forkshift_wire::workers::Prefetch;

impl Worker {
    /// Time that the fetch of an image takes.
    pub(super) fn fetch_ms(&self, image_gb: f64) -> Ms {
        (image_gb / self.fetch_gb_per_s * 1000.0) as Ms
    }

    /// Starts to prefetch images that are neither in the cache nor being prefetched.
    ///
    /// # Panics
    ///
    /// If the worker does not announce its images, as controllers must not send it prefetches then.
    pub(super) fn prefetch(&mut self, now: Ms, wanted: &[Prefetch]) {
        assert!(
            wanted.is_empty() || self.announces_images,
            "{} got a prefetch command and announces no images",
            self.id
        );
        for Prefetch { image, image_gb } in wanted {
            if self.images.contains(image) || self.prefetching.contains_key(image) {
                continue;
            }
            let ready_at = now + self.fetch_ms(*image_gb);
            self.prefetching.insert(image.clone(), ready_at);
        }
    }

    /// Adds the images whose prefetch has completed to the cache.
    pub(super) fn complete_prefetches(&mut self, now: Ms) {
        if self.prefetching.is_empty() || now < self.prefetch_stuck_until {
            return;
        }
        let prefetching = self.prefetching.iter();
        let complete: Vec<String> = prefetching
            .filter(|(_, ready_at)| now >= **ready_at)
            .map(|(image, _)| image.clone())
            .collect();
        for image in complete {
            self.prefetching.remove(&image);
            self.add_image(image);
            self.schedule_heartbeat_within(now, CHANGE_HEARTBEAT_DELAY_MS);
        }
    }

    pub(super) fn add_image(&mut self, image: String) {
        if !self.images.contains(&image) {
            self.images.push(image);
        }
    }

    /// Empties the image cache.
    pub(crate) fn evict_images(&mut self, now: Ms) {
        self.images.clear();
        self.schedule_heartbeat_within(now, CHANGE_HEARTBEAT_DELAY_MS);
    }
}
