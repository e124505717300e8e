/*
 * NAME
 *     support_escrow - a small model of keepers, entry VMs and the log
 *
 * DESCRIPTION
 *     Three data centres with two entry VMs each, all with a disk, and VMs
 *     of two pools. One ordered log stands for the agreement. Nodes apply it
 *     late, crash, lose their disk, are cut off or destroyed; proposals are
 *     lost, repeated and reordered; a crash comes before or after each save
 *     and each action. After each step an oracle checks what really is out
 *     of service. Choices come from a callback: a seeded generator in tests,
 *     the input in fuzzing.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_ESCROW_H
#define COLTSFOOT_TESTS_SUPPORT_ESCROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns a number below bound. */
typedef uint32_t (*EscrowModelChoose)(void *arg, uint32_t bound);

typedef struct EscrowModelReport {
    const char *failure; /* NULL when all holds */
    size_t steps;
    size_t drains; /* drains that ended */
    size_t moves;  /* moves that ended */
    size_t crashes;
} EscrowModelReport;

/* Runs steps of random work. With rest it then heals everything and checks
 * that it comes to rest with no grant, move or unit of a share left over,
 * which takes far longer than a step. */
void EscrowModel_Run(EscrowModelChoose choose, void *arg, size_t steps,
                     bool rest, EscrowModelReport *report);

#endif
