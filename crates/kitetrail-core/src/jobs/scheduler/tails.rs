//! What of the tail of a serving task's answers is its own load, and what the tasks that fill
//! beside it add.
//!
//! A tail grows like that of a queue: it is the task's lowest tail over the share of time that is
//! left. The *stress* of a task is the share that is taken. Stress adds up: the task's own load,
//! which swings within seconds, and for each image that fills there the processor time it uses
//! times an effect that holds for the pair of images. Both are learned from each report.

use std::collections::HashMap;

use super::{
    super::record::{EffectsRecord, ServingEffects},
    filter::{EFFECT_PRIOR, Estimate, MAX_STRESS, ServingImage},
};
use crate::Time;

/// The lowest tail of an image, as a share of its target, before any was seen.
const LOWEST_TAIL_PRIOR: f64 = 0.25;
/// A queue's tail with no load at all, as a share of the lowest one seen: services are never idle.
const UNLOADED_OF_LOWEST: f64 = 0.8;
/// Of how many images that serve the effects are kept: bounds the record's size.
const MOST_KEPT: usize = 64;

/// The number of an image in one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::jobs) struct ImageNo(u32);

impl ImageNo {
    /// Where it stands in a list of all images.
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// How much processor time the tasks of an image use on a worker, as a share of all it has.
pub(super) type Load = (ImageNo, f64);

/// A reported tail of a serving task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tail {
    pub(super) tail_ms: f64,
    pub(super) target_ms: f64,
    /// Since the report before, in seconds.
    pub(super) gap_s: f64,
    /// When it was heard.
    pub(super) at: Time,
}

/// What is known of all pairs of images.
#[derive(Debug, Default)]
pub(super) struct TailModel {
    numbers: HashMap<String, ImageNo>,
    /// By the number of the image that serves.
    images: Vec<ServingImage>,
    /// Images that were seen to fill.
    fillers: Vec<ImageNo>,
}

impl TailModel {
    /// The number of an image; an empty name stands for all that name none.
    pub(super) fn number(&mut self, image: Option<&str>) -> ImageNo {
        let name = image.unwrap_or("");
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = ImageNo(self.images.len() as u32);
        self.images.push(ServingImage::default());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// What is known, to be kept.
    pub(super) fn export(&self) -> EffectsRecord {
        let names = self.numbers.iter().map(|(name, number)| (*number, name.as_str()));
        let names = names.collect::<HashMap<_, _>>();
        let name = |image: ImageNo| names.get(&image).copied().unwrap_or("").to_owned();
        let serving = (0..).zip(&self.images).filter_map(|(number, image)| {
            Some(ServingEffects {
                image: name(ImageNo(number)),
                lowest_tail_ms: image.lowest_ms?,
                effects: image
                    .known_effects()
                    .map(|(fills, effect)| (name(fills), effect))
                    .collect(),
            })
        });
        EffectsRecord { serving: serving.take(MOST_KEPT).collect() }
    }

    /// Takes over what an earlier owner knew.
    pub(super) fn import(&mut self, record: &EffectsRecord) {
        for serving in &record.serving {
            let serves = self.number(Some(&serving.image));
            for (fills, effect) in &serving.effects {
                let fills = self.number(Some(fills));
                self.note_filler(fills);
                let Some(image) = self.images.get_mut(serves.index()) else { continue };
                image.lowest_ms = Some(serving.lowest_tail_ms);
                image.import(fills, *effect);
            }
        }
    }

    /// How much stress an image that fills adds to one that serves, when it uses all processors.
    pub(super) fn effect(&self, fills: ImageNo, serves: ImageNo) -> f64 {
        let known = self.images.get(serves.index()).and_then(|image| image.effect(fills));
        known.unwrap_or(EFFECT_PRIOR)
    }

    /// The share of the images that fill whose effect on all of the given ones is below `slight`.
    pub(super) fn tolerance(&self, serving: &[ImageNo], slight: f64) -> f64 {
        let disturbs =
            |fills: &&ImageNo| serving.iter().any(|&serves| self.effect(**fills, serves) >= slight);
        let disturbing = self.fillers.iter().filter(disturbs).count();
        1.0 - disturbing as f64 / self.fillers.len().max(1) as f64
    }

    /// The stress at which a tail is `share` of its target.
    pub(super) fn stress_at(&self, serves: ImageNo, target_ms: f64, share: f64) -> f64 {
        let lowest_ms = self.images.get(serves.index()).and_then(|image| image.lowest_ms);
        1.0 - unloaded_ms(lowest_ms, target_ms) / (target_ms * share)
    }

    /// Learns from a report: corrects what is believed of the task's own stress and of the effects
    /// of what fills beside it.
    pub(super) fn learn(
        &mut self,
        serves: ImageNo,
        own: &mut Estimate,
        loads: &[Load],
        tail: Tail,
    ) {
        for &(fills, _) in loads {
            self.note_filler(fills);
        }
        let Some(image) = self.images.get_mut(serves.index()) else { return };
        let tail_ms = tail.tail_ms.max(1.0);
        image.lowest_ms = Some(image.lowest_ms.unwrap_or(tail_ms).min(tail_ms));
        let unloaded_ms = unloaded_ms(image.lowest_ms, tail.target_ms);
        let stress = (1.0 - unloaded_ms / tail_ms).clamp(0.0, MAX_STRESS);
        own.drift(tail.gap_s);
        image.drift(tail.at);
        image.learn(own, loads, stress);
    }

    fn note_filler(&mut self, fills: ImageNo) {
        if !self.fillers.contains(&fills) {
            self.fillers.push(fills);
        }
    }
}

/// A queue's tail with no load at all.
fn unloaded_ms(lowest_ms: Option<f64>, target_ms: f64) -> f64 {
    lowest_ms.unwrap_or(target_ms * LOWEST_TAIL_PRIOR).min(target_ms * LOWEST_TAIL_PRIOR)
        * UNLOADED_OF_LOWEST
}
