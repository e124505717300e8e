/*
 * NAME
 *     jobmetrics - metrics of the job service
 *
 * DESCRIPTION
 *     Core without I/O. A node counts the requests that it has answered and
 *     keeps histograms of their durations. The other metrics are set from the
 *     node's current state before a page is written. The page is in the
 *     Prometheus text format, version 0.0.4.
 *     docs/OPERATIONS.md lists every metric.
 */
#ifndef COLTSFOOT_JOBMETRICS_H
#define COLTSFOOT_JOBMETRICS_H

#include "buf.h"
#include "hist.h"
#include "httpbudget.h"
#include "job.h"
#include "raft.h"

#define JOB_METRICS_KIND_COUNT 11 /* number of JobRequestKind values */

typedef enum JobMetric {
    JOB_METRIC_LEADS,
    JOB_METRIC_TERM,
    JOB_METRIC_CONFIG_VERSION,
    JOB_METRIC_PEERS_UP,
    JOB_METRIC_VOTERS,
    JOB_METRIC_VOTERS_UP,
    JOB_METRIC_IS_VOTER,
    JOB_METRIC_LEADER_UNKNOWN_SECONDS,
    JOB_METRIC_UNCOMMITTED_SECONDS,
    JOB_METRIC_TAKEOVER_SECONDS,
    JOB_METRIC_PLACEMENT_IDLE_SECONDS,
    JOB_METRIC_RUNS_ON_UNUSABLE,
    JOB_METRIC_LOG_MESSAGES_REFUSED,
    JOB_METRIC_REQUESTS_DENIED,
    JOB_METRIC_JOBS,
    JOB_METRIC_TARGETS_USABLE,
    JOB_METRIC_TARGETS_UNUSABLE,
    JOB_METRIC_WAITING_CORES,
    JOB_METRIC_USED_CORES,
    JOB_METRIC_ROOM_CORES,
    JOB_METRIC_LOG_BYTES,
    JOB_METRIC_STARTS,
    JOB_METRIC_ENDS_DONE,
    JOB_METRIC_ENDS_FAILED,
    JOB_METRIC_ENDS_LOST,
    JOB_METRIC_TARGETS_CRASHED,
    JOB_METRIC_OVERDUE_TASKS,
    JOB_METRIC_STARTS_REFUSED,
    JOB_METRIC_JOBS_REFUSED_CAPACITY,
    JOB_METRIC_JOBS_REFUSED_CAP,
    JOB_METRIC_JOBS_REFUSED_SPACE,
    JOB_METRIC_JOB_BYTES,
    JOB_METRIC_REFUSALS_NEEDLESS,
    JOB_METRIC_CALLS,
    JOB_METRIC_HOLDS,
    JOB_METRIC_CALLS_UNANSWERED,
    JOB_METRIC_LOG_LINES_DROPPED,
    JOB_METRIC_LOG_LINES_LEFT_OUT,
    JOB_METRIC_LOOP_STALLS,
    JOB_METRIC_LOOP_STALLED_SECONDS,
    JOB_METRIC_LINKS_REFUSED,
    JOB_METRIC_VM_LISTS_INCOMPLETE,
    JOB_METRIC_VMS_UNUSABLE,
    JOB_METRIC_CLIENT_CONNECTIONS,
    JOB_METRIC_CLIENT_BYTES,
    /* In the order of HttpBudgetCause. */
    JOB_METRIC_CLOSED_CONNECTIONS,
    JOB_METRIC_CLOSED_BYTES,
    JOB_METRIC_CLOSED_IDLE,
    JOB_METRIC_REFUSED_TOO_LARGE,
    JOB_METRIC_REFUSED_BUSY,
    JOB_METRIC_ENTRY_FIRST, /* from here on, metrics of entry VMs only */
    JOB_METRIC_READY = JOB_METRIC_ENTRY_FIRST,
    JOB_METRIC_REQUESTS_PENDING,
    JOB_METRIC_COUNT
} JobMetric;

/* Tenants on a page, the first ones of the configuration. */
#define JOB_METRICS_MAX_TENANTS 32

typedef struct JobTenantMetrics {
    char name[JOB_NAME_BYTES];
    double cores;
    double cap_cores; /* 0: no limit */
    bool at_cap;
} JobTenantMetrics;

typedef struct JobMetrics {
    JobTenantMetrics tenants[JOB_METRICS_MAX_TENANTS];
    size_t tenant_count;
    double values[JOB_METRIC_COUNT];
    /* Number of answers by kind of request and first digit of the status. */
    uint64_t answers[JOB_METRICS_KIND_COUNT][6];
    Hist answer_us[JOB_METRICS_KIND_COUNT];
    /* The first index is 1 for pre-votes and 0 for votes. */
    uint64_t elections[2][RAFT_ELECTION_OUTCOME_COUNT];
    uint64_t vote_requests[2][RAFT_VERDICT_COUNT];
} JobMetrics;

/* Counts the answer to a request and records its duration. kind is a
 * JobRequestKind and status an HTTP status. */
void JobMetrics_RecordAnswer(JobMetrics *metrics, size_t kind, int status,
                             int64_t took_us);

/* Counts the answer to a request that this node did not serve itself. */
void JobMetrics_CountAnswer(JobMetrics *metrics, size_t kind, int status);

/* Counts an election of this node that has ended. */
void JobMetrics_CountElection(JobMetrics *metrics, bool prevote,
                              RaftElectionOutcome outcome);

/* Counts a vote request that this node has answered or ignored. */
void JobMetrics_CountVoteRequest(JobMetrics *metrics, bool prevote,
                                 RaftVerdict verdict);

/* Return the labels of elections and vote requests. */
const char *JobMetrics_GetPhaseName(bool prevote);
const char *JobMetrics_GetOutcomeName(RaftElectionOutcome outcome);
const char *JobMetrics_GetVerdictName(RaftVerdict verdict);

/* Adds what the clients of a server hold, unless budget is NULL. */
void JobMetrics_AddClients(JobMetrics *metrics, const HttpBudget *budget);

/* Returns the label of a JobRequestKind. */
const char *JobMetrics_GetKindName(size_t kind);

/* Appends the page of a control node to out. */
void JobMetrics_WritePage(const JobMetrics *metrics, Buf *out);

/* Appends only the given metrics, for the page of an entry VM. */
void JobMetrics_WriteGauges(const JobMetrics *metrics,
                            const JobMetric *written, size_t count, Buf *out);

/* Returns the name of metric i without labels, or NULL past the last one. */
const char *JobMetrics_GetName(size_t i);

#endif
