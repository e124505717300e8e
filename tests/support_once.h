/*
 * NAME
 *     support_once - entry VMs, targets and callers around the Once_ core
 *
 * DESCRIPTION
 *     Two data centres with two entry VMs each; the first of each has a disk.
 *     All steps of the daemon are separate events that are lost, duplicated
 *     or delivered in any order. The oracle counts executions by token and
 *     checks each reply when it is given and again at each execution.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_ONCE_H
#define COLTSFOOT_TESTS_SUPPORT_ONCE_H

#include <stddef.h>
#include <stdint.h>

/* Deliberate faults in the daemon's part; the oracle has to find each. */
typedef enum OnceFault {
    ONCE_FAULT_NONE,
    ONCE_FAULT_NO_RECORD,          /* no intent before the dispatch, and a
                                    * restarted home runs unrecorded tokens */
    ONCE_FAULT_RUN_UNRECORDED,     /* only the second half of that */
    ONCE_FAULT_SAME_INCARNATION,   /* after a restart */
    ONCE_FAULT_REDISPATCH,         /* sends again when the answer is late */
    ONCE_FAULT_NOT_RUN_ON_TIMEOUT, /* says "not run" when it is late */
    ONCE_FAULT_NO_ATTEMPT,         /* ignores the attempt of "not run" */
    ONCE_FAULT_UNREACHABLE,        /* says "not run" for a silent home */
    ONCE_FAULT_NOT_FINAL,          /* refuses without Once_Finish */
    ONCE_FAULT_NO_ECHO,            /* accepts another request's answer */
    ONCE_FAULT_COUNT
} OnceFault;

typedef struct OnceModelResult {
    const char *violation; /* NULL for none */
    unsigned executions;
    unsigned told_done;
    unsigned told_not_run;
    unsigned told_unknown;
    unsigned restarts;
    unsigned learned;   /* outcomes that a restarted home got from a peer */
    unsigned recovered; /* records read from disks */
} OnceModelResult;

/* Runs steps events with choices drawn from the bytes, then from the seed. */
OnceModelResult OnceModel_Run(uint64_t seed, const uint8_t *bytes, size_t len,
                              int steps, OnceFault fault);

#endif
