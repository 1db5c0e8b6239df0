//! Workers that start again under the id that they had.
//!
//! What users saw: on a desk's fleet of 48 workers, 17 start again under their ids within half a second. A second later tasks
//! that are done are started again, one of them four times; a task that may fail twice is started three times more. The
//! order of events: the owner starts a task on a worker 0.1 to 0.3 s after that worker started; the run ends; the owner gives it
//! up half a second to two seconds later as one that its worker does not run, and starts it on the next worker.
//!
//! The cause: a worker's life was told by its id alone. Under the same id the owner went on with the numbers of the life
//! before: an end with a number at or below the last one heard was passed over as known, and the next hold told the worker
//! that ends up to the old number are kept, so that it dropped ends which nobody had read.
//!
//! The evidence: in the owner's log of two such waves 140 runs were lost as ones that their workers do not run, all of them on
//! workers that had just started again, on which no end was heard before the last of these runs; on one worker ends are heard
//! again after 21 of them. The first test below shows the same with nothing but a restart.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::{collections::BTreeSet, env, ops::Range, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fleet::{DAY_UNIX_MS, Mood, World, job, step, task};
use kitetrail_core::{
    Resources,
    jobs::{
        BegunRun, Event, Incarnation, JobId, JobState, LifeRecord, Note, StepSpec, WorkerEntry,
    },
};

/// A fleet whose workers have told of some ends each.
fn used_fleet(workers: u32) -> World {
    let mut world = World::new(workers);
    world.tell_incarnations();
    world.work_ms = Some(300);
    for id in 1..=4 {
        world.submit(id, job(vec![step(4 * workers)]));
    }
    world.run_until("all are done", |world| {
        (1..=4).all(|id| world.state(id) == Some(JobState::Completed))
    });
    world.run_ms(3_000);
    world.starts.clear();
    world
}

#[test]
fn what_is_done_on_a_worker_that_started_again_is_not_started_again() {
    let mut world = used_fleet(4);
    for id in ["w0", "w1", "w2"] {
        world.restart(id);
    }
    world.submit(10, job(vec![step(12)]));
    world.run_ms(250);
    world.list_all();
    world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 12, "each of its tasks is started once: {:?}", world.starts);
}

#[test]
fn runs_that_fail_on_workers_that_started_again_count() {
    let mut world = used_fleet(4);
    for id in ["w0", "w1", "w2", "w3"] {
        world.restart(id);
    }
    world.set_moods(Mood::Failing);
    world.submit(10, job(vec![step(1)]));
    world.run_ms(250);
    world.list_all();
    world.run_ms(10_000);
    assert_eq!(world.state(10), Some(JobState::Failed));
    let starts = world.starts.iter().filter(|(_, name, ..)| *name == task(10, 0, 0));
    assert_eq!(starts.count(), 3, "as many attempts as its queue allows");
}

#[test]
fn what_ran_before_a_restart_starts_anew_without_waiting_for_its_lease() {
    for listed_after_ms in [0, 250] {
        let mut world = used_fleet(4);
        world.work_ms = Some(5_000);
        world.submit(10, job(vec![step(4)]));
        world.run_ms(1_000);
        let on = world.worker_of(task(10, 0, 0));
        let lost = world.worker(&on).running.len();
        world.restart(&on);
        let at = world.now;
        world.run_ms(listed_after_ms);
        world.list_all();
        world.run_until("all run again", |world| world.starts.len() == 4 + lost);
        assert!(world.now.since(at).as_millis() < 1_500, "they waited for a lease");
        world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
        assert_eq!(world.starts.len(), 4 + lost, "what ran elsewhere went on");
    }
}

#[test]
fn a_restart_that_only_answers_tell_of_is_noticed() {
    for answers_tell_start in [true, false] {
        let mut world = used_fleet(4);
        for worker in world.workers.values_mut() {
            worker.answers_tell_start = answers_tell_start;
        }
        for id in ["w0", "w1", "w2", "w3"] {
            world.restart(id);
        }
        world.submit(10, job(vec![step(12)]));
        world.run_ms(1_000);
        // Nothing but what was on its way as the restart was noticed is started before the entries of these starts are read.
        let before = world.starts.len();
        assert!(before < 12, "{answers_tell_start}: {:?}", world.starts);
        world.run_ms(1_000);
        assert_eq!(world.starts.len(), before, "{answers_tell_start}: {:?}", world.starts);
        world.list_all();
        world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
        assert_eq!(world.starts.len(), 12, "{answers_tell_start}: {:?}", world.starts);
        assert_eq!(world.crashes_noticed(), 0, "nothing ran as the workers started again");
    }
}

#[test]
fn an_entry_of_an_earlier_start_that_comes_late_changes_nothing() {
    let mut world = used_fleet(2);
    world.work_ms = Some(4_000);
    let stale = world.restart("w0");
    world.list_all();
    world.run_ms(500);
    world.submit(10, job(vec![StepSpec { size: Resources::new(4_000, 512, 0), ..step(2) }]));
    world.run_until("both workers are taken", |world| world.starts.len() == 2);
    for _ in 0..3 {
        world.list(stale.clone());
        world.run_ms(400);
        world.list_all();
        world.run_ms(400);
    }
    world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 2, "what ran went on");
    assert!(!world.deposed, "the owner took the token of its own question for another owner's");
}

#[test]
fn a_worker_whose_time_of_day_was_put_back_is_used_again() {
    for elsewhere in [false, true] {
        let mut world = used_fleet(1);
        world.work_ms = Some(2_000);
        world.submit(10, job(vec![step(2)]));
        world.run_ms(500);
        let address = if elsewhere { "10.9.9.9:80" } else { "10.0.0.0:80" };
        world.restart_as("w0", Incarnation(DAY_UNIX_MS - 5_000), address.to_owned());
        world.list_all();
        world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
        assert_eq!(world.starts.len(), 4, "both tasks run twice, elsewhere: {elsewhere}");
    }
}

#[test]
fn what_ended_before_a_restart_has_ended_though_the_answer_comes_late() {
    let mut world = used_fleet(2);
    world.submit(10, job(vec![step(1)]));
    world.run_until("it runs", |world| world.starts.len() == 1);
    let on = world.worker_of(task(10, 0, 0));
    world.worker(&on).mood = Mood::Unread;
    world.run_until("it is done", |world| world.workers[&on].done.contains(&task(10, 0, 0)));
    let (life, hold, sent_at) = world.worker(&on).held.unwrap();
    let ended = world.worker(&on).ended.clone();
    let before = world.worker(&on).entry.incarnation;
    world.restart(&on);
    world.list_all();
    // The answer of the life before is read before the next one has answered.
    world.tell(Event::LateEnds { life, incarnation: before, ended });
    world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 1, "what was done is not started again");
    let _ = (hold, sent_at);
}

#[test]
fn the_next_hold_after_a_restart_drops_no_end_that_nobody_heard() {
    // Its worker has told an end that is kept and that it was not told is kept. It starts again, is given a short task, and is
    // asked once that has ended.
    for (answers_tell_start, order_answers_take_ms) in [(true, 0), (false, 0), (false, 300)] {
        let mut world = used_fleet(1);
        world.worker("w0").answers_tell_start = answers_tell_start;
        world.submit(10, job(vec![step(1)]));
        let is_heard = |world: &World| world.state(10) == Some(JobState::Completed);
        world.run_until("its end is heard", is_heard);
        world.restart("w0");
        world.run_ms(if order_answers_take_ms > 0 { 450 } else { 150 });
        world.order_answers_take = Duration::from_millis(order_answers_take_ms);
        world.work_ms = Some(30);
        world.submit(11, job(vec![step(1)]));
        world.run_until("it completes", |world| world.state(11) == Some(JobState::Completed));
        let starts = world.starts.iter().filter(|(_, name, ..)| *name == task(11, 0, 0));
        assert_eq!(starts.count(), 1, "{answers_tell_start}, {order_answers_take_ms} ms");
    }
}

#[test]
fn an_owner_that_takes_over_tells_a_restart_from_the_life_that_was_used() {
    for listed_first in [true, false] {
        let mut world = used_fleet(4);
        world.work_ms = Some(5_000);
        world.submit(10, job(vec![step(4)]));
        world.run_ms(1_000);
        let on = world.worker_of(task(10, 0, 0));
        let lost = world.worker(&on).running.len();
        if listed_first {
            world.restart(&on);
            world.list_all();
            world.run_ms(30);
            world.take_over(2, true);
        } else {
            world.restart(&on);
            world.take_over(2, true);
        }
        let at = world.now;
        world.run_until("all run again", |world| world.starts.len() == 4 + lost);
        assert!(world.now.since(at).as_millis() < 1_500, "they waited for a lease");
        world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
        let rows = world.lives.keys().cloned().collect::<BTreeSet<_>>();
        world.run_ms(1_000);
        assert_eq!(world.starts.len(), 4 + lost, "what ran elsewhere went on");
        assert_eq!(
            world.lives.len(),
            4,
            "a row for each life, none of those that are over: {rows:?}"
        );
    }
}

#[test]
fn each_start_of_a_worker_has_a_row_of_its_own() {
    let mut world = used_fleet(4);
    let rows =
        |world: &World| world.lives.values().map(|life| life.incarnation).collect::<Vec<_>>();
    assert_eq!(rows(&world), [Some(Incarnation(DAY_UNIX_MS)); 4]);
    world.restart("w0");
    let now = world.worker("w0").entry.incarnation;
    world.list_all();
    world.run_ms(1_000);
    assert_eq!(rows(&world).len(), 4, "the row of the start that is over is gone");
    assert!(rows(&world).contains(&now), "the one that tasks are started on is there");
}

#[test]
fn rows_of_before_starts_were_told_apart_are_read() {
    let row = r#"{"id":"w0","address":"10.0.0.0:80","service":"desk"}"#;
    let record = serde_json::from_str::<LifeRecord>(row).unwrap();
    assert_eq!((record.key().to_string().as_str(), record.incarnation), ("w0", None));
    let run = serde_json::from_str::<BegunRun>(r#"{"run":3,"worker":"w0"}"#).unwrap();
    assert_eq!(run.life(), record.key());
}

#[test]
fn a_task_that_crashes_the_same_worker_again_is_given_up() {
    for back_after_ms in [50, 300, 3_000] {
        let mut world = World::new(2);
        world.tell_incarnations();
        world.crashes.same_id = true;
        world.crashes.back_after = Duration::from_millis(back_after_ms);
        world.make_crashing(task(1, 0, 0));
        world.submit(1, job(vec![step(1)]));
        world.run_ms(60_000);
        let starts = world.starts_after_third_crash(task(1, 0, 0));
        assert!(
            starts <= 2,
            "{starts} starts after the third crash, back after {back_after_ms} ms"
        );
        assert_eq!(world.state(1), Some(JobState::Failed), "back after {back_after_ms} ms");
    }
}

#[test]
fn what_an_order_of_before_leased_is_outwaited() {
    // The order carries a time on the clock of before, which the next start takes for one far ahead and cuts to the longest
    // lease that it grants. The fleet panics if a task runs twice.
    let mut world = used_fleet(3);
    world.work_ms = Some(20_000);
    world.restart("w0");
    world.submit(10, job(vec![StepSpec { size: Resources::new(4_000, 512, 0), ..step(2) }]));
    let runs_there = |world: &World| !world.workers["w0"].running.is_empty();
    world.run_until("it runs there", runs_there);
    world.run_ms(60);
    world.worker("w0").mood = Mood::Cut;
    world.run_ms(5_500);
    world.lapse("w0");
    world.run_ms(10_000);
}

#[test]
fn orders_of_before_that_reach_the_next_start_do_not_depose_the_owner() {
    let mut world = used_fleet(2);
    world.worker("w0").crash();
    world.run_ms(3_300);
    world.lapse("w0");
    world.run_ms(6_000);
    let token = world.workers["w0"].token;
    world.restart("w0");
    // A question to the life before, under one of the tokens that followed its silence, arrives first.
    world.worker("w0").token = token + 3;
    world.list_all();
    world.run_ms(2_000);
    assert!(!world.deposed, "the owner took its own token for another owner's");
    world.submit(10, job(vec![step(8)]));
    world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
    assert!(world.starts.iter().any(|(.., worker)| worker == "w0"), "the worker is used again");
}

#[test]
fn nothing_is_given_to_a_worker_while_it_is_unclear_which_start_of_it_lives() {
    let mut world = used_fleet(2);
    world.work_ms = Some(10_000);
    world.submit(10, job(vec![step(5)]));
    world.run_ms(500);
    let idler = ["w0", "w1"].into_iter().min_by_key(|id| world.workers[*id].running.len());
    let entry = world.workers[idler.unwrap()].entry.clone();
    // An entry that came late: nobody answers there.
    let (incarnation, address) = (Some(Incarnation(7)), "10.9.9.9:80".to_owned());
    world.list(WorkerEntry { incarnation, address, ..entry });
    let starts = world.starts.len();
    world.submit(11, job(vec![step(1)]));
    world.run_ms(100);
    assert_eq!(world.starts.len(), starts + 1, "it waits for the answer of a worker");
}

#[test]
fn a_worker_that_drained_and_started_again_is_used_again() {
    // As when its software is replaced: it says that it leaves, ends, and starts again under its id.
    for answer_first in [true, false] {
        let mut world = used_fleet(1);
        world.worker("w0").entry.draining = true;
        world.list_all();
        world.run_ms(2_000);
        world.restart("w0");
        world.worker("w0").entry.draining = false;
        if answer_first {
            world.run_ms(6_000);
        }
        world.list_all();
        world.submit(10, job(vec![step(4)]));
        world.run_until("it completes", |world| world.state(10) == Some(JobState::Completed));
    }
}

#[test]
fn answers_that_pass_each_other_are_no_sign_of_a_restart() {
    // Orders are answered late, and holds that left before or after them are answered in between.
    for answers_take_ms in [30, 70, 150, 400] {
        let mut world = used_fleet(2);
        world.order_answers_take = Duration::from_millis(answers_take_ms);
        for id in 10..40 {
            world.work_ms = Some(40 + id * 7);
            world.submit(id, job(vec![step(3)]));
            world.run_ms(110);
        }
        world.run_ms(5_000);
        let is_doubt =
            |note: &Note| matches!(note, Note::Worker { belief, .. } if belief.contains("clock"));
        let doubts = world.notes.iter().filter(|(_, note)| is_doubt(note)).count();
        assert_eq!(doubts, 0, "{answers_take_ms} ms");
    }
}

#[test]
fn workers_that_tell_no_start_are_used_as_before() {
    let mut world = World::new(4);
    world.submit(1, job(vec![step(12)]));
    world.run_until("it completes", |world| world.state(1) == Some(JobState::Completed));
    assert_eq!(world.starts.len(), 12);
}

/// Whichever seeds are asked for by hand, else some.
fn seeds() -> Range<u64> {
    let asked_for = env::var("KITETRAIL_SEEDS").ok();
    let parse = |text: String| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    };
    asked_for.and_then(parse).unwrap_or(0..110)
}

/// One of the things that may happen to a worker, an owner or the list.
fn trouble(world: &mut World, rng: &mut ChaCha8Rng, epoch: &mut u64, stale: &mut Vec<WorkerEntry>) {
    let id = format!("w{}", rng.random_range(0..world.workers.len()));
    match rng.random_range(0..10) {
        0..5 => {
            let elsewhere = rng.random_bool(0.3);
            // The time of day may have been put back; two starts of a worker never tell the same one.
            let started = DAY_UNIX_MS + world.now.as_ms() - rng.random_range(0..2) * 2_999;
            let address = match elsewhere {
                true => format!("10.1.{}.{}:80", rng.random_range(0..99), rng.random_range(0..99)),
                false => world.worker(&id).entry.address.clone(),
            };
            stale.push(world.restart_as(&id, Incarnation(started), address));
            world.run_ms(rng.random_range(0..400));
            let entry = world.worker(&id).entry.clone();
            world.list(entry);
        }
        5 if !stale.is_empty() => {
            let at = rng.random_range(0..stale.len());
            world.list(stale.swap_remove(at));
            world.run_ms(rng.random_range(0..1_200));
            world.list_all();
        }
        6 => {
            *epoch += 1;
            world.take_over(*epoch, rng.random_bool(0.5));
        }
        7 => {
            world.store_down = true;
            world.run_ms(rng.random_range(0..2_000));
            world.store_down = false;
        }
        8 => {
            let mood = [Mood::Unread, Mood::Late, Mood::Cut][rng.random_range(0..3)];
            world.worker(&id).mood = mood;
            world.run_ms(rng.random_range(0..2_000));
            world.worker(&id).mood = Mood::Well;
        }
        9 => {
            world.worker(&id).entry.draining = true;
            let leaving = world.worker(&id).entry.clone();
            world.list(leaving);
            world.run_ms(rng.random_range(0..1_500));
            stale.push(world.restart(&id));
            world.worker(&id).entry.draining = false;
            world.run_ms(rng.random_range(0..400));
            let entry = world.worker(&id).entry.clone();
            world.list(entry);
        }
        _ => {}
    }
}

/// Whether a job was given up for a task that three workers in a row crashed under, as the users allow: nothing tells a task
/// that does so from one that was in the way three times (seed 103).
fn was_hit_three_times(world: &World, id: u64) -> bool {
    let given_up = |note: &Note| match note {
        Note::CrashingTaskGivenUp { task, workers } => task.job == JobId(id) && workers.len() >= 3,
        _ => false,
    };
    world.notes.iter().any(|(_, note)| given_up(note))
}

#[test]
fn whatever_starts_again_tasks_run_once_and_all_jobs_end() {
    // The fleet panics if a task runs twice at a time, or is started after an end that was taken note of.
    for seed in seeds() {
        println!("seed {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(6);
        world.tell_incarnations();
        let tell_start = rng.random_bool(0.5);
        for worker in world.workers.values_mut() {
            worker.answers_tell_start = tell_start;
        }
        let (mut epoch, mut stale) = (1, Vec::new());
        world.work_ms = Some(rng.random_range(50..1_500));
        world.order_answers_take = Duration::from_millis(rng.random_range(0..3) * 150);
        for id in 1..=20 {
            world.submit(
                id,
                job(vec![
                    step(rng.random_range(1..6)),
                    StepSpec { depends_on: vec![0], ..step(2) },
                ]),
            );
            world.run_ms(rng.random_range(0..700));
            trouble(&mut world, &mut rng, &mut epoch, &mut stale);
            world.run_ms(rng.random_range(0..700));
        }
        world.list_all();
        world.run_ms(40_000);
        let accepted = (1..=20).filter(|&id| world.state(id).is_some());
        let open = accepted.filter(|&id| {
            world.state(id) != Some(JobState::Completed) && !was_hit_three_times(&world, id)
        });
        assert_eq!(open.collect::<Vec<_>>(), [0; 0], "jobs that did not end, seed {seed}");
        assert!(!world.deposed, "deposed, seed {seed}");
    }
}
