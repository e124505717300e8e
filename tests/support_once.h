/*
 * NAME
 *     support_once - randomised model of the at-most-once module
 *
 * DESCRIPTION
 *     The model simulates entry VMs, targets and callers. It has two data
 *     centres with two entry VMs each; the first of each has a disk. All steps
 *     of the daemon are separate events that can be lost, duplicated or
 *     reordered. The oracle counts executions by token and checks each reply
 *     when it is sent and again at each execution.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_ONCE_H
#define COLTSFOOT_TESTS_SUPPORT_ONCE_H

#include <stddef.h>
#include <stdint.h>

/* Deliberate faults in the simulated daemon; the oracle must detect each. */
typedef enum OnceFault {
    ONCE_FAULT_NONE,
    /* Records no intent before an attempt, and a restarted home runs requests
     * that have no record. */
    ONCE_FAULT_NO_RECORD,
    /* A restarted home runs requests that have no record. */
    ONCE_FAULT_RUN_UNRECORDED,
    /* Keeps the incarnation after a restart. */
    ONCE_FAULT_SAME_INCARNATION,
    /* Sends the request again after an answer timeout. */
    ONCE_FAULT_REDISPATCH,
    /* Replies "not run" after an answer timeout. */
    ONCE_FAULT_NOT_RUN_ON_TIMEOUT,
    /* Ignores the attempt number of a "not run" statement. */
    ONCE_FAULT_IGNORE_ATTEMPT,
    /* Replies "not run" if the home is unreachable. */
    ONCE_FAULT_NOT_RUN_ON_UNREACHABLE,
    /* Replies "not run" without Once_FinishRequest. */
    ONCE_FAULT_NOT_RUN_NOT_FINAL,
    /* Accepts the answer to another request. */
    ONCE_FAULT_ACCEPT_OTHER_ANSWER,
    ONCE_FAULT_COUNT
} OnceFault;

typedef struct OnceModelResult {
    const char *violation; /* NULL if there was none */
    unsigned executions;
    unsigned replied_done;
    unsigned replied_not_run;
    unsigned replied_unknown;
    unsigned restarts;
    unsigned peer_outcomes; /* outcomes that a restarted home got from peers */
    unsigned recovered_records; /* records read from disks */
} OnceModelResult;

/* Runs the given number of events. Random choices are read from the bytes and,
 * after their end, from a generator with the seed. */
OnceModelResult OnceModel_Run(uint64_t seed, const uint8_t *bytes, size_t len,
                              int steps, OnceFault fault);

#endif
