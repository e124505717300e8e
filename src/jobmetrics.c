#include "jobmetrics.h"

#define PREFIX "coltsfoot_"
#define ANSWERS_METRIC PREFIX "answers_total"
#define ANSWER_SECONDS_METRIC PREFIX "answer_seconds"
#define ELECTIONS_METRIC PREFIX "elections_total"
#define VOTE_REQUESTS_METRIC PREFIX "vote_requests_total"
#define TENANT_CORES_METRIC PREFIX "tenant_cores"
#define TENANT_CAP_METRIC PREFIX "tenant_cap_cores"
#define TENANT_AT_CAP_METRIC PREFIX "tenant_at_cap"

typedef struct MetricInfo {
    const char *name;
    const char *type;
    const char *help;
} MetricInfo;

static const MetricInfo metric_infos[JOB_METRIC_COUNT] = {
    [JOB_METRIC_LEADS] = {PREFIX "leader", "gauge",
                          "1 while this node leads and serves"},
    [JOB_METRIC_TERM] = {PREFIX "term", "gauge", "term of the log"},
    [JOB_METRIC_CONFIG_VERSION] = {PREFIX "config_version", "gauge",
                                   "version of the configuration in force"},
    [JOB_METRIC_PEERS_UP] = {PREFIX "peers_up", "gauge",
                             "nodes heard within the silence limit"},
    [JOB_METRIC_VOTERS] = {PREFIX "voters", "gauge",
                           "voters in the member list"},
    [JOB_METRIC_VOTERS_UP] = {PREFIX "voters_up", "gauge",
                              "voters that are connected to this node, "
                              "itself included"},
    [JOB_METRIC_IS_VOTER] = {PREFIX "voter", "gauge",
                             "1 while this node is a voter"},
    [JOB_METRIC_LEADER_UNKNOWN_SECONDS] =
        {PREFIX "leader_unknown_seconds", "gauge",
         "time for which this node has known no leader"},
    [JOB_METRIC_UNCOMMITTED_SECONDS] =
        {PREFIX "uncommitted_seconds", "gauge",
         "age of the leader's oldest uncommitted entry"},
    [JOB_METRIC_TAKEOVER_SECONDS] =
        {PREFIX "takeover_seconds", "gauge",
         "time for which this node has led without serving"},
    [JOB_METRIC_PLACEMENT_IDLE_SECONDS] =
        {PREFIX "placement_idle_seconds", "gauge",
         "time for which tasks have waited and none was started"},
    [JOB_METRIC_RUNS_ON_UNUSABLE] = {PREFIX "runs_on_unusable_targets",
                                     "gauge",
                                     "runs assigned to unusable targets"},
    [JOB_METRIC_LOG_MESSAGES_REFUSED] =
        {PREFIX "log_messages_refused_total", "counter",
         "messages of the log from another cluster or to another identity"},
    [JOB_METRIC_REQUESTS_DENIED] =
        {PREFIX "requests_denied_total", "counter",
         "callers' requests refused because of their key"},
    [JOB_METRIC_JOBS] = {PREFIX "jobs", "gauge",
                         "jobs whose state is remembered"},
    [JOB_METRIC_TARGETS_USABLE] = {PREFIX "targets_usable", "gauge",
                                   "targets that may get work"},
    [JOB_METRIC_TARGETS_UNUSABLE] =
        {PREFIX "targets_unusable", "gauge",
         "targets that are leaving, silent, closed or set aside"},
    [JOB_METRIC_WAITING_CORES] = {PREFIX "waiting_cores", "gauge",
                                  "cores wanted by tasks that could start"},
    [JOB_METRIC_USED_CORES] = {PREFIX "used_cores", "gauge",
                               "cores of assigned tasks"},
    [JOB_METRIC_ROOM_CORES] = {PREFIX "room_cores", "gauge",
                               "cores of all usable targets"},
    [JOB_METRIC_LOG_BYTES] = {PREFIX "log_bytes", "gauge",
                              "bytes of log and snapshot in memory"},
    [JOB_METRIC_STARTS] = {PREFIX "starts_total", "counter",
                           "starts that targets confirmed"},
    [JOB_METRIC_ENDS_DONE] = {PREFIX "ends_done_total", "counter",
                              "runs that ended done"},
    [JOB_METRIC_ENDS_FAILED] = {PREFIX "ends_failed_total", "counter",
                                "runs that ended failed"},
    [JOB_METRIC_ENDS_LOST] = {PREFIX "ends_lost_total", "counter",
                              "runs given up with their target"},
    [JOB_METRIC_TARGETS_CRASHED] = {PREFIX "targets_crashed_total", "counter",
                                    "targets that ended without notice"},
    [JOB_METRIC_OVERDUE_TASKS] = {PREFIX "overdue_tasks_total", "counter",
                                  "tasks started beside others, as no target "
                                  "was free of these for long"},
    [JOB_METRIC_STARTS_REFUSED] = {PREFIX "starts_refused_total", "counter",
                                   "starts that never took effect"},
    [JOB_METRIC_JOBS_REFUSED_CAPACITY] =
        {PREFIX "jobs_refused_capacity_total", "counter",
         "submissions refused for insufficient capacity"},
    [JOB_METRIC_JOBS_REFUSED_CAP] =
        {PREFIX "jobs_refused_cap_total", "counter",
         "submissions refused for the cap of their tenant"},
    [JOB_METRIC_JOBS_REFUSED_SPACE] =
        {PREFIX "jobs_refused_space_total", "counter",
         "submissions refused for the bound on bytes of jobs"},
    [JOB_METRIC_JOB_BYTES] = {PREFIX "job_bytes", "gauge",
                              "bytes of the jobs that are kept"},
    [JOB_METRIC_REFUSALS_NEEDLESS] =
        {PREFIX "refusals_needless_total", "counter",
         "refused jobs for which a later look found room in time"},
    [JOB_METRIC_CALLS] = {PREFIX "calls_total", "counter",
                          "starts and stops ordered"},
    [JOB_METRIC_HOLDS] = {PREFIX "holds_total", "counter",
                          "readings of targets' lists"},
    [JOB_METRIC_CALLS_UNANSWERED] = {PREFIX "calls_unanswered_total",
                                     "counter",
                                     "calls to targets without an answer"},
    [JOB_METRIC_LOG_LINES_DROPPED] = {PREFIX "log_lines_dropped_total",
                                      "counter",
                                      "log lines that a slow reader lost"},
    [JOB_METRIC_LOG_LINES_LEFT_OUT] = {PREFIX "log_lines_left_out_total",
                                       "counter",
                                       "log lines over a rate limit"},
    [JOB_METRIC_LOOP_STALLS] = {PREFIX "loop_stalls_total", "counter",
                                "times that the process did not run for "
                                "200 ms or more"},
    [JOB_METRIC_LOOP_STALLED_SECONDS] =
        {PREFIX "loop_stalled_seconds_total", "counter",
         "time for which the process did not run"},
    [JOB_METRIC_LINKS_REFUSED] = {PREFIX "links_refused_total", "counter",
                                  "links closed before their hello"},
    [JOB_METRIC_VM_LISTS_INCOMPLETE] = {PREFIX "vm_lists_incomplete_total",
                                        "counter",
                                        "VM lists that were not read whole"},
    [JOB_METRIC_VMS_UNUSABLE] = {PREFIX "vms_unusable", "gauge",
                                 "listed VMs with a field that cannot be "
                                 "used"},
    [JOB_METRIC_CLIENT_CONNECTIONS] = {PREFIX "client_connections", "gauge",
                                       "open connections of clients"},
    [JOB_METRIC_CLIENT_BYTES] = {PREFIX "client_bytes", "gauge",
                                 "bytes of open bodies and unread answers"},
    [JOB_METRIC_CLOSED_CONNECTIONS] =
        {PREFIX "clients_closed_connections_total", "counter",
         "connections closed for the bound on connections"},
    [JOB_METRIC_CLOSED_BYTES] = {PREFIX "clients_closed_bytes_total",
                                 "counter",
                                 "connections closed for the bound on bytes"},
    [JOB_METRIC_CLOSED_IDLE] = {PREFIX "clients_closed_idle_total", "counter",
                                "connections closed within a request that "
                                "made no progress"},
    [JOB_METRIC_REFUSED_TOO_LARGE] = {PREFIX "clients_refused_too_large_total",
                                      "counter",
                                      "requests refused for a body over the "
                                      "limit"},
    [JOB_METRIC_REFUSED_BUSY] = {PREFIX "clients_refused_busy_total",
                                 "counter",
                                 "requests refused for the bound on bytes"},
    [JOB_METRIC_READY] = {PREFIX "ready", "gauge",
                          "1 while this node takes requests of callers"},
    [JOB_METRIC_REQUESTS_PENDING] =
        {PREFIX "requests_pending", "gauge",
         "requests at this node that have no answer yet"},
};

static const char *const kind_names[JOB_METRICS_KIND_COUNT] = {
    "none",       "submit",   "state", "cancel",   "pending", "put_config",
    "get_config", "announce", "leave", "put_wave", "get_wave"};

static const char *const outcome_names[RAFT_ELECTION_OUTCOME_COUNT] = {
    [RAFT_ELECTION_WON] = "won",
    [RAFT_ELECTION_REFUSED] = "refused",
    [RAFT_ELECTION_TIMED_OUT] = "timed_out",
    [RAFT_ELECTION_SUPERSEDED] = "superseded",
};

static const char *const verdict_names[RAFT_VERDICT_COUNT] = {
    [RAFT_VERDICT_GRANTED] = "granted",
    [RAFT_VERDICT_LOG_BEHIND] = "log_behind",
    [RAFT_VERDICT_ALREADY_VOTED] = "already_voted",
    [RAFT_VERDICT_KNOWS_LEADER] = "knows_leader",
    [RAFT_VERDICT_STALE_TERM] = "stale_term",
};

const char *
JobMetrics_GetPhaseName(bool prevote)
{
    return prevote ? "prevote" : "vote";
}

const char *
JobMetrics_GetOutcomeName(RaftElectionOutcome outcome)
{
    return outcome_names[outcome];
}

const char *
JobMetrics_GetVerdictName(RaftVerdict verdict)
{
    return verdict_names[verdict];
}

void
JobMetrics_CountElection(JobMetrics *metrics, bool prevote,
                         RaftElectionOutcome outcome)
{
    metrics->elections[prevote][outcome]++;
}

void
JobMetrics_CountVoteRequest(JobMetrics *metrics, bool prevote,
                            RaftVerdict verdict)
{
    metrics->vote_requests[prevote][verdict]++;
}

void
JobMetrics_AddClients(JobMetrics *metrics, const HttpBudget *budget)
{
    int i;

    if (budget == NULL) {
        return;
    }
    metrics->values[JOB_METRIC_CLIENT_CONNECTIONS] +=
        (double)budget->connections;
    metrics->values[JOB_METRIC_CLIENT_BYTES] += (double)budget->bytes;
    for (i = 0; i < HTTP_CAUSE_COUNT; i++) {
        metrics->values[JOB_METRIC_CLOSED_CONNECTIONS + i] +=
            (double)budget->counts[i];
    }
}

const char *
JobMetrics_GetKindName(size_t kind)
{
    return kind < JOB_METRICS_KIND_COUNT ? kind_names[kind] : "none";
}

static size_t
limit_kind(size_t kind)
{
    return kind < JOB_METRICS_KIND_COUNT ? kind : 0;
}

void
JobMetrics_CountAnswer(JobMetrics *metrics, size_t kind, int status)
{
    size_t class = status >= 100 && status < 600 ? (size_t)status / 100 : 0;

    metrics->answers[limit_kind(kind)][class]++;
}

void
JobMetrics_RecordAnswer(JobMetrics *metrics, size_t kind, int status,
                        int64_t took_us)
{
    JobMetrics_CountAnswer(metrics, kind, status);
    Hist_Record(&metrics->answer_us[limit_kind(kind)],
                took_us > 0 ? (uint64_t)took_us : 0, 1);
}

static void
write_header(Buf *out, const char *name, const char *type, const char *help)
{
    Buf_Printf(out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
write_answer_counts(const JobMetrics *metrics, Buf *out)
{
    size_t kind;
    size_t class;

    write_header(out, ANSWERS_METRIC, "counter",
                 "requests answered, by kind and class of status");
    for (kind = 0; kind < JOB_METRICS_KIND_COUNT; kind++) {
        for (class = 1; class < 6; class ++) {
            if (metrics->answers[kind][class] > 0) {
                Buf_Printf(out, "%s{kind=\"%s\",status=\"%zuxx\"} %llu\n",
                           ANSWERS_METRIC, kind_names[kind], class,
                           (unsigned long long)metrics->answers[kind][class]);
            }
        }
    }
}

static void
write_answer_durations(const JobMetrics *metrics, Buf *out)
{
    static const double quantiles[] = {0.5, 0.95, 0.99};
    size_t kind;
    size_t i;

    write_header(out, ANSWER_SECONDS_METRIC, "summary",
                 "time from a request's arrival to its answer");
    for (kind = 0; kind < JOB_METRICS_KIND_COUNT; kind++) {
        const Hist *hist = &metrics->answer_us[kind];
        for (i = 0; hist->total > 0 && i < 3; i++) {
            Buf_Printf(out, "%s{kind=\"%s\",quantile=\"%g\"} %g\n",
                       ANSWER_SECONDS_METRIC, kind_names[kind], quantiles[i],
                       (double)Hist_Quantile(hist, quantiles[i]) / 1e6);
        }
        if (hist->total > 0) {
            Buf_Printf(out, "%s_sum{kind=\"%s\"} %g\n", ANSWER_SECONDS_METRIC,
                       kind_names[kind], hist->sum / 1e6);
            Buf_Printf(out, "%s_count{kind=\"%s\"} %llu\n",
                       ANSWER_SECONDS_METRIC, kind_names[kind],
                       (unsigned long long)hist->total);
        }
    }
}

static void
write_phase_counts(Buf *out, const char *name, const char *label, bool prevote,
                   const char *const *labels, const uint64_t *counts,
                   size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        Buf_Printf(out, "%s{phase=\"%s\",%s=\"%s\"} %llu\n", name,
                   JobMetrics_GetPhaseName(prevote), label, labels[i],
                   (unsigned long long)counts[i]);
    }
}

static void
write_election_counts(const JobMetrics *metrics, Buf *out)
{
    int prevote;

    write_header(out, ELECTIONS_METRIC, "counter",
                 "elections of this node that have ended");
    for (prevote = 0; prevote < 2; prevote++) {
        write_phase_counts(out, ELECTIONS_METRIC, "outcome", prevote,
                           outcome_names, metrics->elections[prevote],
                           RAFT_ELECTION_OUTCOME_COUNT);
    }
    write_header(out, VOTE_REQUESTS_METRIC, "counter",
                 "vote requests received, by verdict");
    for (prevote = 0; prevote < 2; prevote++) {
        write_phase_counts(out, VOTE_REQUESTS_METRIC, "verdict", prevote,
                           verdict_names, metrics->vote_requests[prevote],
                           RAFT_VERDICT_COUNT);
    }
}

static void
write_tenant_value(Buf *out, const char *metric, const char *tenant,
                   double value)
{
    Buf_Printf(out, "%s{tenant=\"", metric);
    for (; *tenant != '\0'; tenant++) {
        if (*tenant == '\n') {
            Buf_Append(out, "\\n", 2);
            continue;
        }
        if (*tenant == '"' || *tenant == '\\') {
            Buf_Append(out, "\\", 1);
        }
        Buf_Append(out, tenant, 1);
    }
    Buf_Printf(out, "\"} %.15g\n", value);
}

static void
write_tenants(const JobMetrics *metrics, Buf *out)
{
    size_t i;

    write_header(out, TENANT_CORES_METRIC, "gauge",
                 "cores of a tenant's assigned tasks");
    for (i = 0; i < metrics->tenant_count; i++) {
        write_tenant_value(out, TENANT_CORES_METRIC, metrics->tenants[i].name,
                           metrics->tenants[i].cores);
    }
    write_header(out, TENANT_CAP_METRIC, "gauge",
                 "cap of a tenant in cores; 0: no limit");
    for (i = 0; i < metrics->tenant_count; i++) {
        write_tenant_value(out, TENANT_CAP_METRIC, metrics->tenants[i].name,
                           metrics->tenants[i].cap_cores);
    }
    write_header(out, TENANT_AT_CAP_METRIC, "gauge",
                 "1 while its cap delays tasks of a tenant");
    for (i = 0; i < metrics->tenant_count; i++) {
        write_tenant_value(out, TENANT_AT_CAP_METRIC, metrics->tenants[i].name,
                           metrics->tenants[i].at_cap);
    }
}

static void
write_value(const JobMetrics *metrics, JobMetric metric, Buf *out)
{
    const MetricInfo *info = &metric_infos[metric];

    write_header(out, info->name, info->type, info->help);
    Buf_Printf(out, "%s %.15g\n", info->name, metrics->values[metric]);
}

void
JobMetrics_WriteGauges(const JobMetrics *metrics, const JobMetric *written,
                       size_t count, Buf *out)
{
    size_t i;

    for (i = 0; i < count; i++) {
        write_value(metrics, written[i], out);
    }
}

void
JobMetrics_WritePage(const JobMetrics *metrics, Buf *out)
{
    size_t i;

    for (i = 0; i < JOB_METRIC_ENTRY_FIRST; i++) {
        write_value(metrics, (JobMetric)i, out);
    }
    write_answer_counts(metrics, out);
    write_answer_durations(metrics, out);
    write_election_counts(metrics, out);
    write_tenants(metrics, out);
}

const char *
JobMetrics_GetName(size_t i)
{
    static const char *const labelled[] = {
        ANSWERS_METRIC,       ANSWER_SECONDS_METRIC, ELECTIONS_METRIC,
        VOTE_REQUESTS_METRIC, TENANT_CORES_METRIC,   TENANT_CAP_METRIC,
        TENANT_AT_CAP_METRIC};

    if (i < JOB_METRIC_COUNT) {
        return metric_infos[i].name;
    }
    i -= JOB_METRIC_COUNT;
    return i < sizeof(labelled) / sizeof(labelled[0]) ? labelled[i] : NULL;
}
