/* Runs the simulated cluster of support_escrow with the input as its sequence
 * of random choices. No input may violate an invariant. */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "rng.h"
#include "support_escrow.h"

#define MAX_STEPS 100
/* One input size in this many also checks recovery, which takes many times
 * longer than the steps. */
#define RECOVERY_INTERVAL 256
#define BYTES_PER_STEP 3

typedef struct Choices {
    const uint8_t *next;
    size_t left;
    Rng rng; /* source of choices after the end of the input */
} Choices;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint32_t
choose_next(void *arg, uint32_t bound)
{
    Choices *choices = arg;

    if (choices->left == 0) {
        return Rng_Below(&choices->rng, bound);
    }
    choices->left--;
    return *choices->next++ % bound;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Choices choices = {.next = data, .left = size};
    size_t steps = size / BYTES_PER_STEP;
    EscrowModelReport report;

    Rng_Seed(&choices.rng, size);
    EscrowModel_Run(choose_next, &choices,
                    steps < MAX_STEPS ? steps : MAX_STEPS,
                    size % RECOVERY_INTERVAL == 0, &report);
    if (report.failure != NULL) {
        fprintf(stderr, "step %zu: %s\n", report.steps, report.failure);
        abort();
    }
    return 0;
}
