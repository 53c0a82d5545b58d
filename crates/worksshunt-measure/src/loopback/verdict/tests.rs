//! Tests of `verdict`.

use super::*;

const TASKS: u32 = 2;

/// A job submitted at that time.
fn job(id: u64, begun_at: Instant, accepted: bool) -> Submission {
    Submission {
        job: JobId(id),
        tasks: TASKS,
        begun_at,
        accepted,
    }
}

/// All tasks of a job, started once that long after its submission and completed so often.
fn ran(id: u64, begun_at: Instant, after_s: u64, completions: usize) -> Histories {
    let history = TaskHistory {
        first_start: begun_at + Duration::from_secs(after_s),
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
fn a_job_that_nobody_accepted_is_reported_and_need_not_run() {
    let now = Instant::now();
    let jobs = [job(1, now, false)];
    assert_eq!(
        judged(&jobs, 0, &Histories::new()),
        [Shortfall::NotAccepted(1)]
    );
}

#[test]
fn a_job_with_a_task_that_did_not_start_is_reported() {
    let now = Instant::now();
    let mut histories = ran(1, now, 3, 1);
    histories.pop_last();
    let expected = [Shortfall::NotStarted(1), Shortfall::NotCompleted(1)];
    assert_eq!(judged(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn a_late_start_is_reported() {
    let now = Instant::now();
    let histories = ran(1, now, START_BOUND.as_secs() + 1, 1);
    let expected = [Shortfall::StartedLate(1)];
    assert_eq!(judged(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn a_job_that_does_not_complete_is_reported() {
    let now = Instant::now();
    let histories = ran(1, now, 3, 0);
    let expected = [Shortfall::NotCompleted(1)];
    assert_eq!(judged(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn a_second_start_or_completion_is_reported_for_earlier_stages_too() {
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

fn pairs(pairs: &[(usize, u64)]) -> Vec<ControllerJob> {
    let pair = |(node, job): &(usize, u64)| ControllerJob {
        node: *node,
        job: JobId(*job),
    };
    pairs.iter().map(pair).collect()
}

#[test]
fn answers_that_are_missing_are_reported() {
    let missing = pairs(&[(0, 1), (2, 1), (0, 2)]);
    let done = DoneAnswers {
        longest: Duration::from_secs(2),
        missing: missing.clone(),
    };
    let measured = Measured::of(&[], 0, &Histories::new(), done);
    assert_eq!(measured.shortfalls(), [Shortfall::NotAnsweredDone(missing)]);
}

#[test]
fn missing_answers_name_their_controllers_with_how_many_each_owes() {
    let missing = Shortfall::NotAnsweredDone(pairs(&[(2, 1), (0, 1), (0, 2)]));
    assert_eq!(
        missing.to_string(),
        "3 answers not done 30 s after the last task (n0: 2, n2: 1)"
    );
}

#[test]
fn running_controllers_that_the_epoch_does_not_name_are_found() {
    assert!(non_members(&[0, 1, 2], &[2, 1, 0]).is_empty());
    assert_eq!(non_members(&[0, 1, 2], &[1]), [0, 2]);
    assert_eq!(non_members(&[0, 1, 2], &[]), [0, 1, 2]);
    // A killed controller may still be named.
    assert!(non_members(&[0, 2], &[0, 1, 2]).is_empty());
    assert!(non_members(&[], &[]).is_empty());
}

#[test]
fn an_epoch_needs_a_leader_and_all_running_controllers() {
    assert_eq!(epoch_shortfalls(Some(1), vec![]), []);
    assert_eq!(epoch_shortfalls(None, vec![]), [Shortfall::NoLeader]);
    let non_members = vec![0, 2];
    let expected = [Shortfall::NotMembers(non_members.clone())];
    assert_eq!(epoch_shortfalls(Some(1), non_members.clone()), expected);
    let expected = [
        Shortfall::NoLeader,
        Shortfall::NotMembers(non_members.clone()),
    ];
    assert_eq!(epoch_shortfalls(None, non_members), expected);
}

#[test]
fn the_verdict_is_one_line() {
    assert_eq!(describe(&[]), "pass");
    let shortfalls = [
        Shortfall::NotReady(1),
        Shortfall::NotMembers(vec![0, 1]),
        Shortfall::NotAnsweredDone(pairs(&[(1, 3), (1, 4)])),
    ];
    assert_eq!(
        describe(&shortfalls),
        "FAIL: n1 was not ready for requests in 40 s, 2 running controllers not members of the epoch (n0, n1), \
         2 answers not done 30 s after the last task (n1: 2)"
    );
}
