//! Tests of `verdict`.

use super::*;

const TASKS: u32 = 2;

/// A job submitted at that moment.
fn job(id: u64, begun: Instant, accepted: bool) -> Submission {
    Submission {
        job: JobId(id),
        tasks: TASKS,
        begun,
        accepted,
    }
}

/// All tasks of a job, started once that long after the moment and completed so often.
fn ran(id: u64, begun: Instant, after_s: u64, completions: usize) -> Histories {
    let history = TaskHistory {
        first_start: begun + Duration::from_secs(after_s),
        starts: 1,
        completions,
    };
    let task = |index| TaskId {
        job: JobId(id),
        index,
    };
    (0..TASKS).map(|index| (task(index), history)).collect()
}

fn judged(jobs: &[Submission], first: usize, histories: &Histories) -> Vec<Shortfall> {
    Measured::of(jobs, first, histories, DoneAnswers::default()).shortfalls()
}

#[test]
fn jobs_that_ran_once_and_in_time_pass() {
    let now = Instant::now();
    let mut histories = ran(1, now, 3, 1);
    histories.extend(ran(2, now, START_BOUND.as_secs(), 1));
    let jobs = [job(1, now, true), job(2, now, true)];
    assert_eq!(judged(&jobs, 0, &histories), []);
    let measured = Measured::of(&jobs, 0, &histories, DoneAnswers::default());
    assert_eq!(
        measured.to_string(),
        "jobs 2 submitted, 2 accepted, 2 started, 2 completed; longest start 40.0 s, all answered done after 0.0 s"
    );
}

#[test]
fn a_job_that_nobody_accepted_is_told_and_need_not_run() {
    let now = Instant::now();
    let jobs = [job(1, now, false)];
    assert_eq!(
        judged(&jobs, 0, &Histories::new()),
        [Shortfall::NotAccepted(1)]
    );
}

#[test]
fn a_job_with_a_task_that_did_not_start_is_told() {
    let now = Instant::now();
    let mut histories = ran(1, now, 3, 1);
    histories.pop_last();
    let expected = [Shortfall::NotStarted(1), Shortfall::NotCompleted(1)];
    assert_eq!(judged(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn a_late_start_is_told() {
    let now = Instant::now();
    let histories = ran(1, now, START_BOUND.as_secs() + 1, 1);
    let expected = [Shortfall::StartedLate(1)];
    assert_eq!(judged(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn a_job_that_does_not_complete_is_told() {
    let now = Instant::now();
    let histories = ran(1, now, 3, 0);
    let expected = [Shortfall::NotCompleted(1)];
    assert_eq!(judged(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn a_second_start_or_completion_is_told_for_earlier_stages_too() {
    let now = Instant::now();
    let jobs = [job(1, now, true), job(2, now, true)];
    let mut histories = ran(1, now, 3, 2);
    histories.extend(ran(2, now, 3, 1));
    assert_eq!(judged(&jobs, 1, &histories), [Shortfall::Repeated(2)]);
    let mut histories = ran(1, now, 3, 1);
    histories.extend(ran(2, now, 3, 1));
    histories.values_mut().take(1).for_each(|h| h.starts = 2);
    assert_eq!(judged(&jobs, 1, &histories), [Shortfall::Repeated(1)]);
}

#[test]
fn answers_that_are_missing_are_told() {
    let done = DoneAnswers {
        longest: Duration::from_secs(2),
        missing: 3,
    };
    let measured = Measured::of(&[], 0, &Histories::new(), done);
    assert_eq!(measured.shortfalls(), [Shortfall::NotAnsweredDone(3)]);
}

#[test]
fn the_verdict_is_told_on_one_line() {
    assert_eq!(told(&[]), "pass");
    let short = [Shortfall::NotReady(1), Shortfall::NotAnsweredDone(2)];
    assert_eq!(
        told(&short),
        "FAIL: n1 was not ready for requests in 40 s, 2 answers not done 30 s after the last task"
    );
}
