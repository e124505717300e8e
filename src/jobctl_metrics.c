#include "jobctl_internal.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define METRICS_IDLE_TIMEOUT_S 30
#define METRICS_MAX_OPEN_BYTES (1024 * 1024)
#define MS_PER_S 1000.0
#define CPU_UNITS_PER_CORE 1000.0 /* cpu is in thousandths of a core */
/* Time for which a tenant counts as at its cap after that has delayed a task.
 */
#define AT_CAP_MS 1000

static void
count_targets(const JobControl *control, double *values)
{
    int64_t now = Loop_NowMs();
    uint32_t i;

    for (i = 0; i < JobState_TargetRows(control->state); i++) {
        const JobTarget *target = JobState_TargetAt(control->state, i);
        if (target == NULL) {
            continue;
        }
        values[JOB_METRIC_USED_CORES] += target->used.cpu / CPU_UNITS_PER_CORE;
        if (JobSched_IsUsable(control->sched, target, now)) {
            values[JOB_METRIC_TARGETS_USABLE]++;
            values[JOB_METRIC_ROOM_CORES] +=
                target->announcement.room.cpu / CPU_UNITS_PER_CORE;
        }
        else {
            values[JOB_METRIC_TARGETS_UNUSABLE]++;
            values[JOB_METRIC_RUNS_ON_UNUSABLE] += target->run_count;
        }
    }
}

static void
count_vms(const JobControl *control, double *values)
{
    JobFleetCounts counts;

    JobFleet_GetCounts(control->fleet, &counts);
    values[JOB_METRIC_VM_LISTS_INCOMPLETE] = (double)counts.lists_incomplete;
    values[JOB_METRIC_VMS_UNUSABLE] = (double)counts.vms_unusable;
}

static void
sum_waiting_cores(const JobControl *control, double *values)
{
    const JobConfig *config = JobState_GetConfig(control->state);
    JobPoolLoad *loads = Mem_New(config->pool_count + 1, sizeof(*loads));
    size_t i;

    JobSched_GetWaiting(control->sched, loads);
    for (i = 0; i < config->pool_count; i++) {
        values[JOB_METRIC_WAITING_CORES] +=
            (double)loads[i].waiting / CPU_UNITS_PER_CORE;
    }
    free(loads);
}

/* Lists what the tenants of the configuration use, up to a fixed number. */
static void
list_tenants(const JobControl *control, JobMetrics *metrics)
{
    const JobConfig *config = JobState_GetConfig(control->state);
    size_t i;

    metrics->tenant_count = 0;
    for (i = 0; i < config->tenant_count && i < JOB_METRICS_MAX_TENANTS; i++) {
        const JobTenant *tenant = &config->tenants[i];
        const JobTenantUse *use =
            JobState_FindTenantUse(control->state, tenant->name);
        JobTenantMetrics *row = &metrics->tenants[metrics->tenant_count++];
        memcpy(row->name, tenant->name, sizeof(row->name));
        row->cap_cores = tenant->cap.cpu / CPU_UNITS_PER_CORE;
        row->cores =
            use != NULL ? (double)use->used.cpu / CPU_UNITS_PER_CORE : 0;
        row->at_cap = use != NULL && use->sched_state.capped_ms != 0 &&
                      Loop_NowMs() - use->sched_state.capped_ms < AT_CAP_MS;
    }
}

static void
set_gauges(JobControl *control)
{
    const JobSchedCounts *counts = JobSched_Counts(control->sched);
    double *values = control->metrics->values;
    size_t i;

    for (i = 0; i < JOB_METRIC_COUNT; i++) {
        values[i] = 0;
    }
    values[JOB_METRIC_LEADS] = JobControl_IsServing(control);
    values[JOB_METRIC_TERM] = (double)Replica_GetTerm(control->replica);
    values[JOB_METRIC_CONFIG_VERSION] =
        (double)JobState_GetConfig(control->state)->version;
    for (i = 0; i < Peers_Count(control->peers); i++) {
        values[JOB_METRIC_PEERS_UP] += Peers_IsUp(control->peers, i);
    }
    values[JOB_METRIC_VOTERS] =
        (double)RaftMembers_CountVoters(Replica_GetMembers(control->replica));
    values[JOB_METRIC_VOTERS_UP] = (double)JobControl_CountVotersUp(control);
    values[JOB_METRIC_IS_VOTER] = JobControl_IsVoter(control);
    values[JOB_METRIC_LEADER_UNKNOWN_SECONDS] = JobWatch_GetSeconds(
        &control->watch, JOB_WATCH_LEADER_UNKNOWN, Loop_NowMs());
    values[JOB_METRIC_TAKEOVER_SECONDS] = JobWatch_GetSeconds(
        &control->watch, JOB_WATCH_TAKEOVER_PENDING, Loop_NowMs());
    values[JOB_METRIC_PLACEMENT_IDLE_SECONDS] = JobWatch_GetSeconds(
        &control->watch, JOB_WATCH_PLACEMENT_IDLE, Loop_NowMs());
    values[JOB_METRIC_LOG_MESSAGES_REFUSED] =
        (double)control->refused_messages;
    values[JOB_METRIC_REQUESTS_DENIED] = (double)control->denied_requests;
    values[JOB_METRIC_UNCOMMITTED_SECONDS] =
        (double)Replica_GetUncommittedAgeMs(control->replica, Loop_NowMs()) /
        MS_PER_S;
    values[JOB_METRIC_JOBS] = (double)JobState_JobCount(control->state);
    values[JOB_METRIC_LOG_BYTES] =
        (double)Replica_GetMemoryBytes(control->replica);
    values[JOB_METRIC_STARTS] = (double)counts->started;
    values[JOB_METRIC_ENDS_DONE] = (double)counts->done;
    values[JOB_METRIC_ENDS_FAILED] = (double)counts->failed;
    values[JOB_METRIC_ENDS_LOST] = (double)counts->lost;
    values[JOB_METRIC_TARGETS_CRASHED] = (double)counts->crashed_targets;
    values[JOB_METRIC_OVERDUE_TASKS] = (double)counts->overdue_tasks;
    values[JOB_METRIC_STARTS_REFUSED] = (double)counts->refused;
    values[JOB_METRIC_JOBS_REFUSED_CAPACITY] =
        (double)counts->jobs_refused[JOB_REFUSED_CAPACITY];
    values[JOB_METRIC_JOBS_REFUSED_CAP] =
        (double)counts->jobs_refused[JOB_REFUSED_CAP];
    values[JOB_METRIC_JOBS_REFUSED_SPACE] = (double)control->space.refused;
    values[JOB_METRIC_JOB_BYTES] =
        (double)JobState_GetJobBytes(control->state);
    values[JOB_METRIC_REFUSALS_NEEDLESS] = (double)counts->needless_refusals;
    values[JOB_METRIC_CALLS] = (double)counts->calls;
    values[JOB_METRIC_HOLDS] = (double)counts->holds;
    values[JOB_METRIC_CALLS_UNANSWERED] = (double)counts->unanswered;
    values[JOB_METRIC_LOG_LINES_DROPPED] = (double)Slog_CountDropped();
    values[JOB_METRIC_LOG_LINES_LEFT_OUT] = (double)Slog_CountLeftOut();
    values[JOB_METRIC_LOOP_STALLS] = (double)control->stall.count;
    values[JOB_METRIC_LOOP_STALLED_SECONDS] =
        (double)control->stall.total_us / 1e6;
    values[JOB_METRIC_LINKS_REFUSED] =
        (double)Peers_CountRefusedLinks(control->peers);
    for (i = JOB_METRIC_CLIENT_CONNECTIONS; i <= JOB_METRIC_REFUSED_BUSY;
         i++) {
        values[i] = 0;
    }
    JobMetrics_AddClients(control->metrics,
                          HttpServer_GetBudget(control->server));
    count_vms(control, values);
    count_targets(control, values);
    sum_waiting_cores(control, values);
    list_tenants(control, control->metrics);
}

static void
handle_scrape(void *arg, HttpRequest *http)
{
    JobControl *control = arg;
    Buf page = BUF_INIT;

    set_gauges(control);
    JobMetrics_WritePage(control->metrics, &page);
    HttpRequest_ReplyText(http, 200, "text/plain; version=0.0.4",
                          Buf_Text(&page));
    Buf_Free(&page);
}

Status
JobControl_OpenMetrics(JobControl *control, ErrCtx *err)
{
    HttpServerOptions options = {
        .address = control->settings->metrics,
        .max_body_bytes = 1024,
        .idle_timeout_s = METRICS_IDLE_TIMEOUT_S,
        .max_connections =
            HttpServer_LimitConnections(HTTP_FEW_CONNECTIONS, 1),
        .max_open_bytes = METRICS_MAX_OPEN_BYTES,
        .handler = handle_scrape,
        .arg = control};

    if (options.address.port == 0) {
        return ST_OK;
    }
    control->metrics = calloc(1, sizeof(*control->metrics));
    if (control->metrics == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "no memory for metrics");
    }
    control->metrics_server = HttpServer_New(control->loop, &options, err);
    return control->metrics_server != NULL ? ST_OK : ST_IO;
}
