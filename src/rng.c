#include "rng.h"

#include <stdlib.h>

#include <apr_errno.h>
#include <apr_general.h>

#include "diag.h"

void
Rng_Seed(Rng *rng, uint64_t seed)
{
    rng->state = seed;
}

uint64_t
Rng_Next(Rng *rng)
{
    uint64_t z = (rng->state += UINT64_C(0x9e3779b97f4a7c15));

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint32_t
Rng_Below(Rng *rng, uint32_t bound)
{
    return (uint32_t)(((Rng_Next(rng) >> 32) * bound) >> 32);
}

double
Rng_Unit(Rng *rng)
{
    return (double)(Rng_Next(rng) >> 11) * (1.0 / 9007199254740992.0);
}

uint64_t
Rng_SystemSeed(void)
{
    uint64_t seed = 0;
    apr_status_t status =
        apr_generate_random_bytes((unsigned char *)&seed, sizeof(seed));
    char reason[120];

    if (status != APR_SUCCESS) {
        Diag_Log(DIAG_ERROR, "rng",
                 "The system gives no random numbers: %s. Ending.",
                 apr_strerror(status, reason, sizeof(reason)));
        exit(EXIT_FAILURE);
    }
    return seed;
}
