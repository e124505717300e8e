/*
 * NAME
 *     support_escrow - a simulated cluster of keepers, entry VMs and the log
 *
 * DESCRIPTION
 *     The cluster has three data centres with two entry VMs (nodes) each,
 *     all with a disk, and VMs of two pools. One ordered log replaces the
 *     consensus protocol. Nodes apply it late, crash, lose their disk, are
 *     partitioned or destroyed; proposals are lost, repeated and reordered;
 *     a node may crash before or after each save and each action.
 *     After each step an oracle checks which VMs are really out of service.
 *     Random choices come from a callback: a seeded generator in tests, the
 *     input in fuzzing.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_ESCROW_H
#define COLTSFOOT_TESTS_SUPPORT_ESCROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns a number below bound. */
typedef uint32_t (*EscrowModelChooser)(void *arg, uint32_t bound);

typedef struct EscrowModelReport {
    const char *failure; /* first invariant violated, or NULL */
    size_t steps;
    size_t drains;  /* completed drains */
    size_t moves;   /* completed moves */
    size_t crashes; /* node stops, including those that end the run */
} EscrowModelReport;

/* Runs random steps, up to the first violated invariant. If there is none and
 * recover is true, it then ends all faults and checks that no grant or move is
 * left over, that each share reaches its wanted size and that no unit of a
 * budget is lost; this takes far longer than a step. */
void EscrowModel_Run(EscrowModelChooser choose, void *arg, size_t steps,
                     bool recover, EscrowModelReport *report);

#endif
