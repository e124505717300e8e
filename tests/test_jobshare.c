#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "jobsched_impl.h"
#include "rng.h"
#include "support.h"
#include "support_job.h"
#include "support_jobsim.h"

#define TARGET_CPU 16000
#define MAX_TENANTS 20

static JobState *state;
static JobSched *sched;
static int64_t now;
static uint64_t version;
static uint32_t objective_ms;
static Buf decided; /* commands of the log, in order */

static void
setup(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    now = 1000000;
    version = 0;
    objective_ms = 600;
    Buf_Clear(&decided);
    state = JobState_New();
    sched = JobSched_New(&options, state);
    JobSched_Lead(sched, now, 1);
}

static void
teardown(void)
{
    JobSched_Free(sched);
    JobState_Free(state);
    Buf_Free(&decided);
}

/* Configures queue "q" in pool "p" and these tenants. */
static void
configure(JobTenant *tenants, size_t count)
{
    JobQueue queue = {.name = "q",
                      .host = "h",
                      .prefix = "/q/",
                      .pool = "p",
                      .timeout_ms = 3000,
                      .objective_ms = objective_ms,
                      .max_attempts = 3,
                      .slack = 1.6,
                      .is_public = true};
    JobPool pool = {.name = "p", .enforces_capacity = true};
    char text[] = "text";
    JobConfig config = {++version, &queue, 1,    &pool, 1,
                        tenants,   count,  text, 4};
    Buf command = BUF_INIT;

    JobCmd_EncodeConfig(&command, &config);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
}

static void
configure_caps(const JobResources *cap)
{
    JobTenant tenant = {.name = "a", .weight = 1, .cap = *cap};

    configure(&tenant, 1);
}

static void
configure_cap(uint32_t cap_cpu)
{
    configure_caps(&(JobResources){cap_cpu, 0, 0});
}

static void
add_targets(uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        char id[JOB_NAME_BYTES];
        snprintf(id, sizeof(id), "t%u", i);
        JobTest_SetTarget(state, id, id, "p", 1, false);
        JobState_FindTarget(state, id)->announcement.room.accelerators = 4;
        JobSched_HandleAnnouncement(
            sched, now, &JobState_FindTarget(state, id)->announcement);
    }
}

/* Renews the room of the targets. */
static void
announce_targets(uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        char id[JOB_NAME_BYTES];
        JobAnnouncement announcement;
        snprintf(id, sizeof(id), "t%u", i);
        announcement = JobState_FindTarget(state, id)->announcement;
        announcement.order = (uint64_t)now;
        announcement.clock_ms = now;
        JobSched_HandleAnnouncement(sched, now, &announcement);
    }
}

/* Submits a job of one step of a tenant, or of none if the name is empty. */
static void
submit(const char *id, const char *tenant, const JobStep *step)
{
    JobStep *steps = calloc(1, sizeof(*steps));
    JobSpec spec = {.text = strdup("work"), .text_len = 4, .step_count = 1};
    Buf command = BUF_INIT;

    *steps = *step;
    spec.steps = steps;
    JobCmd_EncodeSubmit(&command, id, "q", now, &spec, tenant);
    JobSpec_Free(&spec);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
}

typedef enum Verdict { COMMIT, REFUSE, KEEP } Verdict;

/* Decides all proposals and answers all calls at once. Kept proposals stay in
 * flight. Returns the number of starts. */
static uint32_t
process(Verdict verdict)
{
    JobAction action;
    uint32_t starts = 0;

    while (JobSched_TakeAction(sched, &action)) {
        JobCallAnswer answer = {
            .outcome = JOB_CALL_OK, .clock_ms = now, .born = 1};
        if (action.kind == JOB_ACTION_PROPOSE) {
            Buf_Append(&decided, action.command.data, action.command.len);
            if (verdict == COMMIT) {
                JobTest_Apply(state, &action.command);
            }
            Buf_Free(&action.command);
            if (verdict != KEEP) {
                JobSched_HandleProposal(sched, now, action.cookie,
                                        verdict == COMMIT ? ST_OK : ST_FULL);
            }
        }
        else if (action.kind == JOB_ACTION_START) {
            starts++;
            JobSched_HandleAnswer(sched, now, &action, &answer);
        }
    }
    return starts;
}

static uint32_t
place(Verdict verdict)
{
    JobSched_PlaceTasks(sched, now, now);
    return process(verdict);
}

/* Ends the first runs of a tenant's jobs as done. */
static void
end_runs(const char *tenant, uint32_t count)
{
    uint32_t row;

    for (row = 0; row < JobState_TargetRows(state); row++) {
        JobTarget *target = JobState_TargetAt(state, row);
        uint32_t i = 0;
        while (count > 0 && i < target->run_count) {
            JobRun run = target->runs[i];
            if (strcmp(run.job->tenant->name, tenant) != 0) {
                i++;
                continue;
            }
            JobTest_End(state, run.job->id, run.step, run.index,
                        JobRun_GetTask(&run)->attempt, target->announcement.id,
                        JOB_END_DONE, target->last_applied_end + 1);
            count--;
        }
    }
}

/* Ends all runs that are not lasting as done. */
static void
end_short_runs(void)
{
    uint32_t row;

    for (row = 0; row < JobState_TargetRows(state); row++) {
        JobTarget *target = JobState_TargetAt(state, row);
        uint32_t i = 0;
        while (i < target->run_count) {
            JobRun run = target->runs[i];
            if (JobRun_GetStep(&run)->lasting) {
                i++;
                continue;
            }
            JobTest_End(state, run.job->id, run.step, run.index,
                        JobRun_GetTask(&run)->attempt, target->announcement.id,
                        JOB_END_DONE, target->last_applied_end + 1);
        }
    }
}

/* --- cap --- */

typedef struct CapCase {
    const char *name;
    JobResources cap;
    JobStep first; /* placed and committed before */
    JobStep second;
    uint32_t starts; /* of the second */
} CapCase;

static const CapCase cap_cases[] = {
    {"tasks up to the cap",
     {5000, 0, 0},
     {.count = 1, .need = {1000, 10, 0}},
     {.count = 9, .need = {1000, 10, 0}},
     4},
    {"best-effort tasks count",
     {3000, 0, 0},
     {.count = 2, .need = {1000, 10, 0}, .best_effort = true},
     {.count = 9, .need = {1000, 10, 0}, .best_effort = true},
     1},
    {"no limit",
     {0, 0, 0},
     {.count = 1, .need = {1000, 10, 0}},
     {.count = 9, .need = {1000, 10, 0}},
     9},
    {"nothing larger than the cap beside a run",
     {1000, 0, 0},
     {.count = 1, .need = {500, 10, 0}},
     {.count = 2, .need = {4000, 10, 0}},
     0},
    {"a gang is placed whole",
     {5000, 0, 0},
     {.count = 1, .need = {1000, 10, 0}},
     {.count = 4, .need = {1000, 10, 0}, .gang = true},
     4},
    {"or not at all",
     {5000, 0, 0},
     {.count = 2, .need = {1000, 10, 0}},
     {.count = 4, .need = {1000, 10, 0}, .gang = true},
     0},
    {"memory counts",
     {0, 100, 0},
     {.count = 2, .need = {1000, 30, 0}},
     {.count = 9, .need = {10, 30, 0}},
     1},
    {"accelerators count",
     {0, 0, 1},
     {.count = 1, .need = {1000, 30, 1}},
     {.count = 1, .need = {1000, 30, 1}},
     0},
    {"lasting tasks count",
     {4000, 0, 0},
     {.count = 3, .need = {1000, 10, 0}, .lasting = true},
     {.count = 9, .need = {1000, 10, 0}},
     1},
};

/* Guards against assignments beyond the cap, by tasks that run and by those of
 * the same placement. */
START_TEST(placement_keeps_cap)
{
    const CapCase *row = &cap_cases[_i];

    configure_caps(&row->cap);
    add_targets(4);
    submit("01", "a", &row->first);
    ck_assert_uint_eq(place(COMMIT), row->first.count);
    submit("02", "a", &row->second);
    ck_assert_msg(place(COMMIT) == row->starts, "%s", row->name);
    ck_assert_msg(place(COMMIT) == 0, "%s: again", row->name);
}
END_TEST

/* A tenant with nothing running starts one task that is larger than its cap,
 * and the next one only after its end. */
START_TEST(one_task_may_exceed_cap)
{
    configure_cap(1000);
    add_targets(4);
    submit("01", "a", &(JobStep){.count = 3, .need = {4000, 10, 0}});
    ck_assert_uint_eq(place(COMMIT), 1);
    ck_assert_uint_eq(place(COMMIT), 0);
    end_runs("a", 1);
    ck_assert_uint_eq(place(COMMIT), 1);
}
END_TEST

typedef struct StreamCase {
    const char *name;
    JobStep step; /* beside a stream of small tasks */
    int64_t max_wait_ms;
} StreamCase;

static const StreamCase stream_cases[] = {
    {"a gang", {.count = 6, .need = {1000, 10, 0}, .gang = true}, 5000},
    {"a large task", {.count = 1, .need = {7000, 10, 0}}, 5000},
    {"a task larger than the cap", {.count = 1, .need = {9000, 10, 0}}, 5000},
};

/* Guards against a job that never starts because smaller tasks of its tenant
 * take each amount of the cap that becomes free. The tasks last 0.8 s; they
 * are 8 at a time, so that one ends each 100 ms. */
START_TEST(large_needs_are_not_starved)
{
    const StreamCase *row = &stream_cases[_i];
    int64_t begun;
    uint32_t i;

    configure_cap(8000);
    add_targets(4);
    for (i = 0; i < 200; i++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%08x", i);
        submit(id, "a", &(JobStep){.count = 1, .need = {1000, 10, 0}});
    }
    place(COMMIT);
    now += 1; /* of two jobs in time, the later one goes first */
    submit("large", "a", &row->step);
    begun = now;
    while (JobState_FindJob(state, "large")->assigned == 0 &&
           now - begun < row->max_wait_ms) {
        now += 100;
        end_runs("a", 1);
        announce_targets(4);
        place(COMMIT);
    }
    ck_assert_msg(JobState_FindJob(state, "large")->assigned > 0,
                  "%s waits for %lld ms", row->name, (long long)(now - begun));
}
END_TEST

typedef struct HoldCase {
    const char *name;
    uint32_t lasting; /* cores of 8 in use by lasting tasks */
} HoldCase;

static const HoldCase hold_cases[] = {
    {"half of the cap in use", 4},
    {"more than half in use", 6},
};

/* Guards against other jobs that wait for ever for one that cannot start, as
 * lasting tasks use the cap. Without it, the others would take 30 s at most.
 */
START_TEST(others_do_not_wait_for_ever)
{
    const HoldCase *row = &hold_cases[_i];
    uint32_t done = 0;
    uint32_t i;

    objective_ms = 600000; /* no job is late */
    configure_cap(8000);
    add_targets(4);
    submit("lasting", "a",
           &(JobStep){
               .count = row->lasting, .need = {1000, 0, 0}, .lasting = true});
    while (place(COMMIT) > 0) {
    }
    for (i = 0; i < 600; i++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%08x", i);
        submit(id, "a", &(JobStep){.count = 1, .need = {1000, 10, 0}});
    }
    now += 1; /* of two jobs in time, the later one goes first */
    submit("large", "a",
           &(JobStep){.count = 6, .need = {1000, 10, 0}, .gang = true});
    for (i = 0; i < 900; i++) {
        now += 100;
        announce_targets(4);
        done += place(COMMIT);
        end_short_runs();
    }
    ck_assert_msg(done == 600, "%s: %u of 600 tasks have run", row->name,
                  done);
}
END_TEST

/* Guards against a lasting task that does not start again while the others of
 * its tenant wait for a job that the cap delays. */
START_TEST(lasting_tasks_do_not_wait)
{
    const JobTenantUse *use;
    uint32_t i;

    objective_ms = 600000; /* no job is late */
    configure_cap(8000);
    add_targets(4);
    for (i = 0; i < 100; i++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%08x", i);
        submit(id, "a", &(JobStep){.count = 1, .need = {1000, 10, 0}});
    }
    place(COMMIT);
    now += 1; /* of two jobs in time, the later one goes first */
    submit("large", "a",
           &(JobStep){.count = 6, .need = {1000, 10, 0}, .gang = true});
    use = JobState_FindTenantUse(state, "a");
    for (i = 0; i < 30 && use->sched_state.held_for[0] == '\0'; i++) {
        now += 100;
        announce_targets(4);
        end_runs("a", 1);
        place(COMMIT);
    }
    ck_assert_str_eq(use->sched_state.held_for, "large");
    submit("lasting", "a",
           &(JobStep){.count = 1, .need = {1000, 10, 0}, .lasting = true});
    end_runs("a", 1);
    place(COMMIT);
    ck_assert_uint_eq(JobState_FindJob(state, "lasting")->assigned, 1);
    /* It has no tasks, as none was ever assigned. */
    ck_assert_ptr_null(
        Job_FindStepTasks(JobState_FindJob(state, "large"), 0, 0));
}
END_TEST

static void
check_reserved(uint64_t cpu, uint32_t runs)
{
    const JobTenantUse *use = JobState_FindTenantUse(state, "a");

    ck_assert_uint_eq(use->reserved.cpu, cpu);
    ck_assert_uint_eq(use->reserved_runs, runs);
}

/* Guards against reserved amounts that leak: the tenant would be at its cap
 * for ever. */
START_TEST(reserved_use_is_exact)
{
    configure_cap(5000);
    add_targets(1);
    submit("01", "a", &(JobStep){.count = 9, .need = {1000, 10, 0}});
    place(REFUSE);
    check_reserved(0, 0);
    place(KEEP);
    check_reserved(5000, 5);
    JobSched_PlaceTasks(sched, now, now);
    check_reserved(5000, 5); /* assignments in flight count */
    JobSched_Lead(sched, now, 2);
    check_reserved(0, 0);
    ck_assert_uint_eq(JobState_FindTenantUse(state, "a")->runs, 0);
    add_targets(1);
    process(COMMIT);
}
END_TEST

/* A gang that fits the cap but no targets leaves nothing reserved. */
START_TEST(undone_gang_reserves_nothing)
{
    configure_cap(90000);
    add_targets(1);
    submit("01", "a",
           &(JobStep){.count = 20, .need = {1000, 10, 0}, .gang = true});
    ck_assert_uint_eq(place(COMMIT), 0);
    check_reserved(0, 0);
}
END_TEST

/* A job that is forgotten while its assignments are in flight. */
START_TEST(forgotten_job_reserves_nothing)
{
    Buf command = BUF_INIT;
    JobAction action;
    uint64_t cookie = 0;

    configure_cap(5000);
    add_targets(1);
    submit("01", "a", &(JobStep){.count = 2, .need = {1000, 10, 0}});
    JobSched_PlaceTasks(sched, now, now);
    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            cookie = action.cookie;
            Buf_Free(&action.command);
        }
    }
    check_reserved(2000, 2);
    JobCmd_EncodeCancel(&command, "01", now, "");
    JobTest_Apply(state, &command);
    JobCmd_EncodeExpire(&command, now + 1);
    JobTest_Apply(state, &command);
    ck_assert_ptr_null(JobState_FindJob(state, "01"));
    JobSched_HandleProposal(sched, now, cookie, ST_FULL);
    check_reserved(0, 0);
}
END_TEST

/* Commits the assignments of a placement only after the cap was changed. */
static uint32_t
place_then_configure(uint32_t cap_cpu)
{
    JobAction action;
    JobAction proposal = {.cookie = 0};

    JobSched_PlaceTasks(sched, now, now);
    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            proposal = action;
        }
    }
    ck_assert_uint_ne(proposal.cookie, 0);
    JobTest_Apply(state, &proposal.command);
    configure_cap(cap_cpu);
    JobSched_HandleProposal(sched, now, proposal.cookie, ST_OK);
    return process(COMMIT);
}

typedef struct LoweredCase {
    const char *name;
    JobStep first; /* runs before */
    JobStep step;  /* assigned when the cap is lowered from 9000 */
    uint32_t cap_cpu;
    uint32_t starts;
} LoweredCase;

static const LoweredCase lowered_cases[] = {
    {"starts up to the lowered cap",
     {.count = 2, .need = {1000, 10, 0}},
     {.count = 5, .need = {1000, 10, 0}},
     4000,
     2},
    {"none beyond it",
     {.count = 2, .need = {1000, 10, 0}},
     {.count = 5, .need = {1000, 10, 0}},
     1000,
     0},
    {"a gang not in part",
     {.count = 2, .need = {1000, 10, 0}},
     {.count = 5, .need = {1000, 10, 0}, .gang = true},
     4000,
     0},
    {"a gang that still fits",
     {.count = 2, .need = {1000, 10, 0}},
     {.count = 5, .need = {1000, 10, 0}, .gang = true},
     7000,
     5},
};

/* Guards against starts that were assigned under an earlier, higher cap. */
START_TEST(unsent_starts_keep_lowered_cap)
{
    const LoweredCase *row = &lowered_cases[_i];
    uint32_t i;

    configure_cap(9000);
    add_targets(4);
    submit("01", "a", &row->first);
    ck_assert_uint_eq(place(COMMIT), row->first.count);
    submit("02", "a", &row->step);
    ck_assert_msg(place_then_configure(row->cap_cpu) == row->starts, "%s",
                  row->name);
    for (i = 0; i < 3; i++) {
        now += 50;
        JobSched_Tick(sched, now, now);
        process(COMMIT);
        ck_assert_msg(place(COMMIT) == 0, "%s: later", row->name);
    }
    /* They start as soon as the cap is raised. */
    configure_cap(9000);
    ck_assert_msg(place(COMMIT) == row->step.count - row->starts, "%s: raised",
                  row->name);
}
END_TEST

/* The jobs of a tenant that is removed go on, one task at a time each. */
START_TEST(jobs_of_removed_tenant_end)
{
    JobTenant other = {.name = "b", .weight = 1};

    configure_cap(9000);
    add_targets(4);
    submit("01", "a", &(JobStep){.count = 2, .need = {1000, 10, 0}});
    submit("02", "a", &(JobStep){.count = 2, .need = {1000, 10, 0}});
    submit("03", "a",
           &(JobStep){.count = 2, .need = {1000, 10, 0}, .gang = true});
    submit("04", "a",
           &(JobStep){.count = 2, .need = {1000, 10, 0}, .lasting = true});
    configure(&other, 1);
    ck_assert_uint_eq(place(COMMIT), 1 + 1 + 2 + 2);
    ck_assert_uint_eq(place(COMMIT), 0);
    end_runs("a", 6);
    /* "03" is done, and one lasting task starts again. */
    ck_assert_uint_ge(place(COMMIT), 2);
}
END_TEST

typedef struct AdmitCase {
    const char *name;
    const char *tenant;
    JobStep step;
    bool admitted;
} AdmitCase;

static const AdmitCase admit_cases[] = {
    {"a gang within the cap",
     "a",
     {.count = 5, .need = {1000, 10, 0}, .gang = true},
     true},
    {"a gang beyond the cap",
     "a",
     {.count = 6, .need = {1000, 10, 0}, .gang = true},
     false},
    {"tasks beyond the cap run one after the other",
     "a",
     {.count = 6, .need = {1000, 10, 0}},
     true},
    {"one large task",
     "a",
     {.count = 1, .need = {9000, 10, 0}, .gang = true},
     true},
    {"no tenant", "", {.count = 6, .need = {1000, 10, 0}, .gang = true}, true},
};

START_TEST(gang_beyond_cap_is_refused)
{
    const AdmitCase *row = &admit_cases[_i];
    JobStep step = row->step;
    JobSpec spec = {.steps = &step, .step_count = 1};
    JobSubmission submission = {"a", NULL, &spec, row->tenant};
    JobRefusal refusal = {.cause = JOB_REFUSED_CAPACITY, .reason = ""};

    configure_cap(5000);
    ck_assert_msg(JobSched_Admit(sched, now, &submission, &refusal) ==
                      row->admitted,
                  "%s", row->name);
    ck_assert_msg((refusal.reason[0] == '\0') == row->admitted, "%s",
                  row->name);
    ck_assert_int_eq(refusal.cause == JOB_REFUSED_CAP, !row->admitted);
}
END_TEST

/* --- weight --- */

#define SHARE_ROUNDS 400

static const JobStep small_step = {.count = 8, .need = {1000, 10, 0}};

static uint64_t
get_runs(const char *tenant)
{
    const JobTenantUse *use = JobState_FindTenantUse(state, tenant);

    return use != NULL ? use->runs : 0;
}

/* Keeps at least 8 jobs of a tenant waiting. */
static void
top_up(const char *tenant)
{
    static uint32_t number;
    const Job *job;
    int waiting = 0;

    for (job = JobState_FirstActive(state); job != NULL; job = job->next) {
        waiting +=
            job->assigned == 0 && strcmp(job->tenant->name, tenant) == 0;
    }
    for (; waiting < 8; waiting++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%08x", ++number);
        submit(id, tenant, &small_step);
    }
}

/* Ends one run of each target in turn as done. */
static void
end_some_runs(uint32_t round)
{
    uint32_t row;

    for (row = 0; row < JobState_TargetRows(state); row++) {
        JobTarget *target = JobState_TargetAt(state, row);
        if (target->run_count > 0) {
            JobRun run = target->runs[(round * 7 + row) % target->run_count];
            JobTest_End(state, run.job->id, run.step, run.index,
                        JobRun_GetTask(&run)->attempt, target->announcement.id,
                        JOB_END_DONE, target->last_applied_end + 1);
        }
    }
}

/* Guards against shares that do not follow the weights while all tenants have
 * more work than there is room. */
START_TEST(shares_follow_weights)
{
    JobTenant tenants[] = {{.name = "a", .weight = 1},
                           {.name = "b", .weight = 2},
                           {.name = "c", .weight = 5}};
    uint64_t runs[3] = {0, 0, 0};
    uint64_t all = 0;
    uint32_t round;
    int i;

    configure(tenants, 3);
    add_targets(10);
    for (round = 0; round < SHARE_ROUNDS; round++) {
        for (i = 0; i < 3; i++) {
            top_up(tenants[i].name);
        }
        place(COMMIT);
        for (i = 0; i < 3 && round >= SHARE_ROUNDS / 4; i++) {
            runs[i] += get_runs(tenants[i].name);
            all += get_runs(tenants[i].name);
        }
        end_some_runs(round);
        now += 5;
    }
    ck_assert_uint_gt(all, SHARE_ROUNDS / 4 * 3 * 150); /* of 160 */
    for (i = 0; i < 3; i++) {
        double share = (double)runs[i] / (double)all;
        double due = tenants[i].weight / 8.0;
        ck_assert_msg(share > due * 0.9 && share < due * 1.1,
                      "%s: %.3f instead of %.3f", tenants[i].name, share, due);
    }
}
END_TEST

/* Guards against room that is kept for tenants without work, and against a
 * tenant that does not get its share once it has work again. */
START_TEST(unused_room_is_taken_at_once)
{
    JobTenant tenants[] = {{.name = "a", .weight = 1},
                           {.name = "b", .weight = 1},
                           {.name = "c", .weight = 8}};
    uint32_t round;
    int i;

    configure(tenants, 3);
    add_targets(10);
    for (i = 0; i < 3; i++) {
        top_up("a");
        top_up("b");
        place(COMMIT);
    }
    ck_assert_uint_eq(get_runs("a") + get_runs("b"), 160);
    ck_assert_uint_eq(get_runs("a"), 80);
    for (round = 0; round < 8; round++) {
        top_up("a");
        top_up("b");
        top_up("c");
        end_some_runs(round);
        now += 5;
        place(COMMIT);
    }
    ck_assert_uint_ge(get_runs("c"), 75); /* all that has ended */
}
END_TEST

/* Guards against a turn of one job in which a tenant takes the whole pool
 * while others wait. */
START_TEST(turn_does_not_take_whole_pool)
{
    JobTenant tenants[] = {{.name = "a", .weight = 1},
                           {.name = "b", .weight = 1}};

    configure(tenants, 2);
    add_targets(4);
    submit("01", "a", &(JobStep){.count = 64, .need = {1000, 10, 0}});
    submit("02", "b", &(JobStep){.count = 64, .need = {1000, 10, 0}});
    ck_assert_uint_eq(place(COMMIT), 64);
    ck_assert_uint_eq(get_runs("a"), 32);
}
END_TEST

/* The dominant resource counts: "a" needs memory, "b" CPU. */
START_TEST(dominant_resource_counts)
{
    JobTenant tenants[] = {{.name = "a", .weight = 1},
                           {.name = "b", .weight = 1}};

    configure(tenants, 2);
    add_targets(1); /* 16 cores and 32,000 MB */
    submit("01", "a", &(JobStep){.count = 60, .need = {100, 2000, 0}});
    submit("02", "b", &(JobStep){.count = 60, .need = {1000, 100, 0}});
    place(COMMIT);
    ck_assert_uint_ge(get_runs("b"), 12);
    ck_assert_uint_ge(get_runs("a"), 12);
}
END_TEST

/* Lasting work counts toward the share. */
START_TEST(lasting_work_counts)
{
    JobTenant tenants[] = {{.name = "a", .weight = 1},
                           {.name = "b", .weight = 1}};

    configure(tenants, 2);
    add_targets(4);
    submit("01", "a",
           &(JobStep){.count = 24, .need = {1000, 10, 0}, .lasting = true});
    while (place(COMMIT) > 0) {
    }
    ck_assert_uint_eq(get_runs("a"), 24);
    submit("02", "a", &(JobStep){.count = 64, .need = {1000, 10, 0}});
    submit("03", "b", &(JobStep){.count = 64, .need = {1000, 10, 0}});
    place(COMMIT);
    ck_assert_uint_eq(get_runs("a") + get_runs("b"), 64);
    ck_assert_uint_eq(get_runs("b"), 32);
}
END_TEST

/* Mean time in ms from submission to completion of the jobs of tenants other
 * than the first, over some seeds. */
static int64_t
measure_others(double jobs_per_s, double flood_share, bool merges)
{
    JobSimOptions options = {.pools = 1,
                             .targets_per_pool = 10,
                             .jobs_per_s = jobs_per_s,
                             .active_ms = 20000,
                             .settle_ms = 90000,
                             .tenants = 4,
                             .flood_share = flood_share,
                             .merges_tenants = merges};
    int64_t total_ms = 0;
    uint64_t count = 0;
    int i;

    for (options.seed = 1; options.seed <= 5; options.seed++) {
        JobSimReport report;
        JobSim_Run(&options, &report);
        ck_assert_str_eq(report.violation, "");
        ck_assert_uint_eq(report.unfinished, 0);
        for (i = 1; i < 4; i++) {
            count += report.tenant_completed[i];
            total_ms +=
                (int64_t)report.tenant_completed[i] * report.tenant_mean_ms[i];
        }
    }
    return total_ms / (int64_t)count;
}

/* Guards against other tenants that wait longer because one sends ten times
 * its usual load. Its usual load is that of the others, 2 jobs per second;
 * with ten times that, the load is 1.3 times what the pool can serve. A share
 * of 9 in 13 of all jobs is then beyond its usual load. */
START_TEST(flood_does_not_delay_others)
{
    int64_t usual_ms = measure_others(8, 0, false);
    int64_t flooded_ms = measure_others(26, 9.0 / 13, false);
    int64_t unshared_ms = measure_others(26, 9.0 / 13, true);

    ck_assert_msg(flooded_ms * 100 <= usual_ms * 115,
                  "%lld ms instead of %lld, %lld without shares",
                  (long long)flooded_ms, (long long)usual_ms,
                  (long long)unshared_ms);
    ck_assert_msg(unshared_ms * 100 >= usual_ms * 130,
                  "the load does not show shares: %lld ms and %lld without",
                  (long long)usual_ms, (long long)unshared_ms);
}
END_TEST

/* --- no tenants --- */

/* Digest of the assignments that the scheduler made of the same jobs before it
 * knew of tenants. */
#define ASSIGNMENTS_WITHOUT_TENANTS 0xb28104e6258562cull
#define DIGEST_JOBS 300

static uint64_t
hash_bytes(const Buf *bytes)
{
    uint64_t hash = 14695981039346656037ull; /* FNV-1a */
    size_t i;

    for (i = 0; i < bytes->len; i++) {
        hash = (hash ^ (unsigned char)bytes->data[i]) * 1099511628211ull;
    }
    return hash;
}

static JobStep
draw_step(Rng *rng)
{
    JobStep step = {
        .count = 1 + Rng_Below(rng, 90),
        .need = {100 + Rng_Below(rng, 2500), 10 + Rng_Below(rng, 2000), 0}};

    step.estimate_ms = 100 + Rng_Below(rng, 3000);
    step.gang = Rng_Below(rng, 8) == 0;
    step.lasting = !step.gang && Rng_Below(rng, 10) == 0;
    step.best_effort = Rng_Below(rng, 10) == 0;
    return step;
}

/* Guards against a change of placement where the configuration has no tenants.
 */
START_TEST(placement_without_tenants_is_as_before)
{
    Rng rng;
    uint32_t i;

    Rng_Seed(&rng, 7);
    configure(NULL, 0);
    add_targets(40);
    for (i = 0; i < DIGEST_JOBS; i++) {
        JobStep step = draw_step(&rng);
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%08x", i);
        submit(id, "", &step);
        now += 20;
        place(Rng_Below(&rng, 10) == 0 ? REFUSE : COMMIT);
        end_some_runs(i);
    }
    ck_assert_msg(hash_bytes(&decided) == ASSIGNMENTS_WITHOUT_TENANTS,
                  "0x%llx", (unsigned long long)hash_bytes(&decided));
}
END_TEST

/* --- model --- */

typedef struct WorldCase {
    const char *name;
    JobSimOptions options;
    uint64_t seeds;
} WorldCase;

static const WorldCase worlds[] = {
    {"no faults: no job waits without cause",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 60000,
      .gang_share = 0.1,
      .tenants = 4,
      .tenant_cap_cpu = 30000,
      .checks_waits = true},
     20},
    {"one tenant at ten times its usual",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 20,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 180000,
      .gang_share = 0.1,
      .tenants = 4,
      .tenant_cap_cpu = 30000,
      .tenant_weights = {1, 2, 4, 1},
      .flood_share = 0.7,
      .checks_waits = true},
     20},
    {"caps that change while starts are in flight",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 15,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 90000,
      .gang_share = 0.1,
      .tenants = 3,
      .tenant_cap_cpu = 20000,
      .cap_changes_per_s = 2,
      .lowered_cap_ms = 5,
      .log_stalls_per_s = 0.3},
     20},
    {"caps that change, and leaders",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 12,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 90000,
      .gang_share = 0.1,
      .leader_changes_per_s = 0.3,
      .restored_leader_share = 0.5,
      .max_election_ms = 3000,
      .refused_share = 0.05,
      .tenants = 3,
      .tenant_cap_cpu = 20000,
      .cap_changes_per_s = 1},
     30},
    {"all kinds of faults",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 10,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 90000,
      .gang_share = 0.1,
      .failed_run_share = 0.01,
      .lost_call_share = 0.03,
      .lost_answer_share = 0.03,
      .late_call_share = 0.03,
      .partitions_per_s = 0.2,
      .crashes_per_s = 0.2,
      .leader_changes_per_s = 0.2,
      .cancel_share = 0.1,
      .tenants = 3,
      .tenant_weights = {1, 2, 4},
      .tenant_cap_cpu = 20000,
      .cap_changes_per_s = 1},
     30},
};

/* Guards against starts beyond the highest cap that may be in force, and
 * against jobs that are lost or wait without cause because of a cap. */
START_TEST(runs_keep_cap_despite_faults)
{
    const WorldCase *row = &worlds[_i];
    uint64_t seed;

    for (seed = 1; seed <= row->seeds; seed++) {
        JobSimOptions options = row->options;
        JobSimReport report;
        options.seed = seed;
        JobSim_Run(&options, &report);
        ck_assert_msg(report.violation[0] == '\0', "%s: %s", row->name,
                      report.violation);
        ck_assert_msg(report.unfinished == 0 &&
                          report.lasting_not_running == 0,
                      "%s: seed %llu: %llu of %llu jobs did not end, %llu "
                      "lasting tasks do not run",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.unfinished,
                      (unsigned long long)report.jobs,
                      (unsigned long long)report.lasting_not_running);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobshare");
    TCase *cap = tcase_create("cap");
    TCase *weight = tcase_create("weight");
    TCase *model = tcase_create("model");

    tcase_add_checked_fixture(cap, setup, teardown);
    tcase_add_loop_test(cap, placement_keeps_cap, 0,
                        sizeof(cap_cases) / sizeof(cap_cases[0]));
    tcase_add_test(cap, one_task_may_exceed_cap);
    tcase_add_loop_test(cap, large_needs_are_not_starved, 0,
                        sizeof(stream_cases) / sizeof(stream_cases[0]));
    tcase_add_loop_test(cap, others_do_not_wait_for_ever, 0,
                        sizeof(hold_cases) / sizeof(hold_cases[0]));
    tcase_add_test(cap, lasting_tasks_do_not_wait);
    tcase_add_test(cap, reserved_use_is_exact);
    tcase_add_test(cap, undone_gang_reserves_nothing);
    tcase_add_test(cap, forgotten_job_reserves_nothing);
    tcase_add_loop_test(cap, unsent_starts_keep_lowered_cap, 0,
                        sizeof(lowered_cases) / sizeof(lowered_cases[0]));
    tcase_add_test(cap, jobs_of_removed_tenant_end);
    tcase_add_loop_test(cap, gang_beyond_cap_is_refused, 0,
                        sizeof(admit_cases) / sizeof(admit_cases[0]));
    suite_add_tcase(suite, cap);
    tcase_add_checked_fixture(weight, setup, teardown);
    tcase_add_test(weight, shares_follow_weights);
    tcase_add_test(weight, unused_room_is_taken_at_once);
    tcase_add_test(weight, turn_does_not_take_whole_pool);
    tcase_add_test(weight, dominant_resource_counts);
    tcase_add_test(weight, lasting_work_counts);
    tcase_add_test(weight, flood_does_not_delay_others);
    tcase_add_test(weight, placement_without_tenants_is_as_before);
    suite_add_tcase(suite, weight);
    tcase_add_loop_test(model, runs_keep_cap_despite_faults, 0,
                        sizeof(worlds) / sizeof(worlds[0]));
    suite_add_tcase(suite, model);
    return suite;
}
