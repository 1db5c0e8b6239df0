//! Tests when an owner that is late hands the fleet over, and to which box.

use std::time::Duration;

use kitetrail_core::{
    Time,
    owner_relief::{
        BoxSpeed, BoxSpeeds, KeepReason, OwnerRelief, ReliefDecision, ReliefInput, ReliefPause,
        SuccessorAnswer, WorkTime, WorkTimes,
    },
    succession::BoxStrength,
};

const STRONG: BoxStrength = BoxStrength(1_111);
const WEAK: BoxStrength = BoxStrength(266);
/// The work times of a box with its usual speed, and of one that is six times slower.
const USUAL: u32 = 155;
const SLOWED: u32 = 930;
/// The interval of the owner's timer.
const TICK_MS: u64 = 20;
/// A time after the grace that follows each takeover.
const LATER_MS: u64 = 10_000;
/// The time within which a slowed owner must be relieved: boxes refuse jobs if it stays late, and a short job has 1 s.
const RELIEF_LIMIT_MS: u64 = 1_000;
/// The lags of an owner slowed six times, in milliseconds, as recorded on a fleet of 490 workers.
const RECORDED_LAGS_MS: [u64; 20] =
    [18, 37, 38, 67, 92, 135, 89, 83, 84, 80, 54, 62, 72, 63, 61, 82, 113, 128, 101, 93];

fn at(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

fn answer(read_ms: u64, time_us: u32) -> SuccessorAnswer {
    let store_read_time = Duration::from_millis(read_ms);
    SuccessorAnswer { store_read_time, work_time: WorkTime::from_us(time_us) }
}

/// A fleet with one owner, driven on virtual time.
struct Fleet {
    relief: OwnerRelief,
    own_work_time: Option<WorkTime>,
    is_evacuating: bool,
    successors: Vec<&'static str>,
    /// The strength and the work time that each box reports, at each tick.
    reports: Vec<(&'static str, BoxStrength, u32)>,
    speeds: BoxSpeeds<&'static str>,
    now_ms: u64,
}

impl Fleet {
    fn new(pause: Option<ReliefPause>, reports: &[(&'static str, BoxStrength, u32)]) -> Self {
        Self {
            relief: OwnerRelief::new(STRONG, pause, at(0)),
            own_work_time: Some(WorkTime::from_us(SLOWED)),
            is_evacuating: false,
            successors: reports.iter().map(|(name, ..)| *name).collect(),
            reports: reports.to_vec(),
            speeds: BoxSpeeds::default(),
            now_ms: LATER_MS,
        }
    }

    /// Lets the timer fire late by `lag_ms`, and returns the decision.
    fn tick(&mut self, lag_ms: u64) -> ReliefDecision<&'static str> {
        self.now_ms += TICK_MS + lag_ms;
        let now = at(self.now_ms);
        for &(name, strength, time_us) in &self.reports {
            let work_time = WorkTime::from_us(time_us);
            self.speeds.record(name, Some(BoxSpeed { strength, work_time, reported_at: now }));
        }
        self.relief.record_lag(Duration::from_millis(lag_ms), now);
        self.decide()
    }

    fn decide(&mut self) -> ReliefDecision<&'static str> {
        let input = ReliefInput {
            own_work_time: self.own_work_time,
            is_evacuating: self.is_evacuating,
            successors: &self.successors,
            speeds: &self.speeds,
        };
        self.relief.decide(&input, at(self.now_ms))
    }

    fn record_answer(&mut self, answer: Option<SuccessorAnswer>) -> bool {
        let own_work_time = self.own_work_time.unwrap_or(WorkTime::from_us(SLOWED));
        self.relief.record_answer(answer, own_work_time, at(self.now_ms))
    }

    /// Runs with the recorded lags for a time, and returns the box that is asked first and when.
    fn run_recorded(&mut self, for_ms: u64) -> Option<(&'static str, u64)> {
        let started_ms = self.now_ms;
        for lag_ms in RECORDED_LAGS_MS.into_iter().cycle() {
            match self.tick(lag_ms) {
                ReliefDecision::Ask { successor, .. } => {
                    return Some((successor, self.now_ms - started_ms));
                }
                ReliefDecision::Keep(_) if self.now_ms - started_ms > for_ms => break,
                ReliefDecision::Keep(_) => {}
            }
        }
        None
    }

    /// Runs with the recorded lags for a time, and returns the last reason to keep the fleet.
    fn last_reason(&mut self) -> Option<KeepReason> {
        assert_eq!(self.run_recorded(5_000), None);
        match self.decide() {
            ReliefDecision::Keep(reason) => Some(reason),
            ReliefDecision::Ask { .. } => None,
        }
    }
}

#[test]
fn a_slowed_owner_is_relieved_within_the_slack_of_a_short_job() {
    let mut fleet = Fleet::new(None, &[("b", STRONG, SLOWED), ("c", STRONG, USUAL)]);
    let (successor, after_ms) = fleet.run_recorded(RELIEF_LIMIT_MS).expect("no box is asked");
    assert_eq!(successor, "c");
    assert!(after_ms <= RELIEF_LIMIT_MS, "{after_ms} ms");
    assert!(fleet.record_answer(Some(answer(6, USUAL))));
}

#[test]
fn short_spikes_and_single_stalls_do_not_relieve_an_owner() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    for tick in 0..2_000 {
        // One spike of 0.3 s in each second, and once a stall of 3 s.
        let lag_ms = match tick {
            1_000 => 3_000,
            _ if tick % 35 == 0 => 300,
            _ => 2,
        };
        assert_eq!(fleet.tick(lag_ms), ReliefDecision::Keep(KeepReason::InTime), "tick {tick}");
    }
}

#[test]
fn an_owner_is_not_relieved_if_all_boxes_are_slowed() {
    let mut fleet = Fleet::new(None, &[("b", STRONG, SLOWED), ("c", STRONG, SLOWED - 300)]);
    assert_eq!(fleet.last_reason(), Some(KeepReason::NobodyFaster));
}

#[test]
fn an_owner_with_too_much_load_at_usual_speed_is_not_relieved() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.own_work_time = Some(WorkTime::from_us(USUAL));
    assert_eq!(fleet.last_reason(), Some(KeepReason::NobodyFaster));
}

#[test]
fn weaker_boxes_and_boxes_of_unknown_speed_are_not_asked() {
    let mut fleet = Fleet::new(None, &[("weak", WEAK, USUAL)]);
    // A box of an earlier release pings, but does not say how fast it is.
    fleet.successors.push("earlier");
    assert_eq!(fleet.last_reason(), Some(KeepReason::NobodyFaster));
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.own_work_time = None;
    assert_eq!(fleet.last_reason(), Some(KeepReason::OwnSpeedUnknown));
}

#[test]
fn outdated_reports_do_not_count() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.tick(0);
    fleet.reports.clear();
    fleet.now_ms += 1_001;
    assert_eq!(fleet.last_reason(), Some(KeepReason::NobodyFaster));
}

#[test]
fn an_owner_that_moves_runs_out_of_evacuated_zones_keeps_the_fleet() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.is_evacuating = true;
    assert_eq!(fleet.last_reason(), Some(KeepReason::Evacuating));
    fleet.is_evacuating = false;
    assert!(fleet.run_recorded(RELIEF_LIMIT_MS).is_some());
}

#[test]
fn a_box_that_is_lost_or_reaches_the_store_late_does_not_get_the_fleet() {
    for unusable in [None, Some(answer(400, USUAL))] {
        let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
        fleet.run_recorded(RELIEF_LIMIT_MS).expect("no box is asked");
        // Only one box is asked at a time.
        assert_eq!(fleet.tick(80), ReliefDecision::Keep(KeepReason::Asked));
        assert!(!fleet.record_answer(unusable));
        assert_eq!(fleet.tick(80), ReliefDecision::Keep(KeepReason::Asked));
        let (_, after_ms) = fleet.run_recorded(RELIEF_LIMIT_MS).expect("no box is asked again");
        assert!(after_ms >= 200, "asked again after {after_ms} ms");
    }
}

#[test]
fn an_owner_is_not_relieved_if_the_other_box_is_slowed_as_well_by_the_time_it_answers() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.run_recorded(RELIEF_LIMIT_MS).expect("no box is asked");
    assert!(!fleet.record_answer(Some(answer(6, SLOWED))));
}

#[test]
fn an_owner_whose_machine_is_fast_again_is_not_relieved() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.run_recorded(RELIEF_LIMIT_MS).expect("no box is asked");
    fleet.own_work_time = Some(WorkTime::from_us(USUAL));
    assert!(!fleet.record_answer(Some(answer(6, USUAL))));
}

#[test]
fn a_new_owner_is_not_relieved_while_it_takes_over() {
    let mut fleet = Fleet::new(None, &[("c", STRONG, USUAL)]);
    fleet.now_ms = 0;
    assert_eq!(fleet.run_recorded(1_800), None);
    assert!(fleet.run_recorded(400).is_some());
}

#[test]
fn reliefs_become_rare_if_they_do_not_help() {
    // Each owner finds itself slowed and another box faster, for a minute.
    let (mut reliefs, mut total_ms, mut pause) = (0, 0, None);
    while total_ms < 60_000 {
        let mut fleet = Fleet::new(pause, &[("c", STRONG, USUAL)]);
        fleet.now_ms = 0;
        let (_, after_ms) = fleet.run_recorded(200_000).expect("no box is asked");
        total_ms += after_ms;
        reliefs += 1;
        pause = Some(fleet.relief.next_pause(at(fleet.now_ms)));
    }
    assert!(reliefs <= 5, "{reliefs} reliefs");
    assert!(pause >= Some(ReliefPause::from_ms(40_000)), "{pause:?}");
}

#[test]
fn the_pause_is_short_again_after_a_relief_that_helped() {
    let fleet = Fleet::new(Some(ReliefPause::from_ms(20_000)), &[]);
    assert_eq!(fleet.relief.next_pause(at(30_000)), ReliefPause::from_ms(40_000));
    assert_eq!(fleet.relief.next_pause(at(40_001)), ReliefPause::SHORTEST);
    // Values from other boxes are limited.
    assert_eq!(ReliefPause::from_ms(0), ReliefPause::SHORTEST);
    assert_eq!(ReliefPause::from_ms(u32::MAX), ReliefPause::LONGEST);
}

#[test]
fn interrupted_measurements_of_the_speed_do_not_count() {
    let mut times = WorkTimes::default();
    for time_us in [USUAL, 9_000, USUAL, 9_000] {
        times.record(WorkTime::from_us(time_us));
        assert_eq!(times.median(), None);
    }
    times.record(WorkTime::from_us(USUAL));
    assert_eq!(times.median(), Some(WorkTime::from_us(USUAL)));
    let text = WorkTime::from_us(USUAL).to_string();
    assert_eq!(text.parse(), Ok(WorkTime::from_us(USUAL)));
}
