#include "jobsched_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* Interval between two lines about the same tenant at its cap. */
#define SHARE_REPORT_INTERVAL_MS 10000
/* A job without runs that the cap delays, and that smaller ones behind it in
 * the order have passed for SHARE_HOLD_AFTER_MS, is waited for: they would
 * otherwise take each amount that becomes free. Lasting tasks do not wait, the
 * others at most SHARE_MAX_HOLD_MS, and less than 3 s while the tenant is
 * under half of its cap; then not for SHARE_HOLD_PAUSE_MS, since lasting tasks
 * may be using the cap. */
#define SHARE_HOLD_AFTER_MS 2000
#define SHARE_MAX_HOLD_MS 10000
#define SHARE_MAX_LOW_HOLD_MS 2000
#define SHARE_HOLD_PAUSE_MS 5000

/* --- use --- */

static void
add_need(JobTotals *totals, const JobStep *step, uint32_t count)
{
    totals->cpu += (uint64_t)step->need.cpu * count;
    totals->memory_mb += (uint64_t)step->need.memory_mb * count;
    totals->accelerators += (uint64_t)step->need.accelerators * count;
}

static void
subtract_need(JobTotals *totals, const JobStep *step)
{
    totals->cpu -= step->need.cpu;
    totals->memory_mb -= step->need.memory_mb;
    totals->accelerators -= step->need.accelerators;
}

static JobTotals
get_use(const JobTenantUse *use)
{
    return (JobTotals){use->used.cpu + use->reserved.cpu,
                       use->used.memory_mb + use->reserved.memory_mb,
                       use->used.accelerators + use->reserved.accelerators};
}

void
SchedImpl_ReserveUse(Job *job, const JobStep *step)
{
    job->sched_state.proposed++;
    if (job->tenant != NULL) {
        add_need(&job->tenant->reserved, step, 1);
        job->tenant->reserved_runs++;
    }
}

void
SchedImpl_ReleaseUse(Job *job, const JobStep *step)
{
    job->sched_state.proposed -= job->sched_state.proposed > 0;
    if (job->tenant != NULL) {
        subtract_need(&job->tenant->reserved, step);
        job->tenant->reserved_runs--;
    }
}

static void
count_reserved(const JobSched *sched, const JobAssignment *list, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        Job *job = JobState_FindJob(sched->state, list[i].task.job);
        if (job != NULL && job->tenant != NULL) {
            add_need(&job->tenant->reserved,
                     &job->spec.steps[list[i].task.step], 1);
            job->tenant->reserved_runs++;
        }
    }
}

void
SchedImpl_RecountReservedUse(const JobSched *sched)
{
    const SchedProposal *proposal;
    size_t i;

    for (i = 0; i < JobState_TenantUseCount(sched->state); i++) {
        JobTenantUse *use = JobState_TenantUseAt(sched->state, i);
        use->reserved = (JobTotals){0, 0, 0};
        use->reserved_runs = 0;
    }
    for (proposal = sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        count_reserved(sched, proposal->assignments,
                       proposal->assignment_count);
    }
    count_reserved(sched, sched->batch, sched->batch_count);
}

/* --- cap --- */

static bool
is_within(uint64_t used, uint32_t cap)
{
    return cap == 0 || used <= cap;
}

static bool
is_within_cap(const JobTotals *use, const JobResources *cap)
{
    return is_within(use->cpu, cap->cpu) &&
           is_within(use->memory_mb, cap->memory_mb) &&
           is_within(use->accelerators, cap->accelerators);
}

/* Returns whether the configuration in force sets terms for a job's tenant,
 * or has removed that tenant; *terms is NULL then. */
static bool
has_terms(const JobSched *sched, const Job *job, const JobTenant **terms)
{
    const JobConfig *config = JobState_GetConfig(sched->state);
    JobTenantUse *use = job->tenant;

    if (use == NULL || config->tenant_count == 0) {
        return false;
    }
    if (!sched->placing) {
        *terms = JobConfig_FindTenant(config, use->name);
        return true;
    }
    if (use->sched_state.terms_placement != sched->placement) {
        use->sched_state.terms = JobConfig_FindTenant(config, use->name);
        use->sched_state.terms_placement = sched->placement;
    }
    *terms = use->sched_state.terms;
    return true;
}

/* Logs that the cap of a tenant delays a task. */
static void
report_cap(const JobSched *sched, JobTenantUse *use, const JobStep *step,
           const JobTenant *terms)
{
    use->sched_state.capped_ms = sched->now_ms;
    if (use->sched_state.reported_ms != 0 &&
        sched->now_ms - use->sched_state.reported_ms <
            SHARE_REPORT_INTERVAL_MS) {
        return;
    }
    use->sched_state.reported_ms = sched->now_ms;
    Slog_Begin(SLOG_CHANGE, "tenant_at_cap");
    Slog_AddText("tenant", use->name);
    Slog_AddInt("runs", use->runs);
    Slog_AddInt("cpu", (int64_t)(use->used.cpu + use->reserved.cpu));
    Slog_AddInt("mem_mb",
                (int64_t)(use->used.memory_mb + use->reserved.memory_mb));
    Slog_AddInt(
        "gpu", (int64_t)(use->used.accelerators + use->reserved.accelerators));
    Slog_AddInt("need_cpu", step->need.cpu);
    Slog_AddInt("need_mem_mb", step->need.memory_mb);
    Slog_AddInt("need_gpu", step->need.accelerators);
    Slog_AddInt("configured", terms != NULL);
    Slog_End();
}

/* Returns whether the use of a tenant is under half of its cap. */
static bool
is_under_half(const JobTotals *use, const JobResources *cap)
{
    const JobTotals twice = {use->cpu * 2, use->memory_mb * 2,
                             use->accelerators * 2};

    return is_within_cap(&twice, cap);
}

static void
end_hold(const JobSched *sched, JobTenantSchedState *hold)
{
    hold->held_for[0] = '\0';
    hold->low_hold_ms = 0;
    hold->next_hold_ms = sched->now_ms + SHARE_HOLD_PAUSE_MS;
}

/* Returns whether a job has to wait for another one of its tenant. */
static bool
is_held(const JobSched *sched, const Job *job, const JobTotals *use,
        const JobResources *cap)
{
    JobTenantSchedState *hold = &job->tenant->sched_state;

    if (hold->held_for[0] == '\0' || strcmp(hold->held_for, job->id) == 0) {
        return false;
    }
    if (!is_under_half(use, cap)) {
        hold->low_hold_ms = 0;
    }
    else if (hold->low_hold_ms == 0) {
        hold->low_hold_ms = sched->now_ms;
    }
    if (sched->placement > hold->hold_placement + 1 ||
        sched->now_ms - hold->hold_ms >= SHARE_MAX_HOLD_MS ||
        (hold->low_hold_ms != 0 &&
         sched->now_ms - hold->low_hold_ms >= SHARE_MAX_LOW_HOLD_MS)) {
        end_hold(sched, hold);
        return false;
    }
    return true;
}

/* Notes that a cap delays a job. */
static void
note_capped(const JobSched *sched, const Job *job)
{
    JobTenantSchedState *hold = &job->tenant->sched_state;

    if (job->assigned + job->sched_state.proposed > 0) {
        return;
    }
    if (hold->delayed_placement != sched->placement) {
        hold->delayed_placement = sched->placement;
        memcpy(hold->delayed, job->id, sizeof(hold->delayed));
    }
    if (strcmp(hold->held_for, job->id) == 0) {
        hold->hold_placement = sched->placement;
    }
}

/* Notes that a job passes one that the cap delays, and lets the others of the
 * tenant wait for that one if it has been passed for long. */
static void
note_passed(const JobSched *sched, Job *passed)
{
    JobTenantSchedState *hold = &passed->tenant->sched_state;
    int64_t now = sched->now_ms;

    if (passed->sched_state.passed_ms == 0) {
        passed->sched_state.passed_ms = now;
    }
    if (hold->held_for[0] == '\0' && now >= hold->next_hold_ms &&
        now - passed->sched_state.passed_ms >= SHARE_HOLD_AFTER_MS) {
        memcpy(hold->held_for, passed->id, sizeof(hold->held_for));
        hold->hold_ms = now;
        hold->low_hold_ms = 0;
        hold->hold_placement = sched->placement;
    }
}

/* Notes that the cap allows a job to start a task. */
static void
note_allowed(const JobSched *sched, Job *job)
{
    JobTenantSchedState *hold = &job->tenant->sched_state;
    Job *passed;

    job->sched_state.passed_ms = 0;
    if (hold->held_for[0] != '\0' && strcmp(hold->held_for, job->id) == 0) {
        end_hold(sched, hold);
    }
    if (hold->delayed_placement == sched->placement &&
        strcmp(hold->delayed, job->id) != 0) {
        passed = JobState_FindJob(sched->state, hold->delayed);
        if (passed != NULL) {
            note_passed(sched, passed);
        }
    }
}

/* Returns whether a job of a tenant that the configuration no longer has may
 * start another task or gang. */
static bool
may_continue(const Job *job, const JobStep *step)
{
    return step->lasting || job->assigned + job->sched_state.proposed == 0;
}

bool
SchedImpl_IsWithinCap(const JobSched *sched, Job *job, const JobStep *step)
{
    uint32_t count = step->gang ? step->count : 1;
    const JobTenant *terms;
    JobTenantUse *use = job->tenant;
    JobTotals need = {0, 0, 0};
    JobTotals total;

    if (!has_terms(sched, job, &terms) ||
        (terms == NULL && may_continue(job, step))) {
        return true;
    }
    if (terms == NULL) {
        report_cap(sched, use, step, terms);
        return false;
    }
    total = get_use(use);
    if (!step->lasting && is_held(sched, job, &total, &terms->cap)) {
        return false;
    }
    add_need(&total, step, count);
    if (is_within_cap(&total, &terms->cap) ||
        (count == 1 && use->runs + use->reserved_runs == 0)) {
        note_allowed(sched, job);
        return true;
    }
    add_need(&need, step, count);
    if (count == 1 || is_within_cap(&need, &terms->cap)) {
        note_capped(sched, job);
    }
    report_cap(sched, use, step, terms);
    return false;
}

static bool
is_same_gang(const JobRun *a, const JobRun *b)
{
    return JobRun_GetStep(a)->gang && a->job == b->job &&
           a->occurrence == b->occurrence && a->step == b->step;
}

static bool
is_unsent(const JobRun *run)
{
    const JobTask *task = JobRun_GetTask(run);

    return task->sched_state.unsent ||
           task->sched_state.phase == JOB_SCHED_PROPOSED;
}

/* Returns what the sent runs of the tenant of a run use together with the run
 * and its gang, and stores whether there are any sent ones in *sent, and
 * whether one is of the same gang in *gang_sent. */
static JobTotals
sum_sent_use(const JobSched *sched, const JobRun *run, bool *sent,
             bool *gang_sent)
{
    JobTotals total = {0, 0, 0};
    uint32_t row;
    uint32_t i;

    *sent = false;
    *gang_sent = false;
    for (row = 0; row < JobState_TargetRows(sched->state); row++) {
        const JobTarget *target = JobState_TargetAt(sched->state, row);
        for (i = 0; target != NULL && i < target->run_count; i++) {
            const JobRun *other = &target->runs[i];
            bool same;
            if (other->job->tenant != run->job->tenant) {
                continue;
            }
            same = JobRun_GetTask(other) == JobRun_GetTask(run) ||
                   is_same_gang(other, run);
            if (!is_unsent(other)) {
                *sent = true;
                *gang_sent = *gang_sent || same;
            }
            if (same || !is_unsent(other)) {
                add_need(&total, JobRun_GetStep(other), 1);
            }
        }
    }
    return total;
}

bool
SchedImpl_MayStartWithinCap(const JobSched *sched, const JobRun *run)
{
    const JobTask *task = JobRun_GetTask(run);
    const JobStep *step = JobRun_GetStep(run);
    const JobTenant *terms;
    JobTotals total;
    bool sent;
    bool gang_sent;

    if (!task->sched_state.unsent || !has_terms(sched, run->job, &terms) ||
        terms == NULL || is_within_cap(&run->job->tenant->used, &terms->cap)) {
        return true;
    }
    total = sum_sent_use(sched, run, &sent, &gang_sent);
    if (is_within_cap(&total, &terms->cap) || gang_sent ||
        (!sent && (!step->gang || step->count == 1))) {
        return true;
    }
    report_cap(sched, run->job->tenant, step, terms);
    return false;
}

bool
SchedImpl_CanEverRun(const JobSched *sched, const char *tenant,
                     const JobSpec *spec)
{
    const JobConfig *config = JobState_GetConfig(sched->state);
    const JobTenant *terms =
        tenant[0] != '\0' ? JobConfig_FindTenant(config, tenant) : NULL;
    uint32_t i;

    for (i = 0; terms != NULL && i < spec->step_count; i++) {
        const JobStep *step = &spec->steps[i];
        JobTotals total = {0, 0, 0};
        add_need(&total, step, step->count);
        if (step->gang && step->count > 1 &&
            !is_within_cap(&total, &terms->cap)) {
            return false;
        }
    }
    return true;
}

/* --- weight --- */

/* A share of a whole pool at the lowest weight. */
#define SHARE_WHOLE ((uint64_t)1 << 32)

/* Returns the weight of a tenant. Jobs without a tenant count as one of mean
 * weight, and a tenant that the configuration no longer has as one of the
 * lowest. */
static uint32_t
get_weight(const JobConfig *config, const JobTenantUse *use)
{
    const JobTenant *terms =
        use != NULL ? JobConfig_FindTenant(config, use->name) : NULL;
    size_t count = config->tenant_count > 0 ? config->tenant_count : 1;
    uint64_t sum = 0;
    uint32_t lowest = UINT32_MAX;
    uint32_t weight;
    size_t i;

    for (i = 0; i < config->tenant_count; i++) {
        weight = config->tenants[i].weight;
        sum += weight;
        lowest = weight < lowest ? weight : lowest;
    }
    if (terms != NULL) {
        weight = terms->weight;
    }
    else if (use != NULL) {
        weight = lowest;
    }
    else {
        weight = (uint32_t)(sum / count);
    }
    return weight > 0 ? weight : 1;
}

static uint64_t
get_part(uint64_t used, uint64_t total)
{
    return total > 0 ? used * SHARE_WHOLE / total : 0;
}

/* Updates the weighted dominant share of an account. */
static void
update_share(const SchedPass *pass, SchedAccount *account)
{
    const JobTotals *room = &pass->pools[account->pool].total;
    uint64_t share = get_part(account->used.cpu, room->cpu);
    uint64_t memory = get_part(account->used.memory_mb, room->memory_mb);
    uint64_t other = get_part(account->used.accelerators, room->accelerators);

    share = memory > share ? memory : share;
    share = other > share ? other : share;
    account->share = share / account->weight;
}

static size_t
get_account_index(const SchedPass *pass, size_t pool, const Job *job)
{
    size_t per_pool = JobState_TenantUseCount(pass->sched->state) + 1;

    return pool * per_pool + (job->tenant != NULL
                                  ? job->tenant->sched_state.index
                                  : per_pool - 1);
}

static void
charge_runs(SchedPass *pass)
{
    const JobState *state = pass->sched->state;
    uint32_t row;
    uint32_t i;

    for (row = 0; row < JobState_TargetRows(state); row++) {
        const JobTarget *target = JobState_TargetAt(state, row);
        size_t pool =
            target != NULL
                ? SchedImpl_FindPoolIndex(pass, target->announcement.pool)
                : pass->pool_count;
        for (i = 0; pool < pass->pool_count && i < target->run_count; i++) {
            const JobRun *run = &target->runs[i];
            size_t at = get_account_index(pass, pool, run->job);
            add_need(&pass->accounts[at].used, JobRun_GetStep(run), 1);
        }
    }
}

static void
charge_proposals(SchedPass *pass)
{
    const SchedProposal *proposal;
    size_t i;

    for (proposal = pass->sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        for (i = 0; i < proposal->assignment_count; i++) {
            const JobTaskRef *task = &proposal->assignments[i].task;
            const Job *job = JobState_FindJob(pass->sched->state, task->job);
            size_t pool = job != NULL
                              ? SchedImpl_FindPoolIndex(pass, job->pool)
                              : pass->pool_count;
            if (pool < pass->pool_count) {
                size_t at = get_account_index(pass, pool, job);
                add_need(&pass->accounts[at].used,
                         &job->spec.steps[task->step], 1);
            }
        }
    }
}

/* Assigns each candidate to its account, and leaves out those in pools without
 * targets. Returns whether two accounts of a pool have candidates. */
static bool
assign_accounts(SchedPass *pass)
{
    bool compete = false;
    size_t kept = 0;
    size_t i;

    for (i = 0; i < pass->count; i++) {
        SchedCandidate *candidate = &pass->candidates[i];
        size_t pool = SchedImpl_FindPoolIndex(pass, candidate->job->pool);
        if (pool == pass->pool_count) {
            continue;
        }
        candidate->account =
            &pass->accounts[get_account_index(pass, pool, candidate->job)];
        compete = compete || (pass->pools[pool].account != NULL &&
                              pass->pools[pool].account != candidate->account);
        pass->pools[pool].account = candidate->account;
        pass->candidates[kept++] = *candidate;
    }
    pass->count = kept;
    return compete;
}

/* Sets the weights and shares of the accounts of a pool. */
static void
open_pool_accounts(SchedPass *pass, size_t pool)
{
    const JobState *state = pass->sched->state;
    size_t tenants = JobState_TenantUseCount(state);
    SchedAccount *accounts = &pass->accounts[pool * (tenants + 1)];
    size_t i;

    for (i = 0; i <= tenants; i++) {
        accounts[i].pool = pool;
        accounts[i].weight =
            get_weight(JobState_GetConfig(state),
                       i < tenants ? JobState_TenantUseAt(state, i) : NULL);
        update_share(pass, &accounts[i]);
    }
}

bool
SchedImpl_OpenAccounts(SchedPass *pass)
{
    const JobState *state = pass->sched->state;
    const JobConfig *config = JobState_GetConfig(state);
    size_t per_pool = JobState_TenantUseCount(state) + 1;
    size_t i;

    if (config->tenant_count == 0 || pass->count < 2 ||
        pass->pool_count == 0) {
        return false;
    }
    for (i = 0; i + 1 < per_pool; i++) {
        JobState_TenantUseAt(state, i)->sched_state.index = i;
    }
    pass->account_count = pass->pool_count * per_pool;
    pass->accounts = Mem_New(pass->account_count, sizeof(*pass->accounts));
    if (!assign_accounts(pass)) {
        free(pass->accounts);
        return false;
    }
    charge_runs(pass);
    charge_proposals(pass);
    for (i = 0; i < pass->pool_count; i++) {
        open_pool_accounts(pass, i);
    }
    return true;
}

void
SchedImpl_ChargeAccount(const SchedPass *pass, SchedAccount *account,
                        size_t first)
{
    const JobSched *sched = pass->sched;
    size_t i;

    for (i = first; i < sched->batch_count; i++) {
        const JobTaskRef *task = &sched->batch[i].task;
        const Job *job = JobState_FindJob(sched->state, task->job);
        add_need(&account->used, &job->spec.steps[task->step], 1);
    }
    if (sched->batch_count > first) {
        update_share(pass, account);
    }
}
