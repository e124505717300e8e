/*
 * NAME
 *     common_jobs - records of submitted jobs, and the check of what ran
 *
 * DESCRIPTION
 *     A caller keeps a record of each job. JobCheck_Run reads the events that
 *     standin-jobs-target wrote and compares them with the records. Times are
 *     wall-clock milliseconds. The lines of an event file are, in the order in
 *     which they happened in one process and its successors:
 *
 *         START MS TARGET TASK ATTEMPT FENCE SPEC
 *         END MS TARGET TASK ATTEMPT KIND NUMBER
 *         ACK MS TARGET NUMBER         ends up to NUMBER are acknowledged
 *         LEASE MS TARGET DEADLINE     everything ends then, if not extended
 *         LAPSE MS TARGET              the lease expired
 *         GONE MS TARGET|*             the target, or the process, is gone
 *
 *     TARGET is the id and the start time of a target, so it differs between
 *     incarnations. A line of the file of faults is FROM TO KIND NODE; the
 *     kinds term and hup are planned work.
 */
#ifndef COLTSFOOT_STANDIN_COMMON_JOBS_H
#define COLTSFOOT_STANDIN_COMMON_JOBS_H

#include "buf.h"
#include "job.h"
#include "jobstate.h"

#define JOB_RECORD_ID_BYTES 17

typedef struct JobRecord {
    char id[JOB_RECORD_ID_BYTES];
    uint32_t queue;
    uint32_t steps;       /* each depends on the one before */
    uint32_t tasks;       /* of each step */
    int64_t accepted_ms;  /* time of the first 2xx, or 0 */
    uint32_t refused;     /* attempts answered by 429, 503 or 404 */
    uint32_t rejected;    /* of them, those answered by 429 or 503 */
    uint32_t open;        /* attempts whose outcome is not known */
    int64_t cancel_ms;    /* when the first cancel was sent, or 0 */
    int64_t cancelled_ms; /* when a cancel was acknowledged, or 0 */
    int64_t completed_ms; /* when it was first shown as completed, or 0 */
    JobPhase phase;       /* last phase shown */
    int last_status;      /* status of the last state read, or 0 */
    Buf history;          /* attempts, for messages */
} JobRecord;

/* A request whose connection broke before a complete answer. */
typedef struct JobBreak {
    uint32_t entry; /* number of the entry VM, from 1 */
    int64_t sent_ms;
    int64_t broken_ms;
} JobBreak;

typedef struct JobCheckOptions {
    JobRecord *jobs;
    size_t job_count;
    const JobBreak *breaks;
    size_t break_count;
    const char **event_files;
    size_t event_file_count;
    const char *fault_file; /* NULL for none */
    int64_t cancel_limit_ms;
} JobCheckOptions;

/* Returns whether every attempt to submit the job was refused. */
bool JobRecord_IsRefused(const JobRecord *job);

/* Returns whether the job was accepted and is to be completed. */
bool JobRecord_IsOwed(const JobRecord *job);

/* Prints a line for each broken promise and a summary to standard output.
 * Returns the number of broken promises. */
size_t JobCheck_Run(const JobCheckOptions *options);

#endif
