//! Models the tail latency of serving tasks, as the effect of their own load and of the best-effort
//! tasks beside them.
//!
//! A tail latency grows like that of a queue: it is the lowest tail latency of the task divided by
//! the idle share of time. The *stress* of a task is the busy share. Stress is additive: one part
//! is the task's own load, which varies within seconds; each best-effort image on the worker adds
//! the processor time that it uses times an effect, which is constant for a pair of images. Both
//! the own load and the effects are learned from each report.

use std::collections::HashMap;

use super::{
    super::record::{EffectsRecord, ServingEffects},
    filter::{EFFECT_PRIOR, Estimate, MAX_STRESS, ServingImage},
};
use crate::Time;

/// The lowest tail latency of an image before any was reported, as a share of its target.
const LOWEST_TAIL_PRIOR: f64 = 0.25;
/// The tail latency of an idle queue, as a share of the lowest one reported: services are never
/// idle.
const UNLOADED_TAIL_SHARE: f64 = 0.8;
/// The most serving images whose effects are exported, to bound the size of the record.
const MAX_EXPORTED_IMAGES: usize = 64;

/// The most bytes of the exported effects. A row of the store holds 64 KiB, which may count the value
/// as base64.
const MAX_EXPORTED_BYTES: usize = 48 * 1_024;
/// The most bytes of an image or an effect beside the name: two numbers, and the names of fields.
const BYTES_PER_EFFECT: usize = 96;

/// The number of an image within one scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::jobs) struct ImageNo(u32);

impl ImageNo {
    /// Returns the index of the image in a list of all images.
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// An image, and the processor time that its tasks use on a worker as a share of its capacity.
pub(super) type Load = (ImageNo, f64);

/// A reported tail latency of a serving task.
#[derive(Debug, Clone, Copy)]
pub(super) struct TailReport {
    pub(super) tail_ms: f64,
    pub(super) target_ms: f64,
    /// The time since the last report, in seconds.
    pub(super) since_last_report_s: f64,
    /// When the report arrived.
    pub(super) reported_at: Time,
}

/// The learned state of all pairs of images.
#[derive(Debug, Default)]
pub(super) struct TailModel {
    numbers: HashMap<String, ImageNo>,
    /// The filter of each serving image, by its number.
    images: Vec<ServingImage>,
    /// The best-effort images observed so far.
    best_effort_images: Vec<ImageNo>,
}

impl TailModel {
    /// Returns the number of an image. All tasks without an image share the empty name.
    pub(super) fn image_no(&mut self, image: Option<&str>) -> ImageNo {
        let name = image.unwrap_or("");
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = ImageNo(self.images.len() as u32);
        self.images.push(ServingImage::default());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the name of an image.
    pub(super) fn name(&self, image: ImageNo) -> &str {
        let named = self.numbers.iter().find(|(_, number)| **number == image);
        named.map_or("", |(name, _)| name.as_str())
    }

    /// Returns the learned effects, to be persisted.
    ///
    /// Effects beyond [`MAX_EXPORTED_BYTES`] are omitted: images and their names come from callers.
    pub(super) fn export(&self) -> EffectsRecord {
        let names = self.numbers.iter().map(|(name, number)| (*number, name.as_str()));
        let names = names.collect::<HashMap<_, _>>();
        let name = |image: ImageNo| names.get(&image).copied().unwrap_or("").to_owned();
        let mut bytes_left = MAX_EXPORTED_BYTES;
        let mut take = |name: &str| {
            // A name can always be encoded, in which some characters take several bytes.
            let name_bytes =
                serde_json::to_string(name).map_or(MAX_EXPORTED_BYTES, |json| json.len());
            let left = bytes_left.checked_sub(name_bytes + BYTES_PER_EFFECT);
            bytes_left = left.unwrap_or(bytes_left);
            left.is_some()
        };
        let serving = (0..).zip(&self.images).filter_map(|(number, image)| {
            let lowest_tail_ms = image.lowest_ms?;
            let image_name = name(ImageNo(number));
            if !take(&image_name) {
                return None;
            }
            let effects = image.known_effects();
            let effects =
                effects.map(|(best_effort_image, effect)| (name(best_effort_image), effect));
            let effects = effects.filter(|(best_effort_name, _)| take(best_effort_name)).collect();
            Some(ServingEffects { image: image_name, lowest_tail_ms, effects })
        });
        EffectsRecord { serving: serving.take(MAX_EXPORTED_IMAGES).collect() }
    }

    /// Takes over the effects that an earlier owner learned.
    pub(super) fn import(&mut self, record: &EffectsRecord) {
        for serving in &record.serving {
            let serving_image = self.image_no(Some(&serving.image));
            for (best_effort_image, effect) in &serving.effects {
                let best_effort_image = self.image_no(Some(best_effort_image));
                self.record_best_effort_image(best_effort_image);
                let Some(image) = self.images.get_mut(serving_image.index()) else { continue };
                image.lowest_ms = Some(serving.lowest_tail_ms);
                image.import(best_effort_image, *effect);
            }
        }
    }

    /// Returns how much stress a best-effort image adds to a serving image when it uses all
    /// processors.
    pub(super) fn effect(&self, best_effort_image: ImageNo, serving_image: ImageNo) -> f64 {
        let known_effect = self
            .images
            .get(serving_image.index())
            .and_then(|image| image.effect(best_effort_image));
        known_effect.unwrap_or(EFFECT_PRIOR)
    }

    /// Returns the share of the best-effort images whose effects on all of the given images are
    /// below `negligible`.
    pub(super) fn tolerance(&self, serving: &[ImageNo], negligible: f64) -> f64 {
        let interferes = |best_effort_image: &&ImageNo| {
            serving
                .iter()
                .any(|&serving_image| self.effect(**best_effort_image, serving_image) >= negligible)
        };
        let interfering = self.best_effort_images.iter().filter(interferes).count();
        1.0 - interfering as f64 / self.best_effort_images.len().max(1) as f64
    }

    /// Returns the stress at which a tail latency is `share` of its target.
    pub(super) fn stress_at(&self, serving_image: ImageNo, target_ms: f64, share: f64) -> f64 {
        let lowest_ms = self.images.get(serving_image.index()).and_then(|image| image.lowest_ms);
        1.0 - unloaded_tail_ms(lowest_ms, target_ms) / (target_ms * share)
    }

    /// Learns from a report: corrects the estimates of the task's own stress and of the effects of
    /// the best-effort tasks beside it. Returns the reported stress without the effects, or `None`
    /// if it was too high to be measured.
    pub(super) fn learn(
        &mut self,
        serving_image: ImageNo,
        own: &mut Estimate,
        loads: &[Load],
        tail: TailReport,
    ) -> Option<f64> {
        for &(best_effort_image, _) in loads {
            self.record_best_effort_image(best_effort_image);
        }
        let image = self.images.get_mut(serving_image.index())?;
        let tail_ms = tail.tail_ms.max(1.0);
        image.lowest_ms = Some(image.lowest_ms.unwrap_or(tail_ms).min(tail_ms));
        let unloaded_tail_ms = unloaded_tail_ms(image.lowest_ms, tail.target_ms);
        let stress = (1.0 - unloaded_tail_ms / tail_ms).clamp(0.0, MAX_STRESS);
        own.drift(tail.since_last_report_s);
        image.drift(tail.reported_at);
        image.learn(own, loads, stress);
        let added = loads.iter().map(|&(best_effort_image, load)| {
            image.effect(best_effort_image).unwrap_or(EFFECT_PRIOR) * load
        });
        let own_stress = stress - added.sum::<f64>();
        (stress < MAX_STRESS).then_some(own_stress.max(0.0))
    }

    fn record_best_effort_image(&mut self, best_effort_image: ImageNo) {
        if !self.best_effort_images.contains(&best_effort_image) {
            self.best_effort_images.push(best_effort_image);
        }
    }
}

/// Returns the tail latency of an idle queue.
fn unloaded_tail_ms(lowest_ms: Option<f64>, target_ms: f64) -> f64 {
    lowest_ms.unwrap_or(target_ms * LOWEST_TAIL_PRIOR).min(target_ms * LOWEST_TAIL_PRIOR)
        * UNLOADED_TAIL_SHARE
}
