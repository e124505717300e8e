#include <check.h>
#include <stdio.h>
#include <string.h>

#include "joboutlook.h"
#include "jobsched_impl.h"
#include "rng.h"
#include "support.h"
#include "support_job.h"
#include "support_jobsim.h"

/* --- capacity forecast --- */

typedef struct OutlookCase {
    const char *name;
    int64_t free;
    int64_t gain_at_ms[3]; /* each of 1,000; 0: none */
    int64_t core_ms;
    int64_t start_ms; /* INT64_MAX: not in sight */
} OutlookCase;

static const OutlookCase outlook_cases[] = {
    {"nothing waits", 1000, {0}, 0, 100},
    {"free capacity does the work ahead", 2000, {0}, 6000, 103},
    {"the next run that ends frees the first capacity", 0, {150}, 0, 150},
    {"capacity adds up, in any order", 0, {300, 200}, 200000, 350},
    {"a run that is overdue ends at once", 0, {90}, 1000, 101},
    {"no run ends", 0, {0}, 10, INT64_MAX},
};

START_TEST(forecast_follows_ends_of_runs)
{
    const OutlookCase *row = &outlook_cases[_i];
    JobOutlook outlook = {0};
    size_t i;

    JobOutlook_Begin(&outlook, 100);
    JobOutlook_AddTarget(&outlook, 16000, row->free);
    for (i = 0; i < 3 && row->gain_at_ms[i] != 0; i++) {
        JobOutlook_AddGain(&outlook, row->gain_at_ms[i], 1000);
    }
    JobOutlook_End(&outlook);
    ck_assert_msg(JobOutlook_GetStartMs(&outlook, row->core_ms) ==
                      row->start_ms,
                  "%s: %lld", row->name,
                  (long long)JobOutlook_GetStartMs(&outlook, row->core_ms));
    JobOutlook_Free(&outlook);
}
END_TEST

/* Guards against work of lower priority, or of late jobs, that counts against
 * a job that is placed before it. */
START_TEST(work_ahead_is_by_class_and_priority)
{
    JobOutlook outlook = {0};

    JobOutlook_Begin(&outlook, 0);
    JobOutlook_AddWork(&outlook, OUTLOOK_BEGUN, 3, 1);
    JobOutlook_AddWork(&outlook, OUTLOOK_ON_TIME, 0, 10);
    JobOutlook_AddWork(&outlook, OUTLOOK_ON_TIME, 2, 100);
    JobOutlook_AddWork(&outlook, OUTLOOK_ON_TIME, 99, 1000);
    JobOutlook_AddWork(&outlook, OUTLOOK_LATE, 0, 10000);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 0), 11);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 1), 11);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 2), 111);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 1000), 1111);
    ck_assert_int_eq(JobOutlook_GetAheadOfLate(&outlook), 1111);
    JobOutlook_AddTarget(&outlook, 16000, 100);
    JobOutlook_AddGain(&outlook, 50, 1000);
    JobOutlook_End(&outlook);
    ck_assert_int_eq(JobOutlook_GetCapacity(&outlook, 150), 15000 + 100000);
    JobOutlook_Free(&outlook);
}
END_TEST

/* Guards against trust in declared run times that are wrong: the error is
 * unknown without runs, small for right ones, and large for random ones. */
START_TEST(estimates_know_their_error)
{
    JobEst *est = JobEst_New();
    Rng rng;
    int i;

    Rng_Seed(&rng, 1);
    ck_assert(JobEst_GetErrorFactor(est, "right") == EST_MAX_ERROR);
    for (i = 0; i < 200; i++) {
        uint32_t ms = 200 + Rng_Below(&rng, 1000);
        JobEst_AddRun(est, "right", ms, ms * 2);
        JobEst_AddRun(est, "wrong", ms, 100 + Rng_Below(&rng, 9000));
    }
    ck_assert(JobEst_GetErrorFactor(est, "right") < 1.1);
    ck_assert(JobEst_GetErrorFactor(est, "wrong") > 2);
    ck_assert(JobEst_GetErrorFactor(est, "wrong") <= EST_MAX_ERROR);
    JobEst_AddJob(est, "right", 100);
    JobEst_AddJob(est, "right", 300);
    ck_assert_int_eq(JobEst_GetMeanWork(est, "right"), 200);
    ck_assert_int_eq(JobEst_GetMeanWork(est, "wrong"), 0);
    JobEst_Free(est);
}
END_TEST

/* --- order --- */

/* Guards against priority that overtakes the classes: a late job of the
 * highest priority would go before jobs that can still be in time. */
START_TEST(class_goes_before_priority_and_priority_before_rank)
{
    static const SchedRank ordered[] = {
        {SCHED_LASTING, 0, 5},  {SCHED_LASTING, 0, 6},
        {SCHED_BEGUN, 0, 900},  {SCHED_BEGUN, 2, 3},
        {SCHED_ON_TIME, 0, -1}, {SCHED_ON_TIME, 0, 7},
        {SCHED_ON_TIME, 1, -9}, {SCHED_ON_TIME, 3, -99},
        {SCHED_LATE, 0, 1},     {SCHED_CRASHED_ALONE, 0, 0},
    };
    int count = (int)(sizeof(ordered) / sizeof(ordered[0]));
    int i;
    int j;

    for (i = 0; i < count; i++) {
        for (j = 0; j < count; j++) {
            int order = SchedImpl_CompareRanks(&ordered[i], &ordered[j]);
            ck_assert_int_eq((order > 0) - (order < 0), (i > j) - (i < j));
        }
    }
}
END_TEST

/* Stores a configuration in which queue "q" has a priority. */
static void
set_priority(JobState *changed, uint64_t version, uint32_t priority)
{
    JobQueue queue = {.max_attempts = 3, .slack = 1.6, .priority = priority};
    JobPool pool = {.name = "p"};
    char text[] = "text";
    JobConfig config = {.version = version,
                        .queues = &queue,
                        .queue_count = 1,
                        .pools = &pool,
                        .pool_count = 1,
                        .text = text,
                        .text_len = 4};
    Buf command = BUF_INIT;

    snprintf(queue.name, sizeof(queue.name), "q");
    snprintf(queue.pool, sizeof(queue.pool), "p");
    JobCmd_EncodeConfig(&command, &config);
    ck_assert_int_eq(JobTest_Apply(changed, &command), JOB_RESULT_OK);
}

/* Guards against a leader that has restored a snapshot, or an operator who has
 * changed a priority, and whose waiting jobs keep no or the former one. */
START_TEST(priority_follows_configuration_and_snapshot)
{
    JobState *first = JobState_New();
    JobState *restored = JobState_New();
    Buf snapshot = BUF_INIT;
    ErrCtx err;

    set_priority(first, 1, 3);
    JobTest_Submit(first, "a", 1, 1, 500);
    ck_assert_uint_eq(JobState_FindJob(first, "a")->priority, 3);
    set_priority(first, 2, 1);
    ck_assert_uint_eq(JobState_FindJob(first, "a")->priority, 1);
    JobState_Snapshot(first, &snapshot);
    ck_assert_int_eq(
        JobState_Restore(restored, snapshot.data, snapshot.len, &err), ST_OK);
    ck_assert_uint_eq(JobState_FindJob(restored, "a")->priority, 1);
    Buf_Free(&snapshot);
    JobState_Free(first);
    JobState_Free(restored);
}
END_TEST

/* --- admission --- */

#define STEP_MS 500 /* of all jobs of the tests below */

static JobState *state;
static JobSched *sched;
static int64_t now;

/* Commits queued proposals at once. Calls get no answer. */
static void
process_actions(void)
{
    JobAction action;

    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_HandleProposal(sched, now, action.cookie, ST_OK);
        }
    }
}

static void
announce(const char *id)
{
    JobAnnouncement announcement = {.room = {16000, 32000, 0}, .born = 10};
    static uint64_t order;

    snprintf(announcement.id, sizeof(announcement.id), "%s", id);
    snprintf(announcement.vm, sizeof(announcement.vm), "%s", id);
    snprintf(announcement.pool, sizeof(announcement.pool), "p");
    snprintf(announcement.address, sizeof(announcement.address), "10.0.0.1:1");
    announcement.clock_ms = now;
    announcement.order = ++order;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    process_actions();
}

/* Lets time pass while the target "t" stays in touch. */
static void
pass(int64_t ms)
{
    int64_t until = now + ms;

    while (now < until) {
        now += 50;
        announce("t");
        JobSched_Tick(sched, now, now);
        JobSched_PlaceTasks(sched, now, now);
        process_actions();
    }
}

static void
setup_admission(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    int i;

    options.overload_control = true;
    options.seed = 1;
    now = 100000;
    state = JobState_New();
    JobTest_Configure(state, 1);
    sched = JobSched_New(&options, state);
    for (i = 0; i < 50; i++) {
        JobEst_AddRun(sched->est, "q", STEP_MS, STEP_MS);
    }
    JobSched_Lead(sched, now, 1);
    announce("t");
}

static void
teardown_admission(void)
{
    JobSched_Free(sched);
    JobState_Free(state);
}

/* Accepts jobs that the target "t" needs 50 s for. */
static void
overload(void)
{
    JobStep step = {
        .count = 4, .need = {1000, 100, 0}, .estimate_ms = STEP_MS};
    JobSpec spec = {.steps = &step, .step_count = 1};
    int i;

    for (i = 0; i < 400; i++) {
        Buf command = BUF_INIT;
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "fill%d", i);
        JobCmd_EncodeSubmit(&command, id, "q", now, &spec, "");
        ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    }
    pass(100);
}

typedef struct Submitted {
    uint32_t cpu;
    uint32_t priority;
    uint32_t repeats;
    bool lasting;
} Submitted;

static bool
admit(const char *id, Submitted submitted, JobRefusal *refusal)
{
    JobStep step = {.count = 1,
                    .need = {submitted.cpu, 100, 0},
                    .estimate_ms = STEP_MS,
                    .lasting = submitted.lasting};
    JobSpec spec = {
        .steps = &step, .step_count = 1, .repeats = submitted.repeats};
    JobQueue queue = {
        .objective_ms = 600, .slack = 1.6, .priority = submitted.priority};
    JobSubmission submission = {id, &queue, &spec, ""};

    snprintf(queue.name, sizeof(queue.name), "q");
    snprintf(queue.pool, sizeof(queue.pool), "p");
    return JobSched_Admit(sched, now, &submission, refusal);
}

typedef struct AdmitCase {
    const char *name; /* which job is or is not refused */
    bool overloaded;
    int64_t placed_ms; /* how long the leader has placed */
    Submitted job;
    bool admitted;
} AdmitCase;

static const AdmitCase admit_cases[] = {
    {"one that has to wait too long", true, 2500, {1000, 1, 0, false}, false},
    {"one for which there is room", false, 2500, {1000, 1, 0, false}, true},
    {"one beside a new leader", true, 1500, {1000, 1, 0, false}, true},
    {"a lasting one", true, 2500, {1000, 1, 0, true}, true},
    {"a repeating one", true, 2500, {1000, 1, 3, false}, true},
};

START_TEST(jobs_are_refused_only_for_lack_of_capacity)
{
    const AdmitCase *row = &admit_cases[_i];
    JobRefusal refusal = {0};

    pass(row->placed_ms);
    if (row->overloaded) {
        overload();
    }
    ck_assert_msg(admit("a", row->job, &refusal) == row->admitted, "%s",
                  row->name);
    if (!row->admitted) {
        ck_assert_int_eq(refusal.cause, JOB_REFUSED_CAPACITY);
        ck_assert_int_gt(refusal.retry_ms, 0);
    }
}
END_TEST

/* Guards against a copy of an accepted submission that is refused before the
 * first one is committed: its caller would be told that the job never ran. */
START_TEST(copy_of_admitted_job_is_not_refused)
{
    static const Submitted job = {1000, 1, 0, false};
    JobRefusal refusal;

    pass(2500);
    ck_assert(admit("a", job, &refusal));
    overload();
    pass(200);
    ck_assert(!admit("b", job, &refusal));
    ck_assert(admit("a", job, &refusal));
}
END_TEST

/* Guards against callers that all come back at the same moment, and against
 * the most urgent ones coming back as late as the others. */
START_TEST(retry_times_are_spread_and_sooner_for_urgent_jobs)
{
    int64_t least[2] = {INT64_MAX, INT64_MAX};
    int64_t most[2] = {0, 0};
    int64_t sum[2] = {0, 0};
    uint32_t priority;
    int i;

    pass(2500);
    overload();
    for (priority = 0; priority < 2; priority++) {
        for (i = 0; i < 50; i++) {
            JobRefusal refusal;
            char id[JOB_ID_BYTES];
            snprintf(id, sizeof(id), "%u-%d", priority, i);
            ck_assert(
                !admit(id, (Submitted){1000, priority, 0, false}, &refusal));
            sum[priority] += refusal.retry_ms;
            least[priority] = refusal.retry_ms < least[priority]
                                  ? refusal.retry_ms
                                  : least[priority];
            most[priority] = refusal.retry_ms > most[priority]
                                 ? refusal.retry_ms
                                 : most[priority];
        }
        ck_assert_int_ge(most[priority], 2 * least[priority]);
    }
    ck_assert_int_lt(sum[0], sum[1]);
    ck_assert_uint_eq(
        JobSched_Counts(sched)->jobs_refused[JOB_REFUSED_CAPACITY], 100);
}
END_TEST

/* Guards against refusals that nobody can see to have been wrong: the jobs
 * ahead are cancelled, so that the refused one would have had room in time. */
START_TEST(needless_refusal_is_counted_once)
{
    JobRefusal refusal;
    int i;

    pass(2500);
    overload();
    ck_assert(!admit("a", (Submitted){1000, 1, 0, false}, &refusal));
    announce("u"); /* a further target */
    for (i = 0; i < 400; i++) {
        Buf command = BUF_INIT;
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "fill%d", i);
        JobCmd_EncodeCancel(&command, id, now, "");
        JobTest_Apply(state, &command);
    }
    ck_assert_uint_eq(JobSched_Counts(sched)->needless_refusals, 0);
    pass(500);
    ck_assert_uint_eq(JobSched_Counts(sched)->needless_refusals, 1);
}
END_TEST

/* Guards against a caller who counts as new when it comes back too late to be
 * served: its job would be accepted in vain. */
START_TEST(time_of_job_runs_from_first_refusal)
{
    static const Submitted job = {1000, 1, 0, false};
    JobRefusal refusal;

    pass(2500);
    overload();
    pass(200);
    ck_assert(!admit("a", job, &refusal));
    pass(4300); /* 3 x (1.6 x 500 + 600) ms is 4,200 ms */
    ck_assert(!admit("a", job, &refusal));
    ck_assert(admit("b", job, &refusal));
}
END_TEST

/* Guards against refusals while VMs that were ordered for the pool are on
 * their way. */
START_TEST(vms_on_their_way_count_as_capacity)
{
    static const Submitted job = {1000, 1, 0, false};
    JobArrival arrivals[] = {{"p", 0, 16000000}, {"other", 0, 16000000}};
    JobRefusal refusal;

    pass(2500);
    overload();
    arrivals[0].at_ms = now + 100;
    arrivals[1].at_ms = now + 100;
    JobSched_SetArrivals(sched, &arrivals[1], 1);
    pass(200);
    ck_assert(!admit("a", job, &refusal));
    arrivals[0].at_ms = now + 500;
    JobSched_SetArrivals(sched, arrivals, 2);
    pass(200);
    ck_assert(admit("b", job, &refusal));
    JobSched_SetArrivals(sched, NULL, 0);
    pass(200);
    ck_assert(!admit("c", job, &refusal));
}
END_TEST

/* A late job that fits into free room is started within LATE_START_MS, two
 * placements, whatever the jobs before it wait for. Guards against late jobs
 * that starve while the room next to others stays free. */
#define LATE_START_MS 100

START_TEST(late_job_beside_free_room_starts)
{
    JobStep step = {
        .count = 1, .need = {9000, 100, 0}, .estimate_ms = STEP_MS};
    JobSpec spec = {.steps = &step, .step_count = 1};
    int i;

    pass(500);
    for (i = 0; i <= 100; i++) {
        Buf command = BUF_INIT;
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "job%d", i);
        step.need.cpu = i == 0 ? 1000 : 9000; /* two of those do not fit */
        JobCmd_EncodeSubmit(&command, id, "q", now - (i == 0 ? 60000 : 0),
                            &spec, "");
        ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    }
    pass(LATE_START_MS);
    ck_assert_uint_eq(JobState_FindTarget(state, "t")->run_count, 2);
    ck_assert_uint_eq(JobState_FindJob(state, "job0")->assigned, 1);
}
END_TEST

/* --- what callers get --- */

/* Loads of a pool of 96 cores with queues of three priorities. Callers come
 * back up to 4 times. */
typedef struct LoadCase {
    const char *name;
    JobSimOptions load;
    /* Least ratio of the value that callers get with the decisions to that
     * without them. */
    double least_gain;
    /* Most ratio of the share of callers whose accepted job is worthless. */
    double most_worthless;
} LoadCase;

#define LOAD_SEEDS 3
#define LOAD_OPTIONS                                                          \
    .pools = 1, .targets_per_pool = 6, .settle_ms = 30000, .priorities = 3,   \
    .max_retries = 4

/* Most share of callers who are refused or whose job is worthless, unless the
 * load leaves more without the decisions: five times the capacity does. */
#define MOST_FAILED 0.6

static const LoadCase load_cases[] = {
    {"bursts of five times the mean",
     {LOAD_OPTIONS, .load = 0.7, .active_ms = 60000, .burst_factor = 5,
      .burst_ms = 5000},
     1.0,
     0.6},
    {"five times the capacity all the time",
     {LOAD_OPTIONS, .load = 5, .active_ms = 30000},
     1.0,
     0.4},
    {"a sender at ten times its usual load",
     {LOAD_OPTIONS, .load = 0.6, .active_ms = 60000, .flood_factor = 10},
     1.1,
     0.4},
    {"large jobs of low priority beside urgent ones, in bursts",
     {LOAD_OPTIONS, .load = 1, .active_ms = 60000, .burst_factor = 5,
      .burst_ms = 5000, .large_factor = 8},
     1.0,
     0.6},
    {"estimates that are wrong by up to ten times, in bursts",
     {LOAD_OPTIONS, .load = 0.7, .active_ms = 60000, .burst_factor = 5,
      .burst_ms = 5000, .estimate_error = 10},
     0.95,
     1.05},
};

static void
add_group(JobSimGroup *sum, const JobSimGroup *group)
{
    sum->jobs += group->jobs;
    sum->in_time += group->in_time;
    sum->late += group->late;
    sum->worthless += group->worthless;
    sum->refused += group->refused;
    sum->worth += group->worth;
    sum->earned += group->earned;
}

/* Plays a load with several seeds and adds up what callers got. */
static void
play_load(const JobSimOptions *load, bool overload_control, JobSimReport *sum)
{
    uint64_t seed;
    size_t i;

    memset(sum, 0, sizeof(*sum));
    for (seed = 1; seed <= LOAD_SEEDS; seed++) {
        JobSimOptions options = *load;
        JobSimReport report;
        options.seed = seed;
        options.overload_control = overload_control;
        JobSim_Run(&options, &report);
        ck_assert_str_eq(report.violation, "");
        add_group(&sum->all, &report.all);
        for (i = 0; i < JOBSIM_PRIORITIES; i++) {
            add_group(&sum->by_priority[i], &report.by_priority[i]);
        }
        for (i = 0; i < JOBSIM_SIZES; i++) {
            add_group(&sum->by_size[i], &report.by_size[i]);
        }
        sum->counts.needless_refusals += report.counts.needless_refusals;
    }
}

static double
get_credit(const JobSimGroup *group)
{
    return group->earned / group->worth;
}

static double
get_share(uint64_t part, const JobSimGroup *group)
{
    return (double)part / (double)group->jobs;
}

static double
get_served(const JobSimGroup *group)
{
    return get_share(group->in_time + group->late, group);
}

/* Guards against decisions under insufficient capacity that cost callers more
 * than accepting everything does: less value in all or for the highest
 * priority, as many jobs that are accepted in vain, or large jobs that are
 * starved. */
START_TEST(callers_get_more_under_overload)
{
    const LoadCase *row = &load_cases[_i];
    JobSimReport without;
    JobSimReport with;
    double most_failed;
    size_t i;

    play_load(&row->load, false, &without);
    play_load(&row->load, true, &with);
    ck_assert_uint_eq(with.all.jobs, without.all.jobs);
    ck_assert_uint_eq(without.all.refused, 0);
    ck_assert_msg(get_credit(&with.all) >=
                      row->least_gain * get_credit(&without.all),
                  "%s: credit %.3f, without decisions %.3f", row->name,
                  get_credit(&with.all), get_credit(&without.all));
    ck_assert_msg(get_share(with.all.worthless, &with.all) <=
                      row->most_worthless *
                          get_share(without.all.worthless, &without.all),
                  "%s: %.3f accepted in vain, without decisions %.3f",
                  row->name, get_share(with.all.worthless, &with.all),
                  get_share(without.all.worthless, &without.all));
    most_failed = get_share(without.all.worthless, &without.all);
    most_failed = most_failed > MOST_FAILED ? most_failed : MOST_FAILED;
    ck_assert_msg(get_share(with.all.worthless + with.all.refused,
                            &with.all) <= most_failed,
                  "%s: %.3f refused or accepted in vain", row->name,
                  get_share(with.all.worthless + with.all.refused, &with.all));
    ck_assert_msg(get_credit(&with.by_priority[0]) >=
                      0.95 * get_credit(&without.by_priority[0]),
                  "%s: credit of priority 0 is %.3f, without decisions %.3f",
                  row->name, get_credit(&with.by_priority[0]),
                  get_credit(&without.by_priority[0]));
    ck_assert(get_served(&with.by_priority[0]) >=
              get_served(&with.by_priority[2]));
    for (i = 0; i < JOBSIM_SMALLER; i++) {
        ck_assert_msg(get_served(&with.by_size[i]) >=
                          0.5 * get_served(&with.all),
                      "%s: size class %zu is served %.3f, all %.3f", row->name,
                      i, get_served(&with.by_size[i]), get_served(&with.all));
    }
}
END_TEST

/* Guards against refusals while a pool has capacity. */
START_TEST(nothing_is_refused_below_capacity)
{
    JobSimOptions load = {LOAD_OPTIONS, .load = 0.4, .active_ms = 60000};
    JobSimReport with;

    play_load(&load, true, &with);
    ck_assert_uint_eq(with.all.refused, 0);
    ck_assert(get_share(with.all.in_time, &with.all) > 0.99);
}
END_TEST

/* Guards against poor estimates that cause refusals. */
START_TEST(fewer_jobs_are_refused_if_estimates_are_poor)
{
    JobSimReport good;
    JobSimReport poor;

    play_load(&load_cases[0].load, true, &good);
    play_load(&load_cases[4].load, true, &poor);
    ck_assert_uint_gt(good.all.refused, 0);
    ck_assert_uint_lt(poor.all.refused, good.all.refused / 2);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("joboverload");
    TCase *tcase = tcase_create("forecast");

    tcase_add_loop_test(
        tcase, forecast_follows_ends_of_runs, 0,
        (int)(sizeof(outlook_cases) / sizeof(outlook_cases[0])));
    tcase_add_test(tcase, work_ahead_is_by_class_and_priority);
    tcase_add_test(tcase, estimates_know_their_error);
    suite_add_tcase(suite, tcase);
    tcase = tcase_create("order");
    tcase_add_test(tcase, class_goes_before_priority_and_priority_before_rank);
    tcase_add_test(tcase, priority_follows_configuration_and_snapshot);
    suite_add_tcase(suite, tcase);
    tcase = tcase_create("admission");
    tcase_add_checked_fixture(tcase, setup_admission, teardown_admission);
    tcase_add_loop_test(tcase, jobs_are_refused_only_for_lack_of_capacity, 0,
                        (int)(sizeof(admit_cases) / sizeof(admit_cases[0])));
    tcase_add_test(tcase, copy_of_admitted_job_is_not_refused);
    tcase_add_test(tcase, retry_times_are_spread_and_sooner_for_urgent_jobs);
    tcase_add_test(tcase, needless_refusal_is_counted_once);
    tcase_add_test(tcase, time_of_job_runs_from_first_refusal);
    tcase_add_test(tcase, vms_on_their_way_count_as_capacity);
    tcase_add_test(tcase, late_job_beside_free_room_starts);
    suite_add_tcase(suite, tcase);
    tcase = tcase_create("load");
    tcase_add_loop_test(tcase, callers_get_more_under_overload, 0,
                        (int)(sizeof(load_cases) / sizeof(load_cases[0])));
    tcase_add_test(tcase, nothing_is_refused_below_capacity);
    tcase_add_test(tcase, fewer_jobs_are_refused_if_estimates_are_poor);
    suite_add_tcase(suite, tcase);
    return suite;
}
