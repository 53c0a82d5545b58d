//! Tests of `verdict`.

use super::*;

const TASKS: u32 = 2;

/// Submission of a job, made first at `submission_started_at`.
fn job(id: u64, submission_started_at: Instant, is_accepted: bool) -> Submission {
    Submission {
        job: JobId(id),
        task_count: TASKS,
        submission_started_at,
        is_accepted,
    }
}

/// Histories of all tasks of a job, each started once, `start_delay_s` after the submission.
fn task_histories(
    id: u64,
    submission_started_at: Instant,
    start_delay_s: u64,
    completions: usize,
) -> TaskHistories {
    let history = TaskHistory {
        first_start: submission_started_at + Duration::from_secs(start_delay_s),
        starts: 1,
        completions,
    };
    let task = |index| TaskId {
        job: JobId(id),
        index,
    };
    (0..TASKS).map(|index| (task(index), history)).collect()
}

fn failures(jobs: &[Submission], first_job: usize, histories: &TaskHistories) -> Vec<StageFailure> {
    JobMeasurements::new(jobs, first_job, histories, DoneResponses::default()).failures()
}

#[test]
fn jobs_that_ran_once_and_in_time_pass() {
    let now = Instant::now();
    let mut histories = task_histories(1, now, 3, 1);
    histories.extend(task_histories(2, now, START_TIMEOUT.as_secs(), 1));
    let jobs = [job(1, now, true), job(2, now, true)];
    assert_eq!(failures(&jobs, 0, &histories), []);
    let measurements = JobMeasurements::new(&jobs, 0, &histories, DoneResponses::default());
    assert_eq!(
        measurements.to_string(),
        "jobs 2 submitted, 2 accepted, 2 started, 2 completed; longest start 40.0 s, all answered done after 0.0 s"
    );
}

#[test]
fn job_not_accepted_is_reported_and_need_not_run() {
    let now = Instant::now();
    let jobs = [job(1, now, false)];
    assert_eq!(
        failures(&jobs, 0, &TaskHistories::new()),
        [StageFailure::JobsNotAccepted(1)]
    );
}

#[test]
fn job_with_unstarted_task_is_reported() {
    let now = Instant::now();
    let mut histories = task_histories(1, now, 3, 1);
    histories.pop_last();
    let expected = [
        StageFailure::JobsNotStarted(1),
        StageFailure::JobsNotCompleted(1),
    ];
    assert_eq!(failures(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn late_start_is_reported() {
    let now = Instant::now();
    let histories = task_histories(1, now, START_TIMEOUT.as_secs() + 1, 1);
    let expected = [StageFailure::JobsStartedLate(1)];
    assert_eq!(failures(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn incomplete_job_is_reported() {
    let now = Instant::now();
    let histories = task_histories(1, now, 3, 0);
    let expected = [StageFailure::JobsNotCompleted(1)];
    assert_eq!(failures(&[job(1, now, true)], 0, &histories), expected);
}

#[test]
fn repeated_start_or_completion_is_reported_for_earlier_stages() {
    let now = Instant::now();
    let jobs = [job(1, now, true), job(2, now, true)];
    let mut histories = task_histories(1, now, 3, 2);
    histories.extend(task_histories(2, now, 3, 1));
    assert_eq!(
        failures(&jobs, 1, &histories),
        [StageFailure::TasksRepeated(2)]
    );
    let mut histories = task_histories(1, now, 3, 1);
    histories.extend(task_histories(2, now, 3, 1));
    histories.values_mut().take(1).for_each(|h| h.starts = 2);
    assert_eq!(
        failures(&jobs, 1, &histories),
        [StageFailure::TasksRepeated(1)]
    );
}

fn pairs(pairs: &[(usize, u64)]) -> Vec<ControllerJob> {
    let pair = |(controller, job): &(usize, u64)| ControllerJob {
        controller: *controller,
        job: JobId(*job),
    };
    pairs.iter().map(pair).collect()
}

#[test]
fn missing_done_responses_are_reported() {
    let missing = pairs(&[(0, 1), (2, 1), (0, 2)]);
    let done_responses = DoneResponses {
        longest_wait: Duration::from_secs(2),
        missing: missing.clone(),
    };
    let measurements = JobMeasurements::new(&[], 0, &TaskHistories::new(), done_responses);
    assert_eq!(
        measurements.failures(),
        [StageFailure::DoneResponsesMissing(missing)]
    );
}

#[test]
fn missing_done_responses_are_counted_by_controller() {
    let missing = StageFailure::DoneResponsesMissing(pairs(&[(2, 1), (0, 1), (0, 2)]));
    assert_eq!(
        missing.to_string(),
        "3 done responses missing 30 s after the last task (n0: 2, n2: 1)"
    );
}

#[test]
fn running_controllers_outside_the_epoch_are_found() {
    assert!(non_members(&[0, 1, 2], &[2, 1, 0]).is_empty());
    assert_eq!(non_members(&[0, 1, 2], &[1]), [0, 2]);
    assert_eq!(non_members(&[0, 1, 2], &[]), [0, 1, 2]);
    // A killed controller may still be a member.
    assert!(non_members(&[0, 2], &[0, 1, 2]).is_empty());
    assert!(non_members(&[], &[]).is_empty());
}

#[test]
fn epoch_requires_leader_and_all_running_controllers() {
    assert_eq!(epoch_failures(Some(1), vec![]), []);
    assert_eq!(epoch_failures(None, vec![]), [StageFailure::NoLeader]);
    let non_members = vec![0, 2];
    let expected = [StageFailure::NotMembers(non_members.clone())];
    assert_eq!(epoch_failures(Some(1), non_members.clone()), expected);
    let expected = [
        StageFailure::NoLeader,
        StageFailure::NotMembers(non_members.clone()),
    ];
    assert_eq!(epoch_failures(None, non_members), expected);
}

#[test]
fn verdict_is_formatted_on_one_line() {
    assert_eq!(describe_failures(&[]), "pass");
    let failures = [
        StageFailure::NotReady(1),
        StageFailure::NotMembers(vec![0, 1]),
        StageFailure::DoneResponsesMissing(pairs(&[(1, 3), (1, 4)])),
    ];
    assert_eq!(
        describe_failures(&failures),
        "FAIL: n1 was not ready for requests in 40 s, 2 running controllers not members of the epoch (n0, n1), \
         2 done responses missing 30 s after the last task (n1: 2)"
    );
}
