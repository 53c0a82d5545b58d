//! Every constant of the service, with its unit and the reason for its value.
//!
//! Limits of a deployment are not here: they come from the settings file and the catalogue.

/// Milliseconds between two looks at the time. What happens is acted on at once; this is for what
/// falls due.
pub const TICK_MS: u64 = 100;

/// Milliseconds a decision round may take before it is put off to the next one. A quarter of a
/// tick leaves the rest for answering requests.
pub const ROUND_BUDGET_MS: u64 = 12;

/// Milliseconds a member key outlives its controller's last renewal. Longer than the slowest
/// answers of the state service (a few hundred ms) several times over; as short as that allows,
/// because nobody takes over a dead controller's part before.
pub const LEASE_TTL_MS: u64 = 4_000;

/// Milliseconds between renewals of the lease: three can be lost.
pub const RENEW_EVERY_MS: u64 = 1_000;

/// Milliseconds between reads of the control keys, which find dead members and confirm the epoch.
pub const CONTROL_EVERY_MS: u64 = 1_000;

/// Milliseconds after sending a request that confirmed the epoch during which a controller may
/// act. Three control reads can fail meanwhile. An outage of the state service may last this long
/// plus a worker's lease (16 s at the shortest seen) without costing one; a new owner waits this
/// long on top of the lease before it gives up a silent machine.
pub const EPOCH_LEASE_MS: u64 = 4_000;

/// Milliseconds added to every lease computed here, for late timers.
pub const LEASE_MARGIN_MS: u64 = 500;

/// Share by which steady clocks may drift against each other (0.05%), doubled.
pub const CLOCK_DRIFT: f64 = 0.001;

/// Control reads in a row that must show a new member before an epoch admits it, so that a
/// controller that keeps crashing does not cost an epoch each time.
pub const ADMIT_AFTER_READS: u32 = 2;

/// Milliseconds between exchanges of an owner with the leader when nothing presses.
pub const SYNC_EVERY_MS: u64 = 500;

/// Milliseconds between exchanges when something has changed: often enough not to be felt beside
/// workers' reports, which come every half second at most.
pub const SYNC_PRESSING_MS: u64 = 100;

/// Milliseconds without a message from a part's owner after which it is handed nothing: two exchanges
/// and a deadline.
pub const PART_SILENT_MS: u64 = 2_000;

/// Milliseconds between two tellings of jobs' progress to a part's owner. Users see it in answers to
/// polls 5 s apart.
pub const PROGRESS_EVERY_MS: u64 = 1_000;

/// Milliseconds between the beginnings of two rounds of handing out.
pub const ROUND_EVERY_MS: u64 = 50;

/// Milliseconds after which a job that had no task handed out comes before all others: less than half
/// of the four minutes within which even the largest job must begin, so that it holds under a burst.
pub const STARVED_MS: u64 = 100_000;

/// Age of a job, milliseconds, from which it has waited long enough for that after
/// [`STARVED_OLD_MS`] already: it has begun by then, and has to get done as well.
pub const OLD_JOB_MS: u64 = 200_000;

/// Milliseconds without a task handed out after which an old job comes before all others: with an
/// eighth of its tasks each time, most of them are out within four minutes.
pub const STARVED_OLD_MS: u64 = 25_000;

/// One in so many of its waiting tasks, and at least one, is what such a job gets at a time: enough
/// to get it done in the end, little enough not to turn the order of service around.
pub const STARVED_SHARE: u32 = 8;

/// Milliseconds after which an exchange is given up and repeated.
pub const SYNC_DEADLINE_MS: u64 = 1_000;

/// Milliseconds after which a state service request counts as unanswered.
pub const STORE_DEADLINE_MS: u64 = 1_500;

/// Milliseconds without an answer after which a write that somebody waits for is sent once more: answers
/// usually take 10 ms, and now and then one takes a few hundred.
pub const STORE_SLOW_MS: u64 = 400;

/// Milliseconds a watch waits for a change, at the most: two waits, and an answer that is missed, have to
/// pass within the time for which a controller may act without having heard what was cancelled.
pub const FOLLOW_WAIT_MS: u64 = 10_000;

/// Milliseconds to wait before a refused or unanswered state service request is repeated.
pub const STORE_RETRY_MS: u64 = 300;

/// Share of the state service's write limit that all owners together use for machines' records: the
/// part that must not wait, because nothing is launched before it.
pub const RECORD_SHARE: f64 = 0.5;

/// Share of the write limit that the leader uses for ends of jobs and claims. A job's end takes two
/// changes, and users wait for it.
pub const END_SHARE: f64 = 0.2;

/// Seconds that their share takes to write the ends that wait, from which on the log tells of it: users are told
/// of an end within three seconds where it can be helped (protocol).
pub const ENDS_BEHIND_S: f64 = 10.0;

/// Share of the write limit that the leader uses for pages of completions and of former epochs' records,
/// half of it for each. They are many to a page and nobody waits for them; with a share of their own
/// they cannot keep the ends of jobs from theirs.
pub const PAGE_SHARE: f64 = 0.2;

/// Share of the write limit that one controller uses for submissions and cancellations. They come in
/// bursts at one controller or another; a 429 corrects what is too much together.
pub const USER_WRITE_SHARE: f64 = 0.3;

/// Pages in one write, if a transaction takes as many: five of the largest values seen (8 KiB) would fill
/// one.
pub const PAGES_AT_ONCE: usize = 4;

/// One in so many bytes of a value is left for a page's frame and for estimates of its entries that
/// are too low: 128 of the smallest value seen (2 KiB), several times what either takes.
pub const PAGE_MARGIN: usize = 16;

/// One in so many parts of a page must be free for entries to go there: so that a write seldom needs
/// two pages.
pub const PAGE_ROOM: usize = 4;

/// Entries that are merely no longer needed, for which one counts that would mislead after a crash: an
/// attempt that was lost keeps its task from running until its machine's lease is over.
pub const URGENT_ENTRIES: u32 = 16;

/// Milliseconds a page may list what is no longer needed before it is written for that alone.
pub const LAZY_PAGE_MS: u64 = 5_000;

/// Share of the state service's request limit that one controller uses for users' questions. Three
/// use three quarters; watches, renewals, control reads and writes have the rest.
pub const READ_SHARE: f64 = 0.25;

/// Milliseconds between the answer of a watch and the next one: bounds the requests that a stream of
/// changes causes.
pub const FOLLOW_PAUSE_MS: u64 = 30;

/// Milliseconds for which the state service's limit counts as used up after it has refused a write.
pub const REFUSED_LATELY_MS: u64 = 10_000;

/// Milliseconds between two writes of pages of one kind while it does: little beside what launches take anyway,
/// and a third of the changes that the share of records would allow at the limits seen.
pub const PAGES_PACE_MS: u64 = 250;

/// Bytes of one transaction, kept below the state service's 64 KiB.
pub const TXN_BYTES: usize = 48 * 1024;

/// Milliseconds without an answer of the state service after which a controller asks its peers
/// whether they are better off: longer than an ordinary slow answer.
pub const STORE_DOUBT_MS: u64 = 1_800;

/// Milliseconds between such questions.
pub const STORE_ASK_MS: u64 = 1_000;

/// Milliseconds a peer's word on the state service counts.
pub const STORE_WORD_MS: u64 = 3_500;

/// Milliseconds without an answer of the state service, nor a word from any peer, after which a
/// controller is not healthy.
pub const HEALTH_STORE_MS: u64 = 5_000;

/// Milliseconds without an answer of the state service after which user requests are refused at
/// once rather than after a deadline.
pub const STORE_SILENT_MS: u64 = 2_500;

/// Submissions waiting at a controller from which they are taken in many to a key. Fewer are written
/// one to a key at once, which saves the second write.
pub const INTAKE_FROM: usize = 6;

/// Share of the write limit that the leader uses to give jobs taken in together keys of their own.
pub const INTAKE_SHARE: f64 = 0.4;

/// Milliseconds a submission waits for its turn to be written before its user is asked to come back:
/// half of what users wait for an answer.
pub const SUBMIT_PATIENCE_MS: u64 = 2_500;

/// Seconds a refused user is asked to wait: the least the protocol knows.
pub const RETRY_AFTER_S: u64 = 1;

/// Bytes of a request body (protocol).
pub const BODY_BYTES: usize = 64 * 1024;

/// Bytes of a machine's name: half of a key of the state service (protocol).
pub const NAME_BYTES: usize = 100;

/// Bytes by which a stored job is longer than its description: the frame around it and the time of
/// acceptance, rounded up.
pub const JOB_FRAME_BYTES: usize = 256;

/// Tasks of a job (protocol).
pub const MAX_TASKS: u32 = 100_000;

/// Tasks of a job per entry of completions: the worst entry, every other task done, takes half a KiB, so
/// that it fits a page of the smallest value ([`LEAST_VALUE_KB`]). Entries read may span more.
pub const DONE_CHUNK: u32 = 64;

/// Final job states kept in memory per controller, a quarter of an hour at ten jobs a second; the rest is read from
/// the store when asked.
pub const FINALS_KEPT: usize = 10_000;

/// Jobs that are over and kept in memory per controller, for a leader that finds attempts of theirs on record:
/// what ends in minutes, several leases, at the ten jobs a second of 4,000 machines; 600 bytes each.
pub const CLOSED_KEPT: usize = 4_096;

/// Final states that a new leader reads at a time before it begins: one for each job that is on record and not
/// open. Some of the connections to the state service, which others use meanwhile.
pub const LOAD_FINALS_AT_ONCE: usize = 8;

/// Bytes that an exchange takes while it is under way: a request that waits for its answer, or a call.
pub const EXCHANGE_BYTES: usize = 20_000;

/// Share of the memory for exchanges of one kind: direct orders under way, or users' requests that wait for
/// the state service. Both together leave three quarters to what is kept.
pub const EXCHANGE_SHARE: f64 = 0.125;

/// Exchanges of one kind there may be in any case, 10 MB: when many machines hang together, each order is given
/// up only at its deadline. The rest goes with the answers to reports, and users are refused at once.
pub const LEAST_EXCHANGES: usize = 512;

/// Milliseconds after which a worker gives up on a report that was not answered, and drops a later answer (protocol).
pub const REPORT_DEADLINE_MS: u64 = 4_000;

/// Milliseconds after which direct orders to a worker count as unanswered. Its next report, in at
/// most a few seconds, serves as well.
pub const ORDERS_DEADLINE_MS: u64 = 2_000;

/// Milliseconds without direct orders to a worker that left some unanswered.
pub const ORDERS_PAUSE_MS: u64 = 10_000;

/// Milliseconds between probes of a worker that may not be reached.
pub const PROBE_PAUSE_MS: u64 = 3_000;

/// Answers in a row that a worker's reports show no sign of, after which it counts as not reached. One
/// report may have left before the first answer came, one answer may have been lost.
pub const UNHEEDED_ANSWERS: u32 = 4;

/// Leases after which a machine that is heard but not reached goes back: more than two, so a machine
/// that merely hung has had its chance.
pub const UNREACHED_RETURN_LEASES: f64 = 2.5;

/// Machines outside the part whose newest report is remembered in any case, to know late copies by: twice the
/// largest fleet asked for (4,000), at some 100 bytes each ...
pub const SIGHTINGS_KEPT: usize = 8_192;

/// ... and milliseconds for which more are remembered: messages arrive minutes late at the most (protocol). What
/// is rented and returned in that time bounds them.
pub const SIGHTINGS_KEPT_MS: u64 = 600_000;

/// Machines of a part that a tick looks at, the others in the ticks that follow: at 4,000 machines in one part
/// each is looked at twice a second.
pub const SWEEP_MACHINES: usize = 1_024;

/// Milliseconds a part may hold a task it finds no machine for before handing it back.
pub const QUEUED_MS: u64 = 4_000;

/// Report intervals without a report after which a machine gets no new tasks.
pub const SILENT_REPORTS: f64 = 2.6;

/// Report intervals for which a machine with replicas takes no tasks, mostly because it is silent (see
/// [`SILENT_REPORTS`]), before it is returned: others that fell silent at the same moment have been
/// noticed by then ...
pub const SILENT_RETURN_REPORTS: f64 = 1.2;

/// ... and milliseconds at the least, in which one that merely left an order unanswered has answered a probe
/// (see [`PROBE_PAUSE_MS`]).
pub const SILENT_RETURN_LEAST_MS: u64 = PROBE_PAUSE_MS + 1_000;

/// Of so many machines of a zone one may be in that state for it to be returned: more fall together by
/// something else than their own end.
pub const SILENT_SHARE: usize = 12;

/// Leases between two machines returned for that: whatever makes them look dead, most of a fleet outlives it.
pub const SILENT_RETURN_LEASES: f64 = 0.25;

/// Speed window of the design, seconds (paper: lease after its preparation allowance).
pub const SPEED_WINDOW_S: f64 = 120.0;

/// Speed of a machine nothing is known of, seconds of estimated work per second held (design).
pub const START_SPEED: f64 = 1.0;

/// Weight of a new measurement in a machine's speed: four or five tasks outweigh the past.
pub const SPEED_WEIGHT: f64 = 0.2;

/// Upper bounds of the size bands for over-capacity placements, seconds of estimated work.
pub const SIZE_BANDS_S: [f64; 4] = [60.0, 120.0, 240.0, 480.0];

/// Milliseconds between two over-capacity summaries (design).
pub const SUMMARY_EVERY_MS: u64 = 30_000;

/// Milliseconds a task waits without any part having room before the leader claims a machine.
pub const CLAIM_AFTER_MS: u64 = 3_000;

/// Claims the leader may hold at a time on a small fleet: enough to unblock wide tasks, few enough not
/// to idle it ...
pub const CLAIMS_AT_ONCE: usize = 4;

/// ... and on a large one, one in so many of its machines.
pub const CLAIMS_SHARE: usize = 16;

/// Milliseconds a task waits without any part having room before others are stopped for it. On a
/// busy fleet a task ends every second or so, which costs nothing.
pub const PREEMPT_AFTER_MS: u64 = 3_000;

/// Seconds before the last moment at which a waiting task can start in time, from which on others
/// are stopped for it: enough for a stop, a fetch and two reports.
pub const PRESSING_S: f64 = 10.0;

/// Seconds before work within a guarantee has waited too long, from which on it comes before work of
/// higher priority: as long as a full fleet takes to end tasks for all of a guarantee.
pub const GUARANTEE_LEAD_S: f64 = 30.0;

/// Milliseconds of work that stopping a replica counts as: a day, more than any task loses.
pub const REPLICA_LOSS_MS: u64 = 86_400_000;

/// Milliseconds back to which services that came tell how many will come: some boot times.
pub const LATELY_MS: u64 = 120_000;

/// Milliseconds within which the first of a class are taken to have come: some boot times less.
pub const LATELY_LEAST_MS: u64 = 30_000;

/// Share of all guaranteed processors that stands by, on ordinary machines, for a class of which nothing
/// was seen yet but that has to start sooner than a machine boots: some of the smallest machines, cheap
/// beside what the guarantees cost when they are used.
pub const STANDBY_SHARE: f64 = 0.02;

/// Milliseconds without a spot machine that takes tasks after which there seem to be none: a boot, and what
/// it may take longer.
pub const SPOT_PATIENCE_MS: u64 = 60_000;

/// Boot times for which room is kept for replicas that are expected: a boot takes up to one and a half
/// of the usual, and some machines never come up.
pub const RESERVE_BOOTS: f64 = 2.0;

/// Failures of a job after which its tasks wait between tries.
pub const ERRORS_BEFORE_BACKOFF: u32 = 3;

/// Different jobs that fail on a machine, with no task completing in between, after which it takes no
/// more: one job may fail everywhere by its owner's mistake, three at once hardly.
pub const FAULTY_JOBS: usize = 3;

/// Milliseconds of the first wait of a failing job; doubled up to [`ERROR_BACKOFF_MAX_MS`].
pub const ERROR_BACKOFF_MS: u64 = 2_000;

/// Longest wait of a failing job, milliseconds.
pub const ERROR_BACKOFF_MAX_MS: u64 = 60_000;

/// Longest wait of a service whose replicas keep ending, milliseconds: it is down meanwhile, so this
/// is little more than a start takes.
pub const REPLICA_BACKOFF_MAX_MS: u64 = 15_000;

/// Milliseconds after which a replica that ends has run well: several times what starting takes.
pub const STEADY_REPLICA_MS: u64 = 30_000;

/// Milliseconds between two looks at tasks that have found no room for long.
pub const PRESS_EVERY_MS: u64 = 1_000;

/// Milliseconds before records that could not be understood are read again.
pub const UNREADABLE_PAUSE_MS: u64 = 5_000;

/// Milliseconds between two looks at the fleet.
pub const FLEET_EVERY_MS: u64 = 1_000;

/// Milliseconds between two readings of the machine list.
pub const LIST_EVERY_MS: u64 = 3_000;

/// Seconds by which a list must be later than another for what is missing to be gone: more than ages
/// are rounded by.
pub const LIST_MARGIN_S: f64 = 1.0;

/// Milliseconds between two readings of the catalogue once it is known.
pub const CATALOG_EVERY_MS: u64 = 120_000;

/// Milliseconds before an unanswered or refused catalogue request is repeated.
pub const CATALOG_RETRY_MS: u64 = 1_000;

/// Milliseconds after which a cloud request counts as unanswered.
pub const CLOUD_DEADLINE_MS: u64 = 4_000;

/// Share of the cloud's request limit the leader uses.
pub const CLOUD_SHARE: f64 = 0.8;

/// Machines in one rental request (protocol).
pub const RENT_MOST: u32 = 50;

/// Rental requests under way at a time in any case, and more where the cloud takes so many that these are
/// fewer than half of its calls of a second. Answers take some 200 ms, so that one after the other they would take a
/// second for 250 machines.
pub const LEAST_RENTALS: usize = 4;

/// Machines in one return request (protocol).
pub const RETURN_MOST: usize = 100;

/// Seconds a task of a class without objectives may wait: near the 60 s that a machine costs at the
/// least.
pub const SLACK_DEFAULT_S: f64 = 60.0;

/// Least seconds of work that justify renting a machine's worth of processors, however urgent.
pub const SLACK_LEAST_S: f64 = 5.0;

/// Most seconds of work that are left waiting for machines rented already, however patient.
pub const SLACK_MOST_S: f64 = 20.0;

/// Milliseconds a refused (type, zone, kind) is not asked for again.
pub const RENT_REFUSED_MS: u64 = 15_000;

/// Boot times of its type that a machine stays empty, with nothing waiting, before it is returned: what
/// is kept for less long would often be missed before another is up.
pub const IDLE_BOOTS: f64 = 0.5;

/// Milliseconds a machine stays empty at the least, however fast its type boots: a sixth of what one
/// costs at the least.
pub const IDLE_LEAST_MS: u64 = 10_000;

/// Report intervals for which a machine that the cloud lists as running counts as one that will take
/// work without having been heard of. After a crash a worker may need a report, its deadline and a
/// redirect to find its new owner.
pub const UNHEARD_REPORTS: f64 = 4.0;

/// Times the nominal boot time after which a starting machine is given up ...
pub const BOOT_FACTOR: f64 = 3.0;

/// ... and seconds added to that.
pub const BOOT_EXTRA_S: f64 = 20.0;

/// Attempts numbered per epoch: an attempt's number is the epoch's times this plus a count. At a thousand a
/// second they last for four hours and a half, after which the leader begins a new epoch.
pub const ATTEMPTS_PER_EPOCH: u64 = 1 << 24;

/// Share of its estimate that a running task is taken to need still, however long it has run:
/// estimates are often wrong by half.
pub const LEFT_AT_LEAST: f64 = 0.2;

/// Report intervals without any report, from all of several machines, after which a controller
/// concludes that workers do not reach it. Reports come at most a quarter later than the interval.
pub const UNREACHED_REPORTS: f64 = 1.7;

/// Machines that must all be silent for that conclusion: fewer may well have died together.
pub const UNREACHED_MACHINES: usize = 3;

/// Milliseconds after which a controller that workers did not reach offers itself again ...
pub const REACH_RETRY_MS: u64 = 45_000;

/// ... doubled each time it was in vain, up to this.
pub const REACH_RETRY_MAX_MS: u64 = 600_000;

/// Milliseconds without an answer of the leader after which a controller steps back from owning
/// machines. Longer than a leader is busy with records after a crash; a dead one is found out before
/// by its lease.
pub const LEADER_LOST_MS: u64 = 6_000;

/// Milliseconds for which it stays back at the least, so that a link that fails now and then does not
/// cost an epoch each time.
pub const LEADER_RETRY_MS: u64 = 10_000;

/// Slack for sums of decimal fractions, such as processors.
pub const ROUNDING: f64 = 1e-6;

/// Keys in one page of the state service's listing (protocol).
pub const STATE_PAGE: usize = 1_000;

/// Machines in one page of the cloud's list (protocol).
pub const CLOUD_PAGE: usize = 500;

/// Longest frame taken from a peer, bytes: several times the largest one sent ([`SYNC_MACHINES`],
/// [`SYNC_CHANGES`]).
pub const FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Machines described in one exchange between an owner and the leader, the others in the next: twice the largest
/// fleet asked for (4,000), at some 100 bytes each and 300 at the most.
pub const SYNC_MACHINES: usize = 8_192;

/// Attempts, ends, or tasks of any other kind in one exchange, the others in the next one, 100 ms later. Each is
/// some 50 bytes and 200 at the most. More at a time would be told again and again by a controller that
/// cannot take them in within the deadline of an exchange.
pub const SYNC_CHANGES: usize = 4_096;

/// Milliseconds of pause after a connection could not be accepted: out of sockets, most likely, so
/// connections need time to close.
pub const ACCEPT_PAUSE_MS: u64 = 20;

/// Report intervals without a request after which a connection is closed: its worker has died, was cut
/// off or reports to another controller.
pub const IDLE_REPORTS: f64 = 4.0;

/// Milliseconds that a connection may be idle in any case: users ask every 5 s.
pub const IDLE_CONNECTION_MS: u64 = 20_000;

/// Connections to the state service: the long watch, the batch under way, renewal, control read,
/// and room for users' reads.
pub const STATE_CONNECTIONS: usize = 16;

/// Connections to the cloud: list, rental, return, catalogue.
pub const CLOUD_CONNECTIONS: usize = 4;

/// Connections taken from peers: each has one or two, and may leave dead ones behind.
pub const PEER_CONNECTIONS: usize = 16;

/// Sockets kept back from users and workers: the above, both listeners, the clients of the peers.
pub const OWN_SOCKETS: usize = STATE_CONNECTIONS + CLOUD_CONNECTIONS + PEER_CONNECTIONS + 12;

/// One in so many of the other sockets may be a connection to a worker.
pub const WORKER_SHARE: usize = 4;

/// One in so many of the connections of users and workers is left free: beyond that a connection is closed
/// after each answer, so that more clients than there are connections share them.
pub const SPARE_CONNECTIONS: usize = 8;

/// Milliseconds between two lines of the log that tell how connections compare with their limit.
pub const CONNECTIONS_TOLD_MS: u64 = 60_000;

/// Bytes that a record of an attempt takes in the state service, rounded up.
pub const RECORD_BYTES: usize = 80;

/// Requests a second that a controller needs of the state service to keep its lease and its epoch: a renewal and
/// a read of the control keys.
pub const LEAST_STATE_RPS: f64 = 2.0;

/// The fewest changes in a transaction the service can work with: a job's end removes one key and
/// writes another.
pub const LEAST_TXN_OPS: usize = 2;

/// The smallest value the service can work with, KiB: a job's description, and a record or two to a page.
pub const LEAST_VALUE_KB: f64 = 1.0;

/// The fewest sockets it can work with: its own, and some for others.
pub const LEAST_SOCKETS: usize = 64;

/// Milliseconds the command-line client waits for an answer, as users do (protocol).
pub const CLIENT_DEADLINE_MS: u64 = 5_000;
