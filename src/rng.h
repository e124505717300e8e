/*
 * NAME
 *     rng - reproducible pseudo-random numbers
 *
 * DESCRIPTION
 *     The splitmix64 generator (Steele, Lea and Flood, 2014). The same seed
 *     gives the same sequence on every platform. Not suitable for secrets.
 */
#ifndef COLTSFOOT_RNG_H
#define COLTSFOOT_RNG_H

#include <stdint.h>

typedef struct Rng {
    uint64_t state;
} Rng;

void Rng_Seed(Rng *rng, uint64_t seed);
uint64_t Rng_Next(Rng *rng);

/* Returns a number in [0, bound); bound must be above 0. */
uint32_t Rng_Below(Rng *rng, uint32_t bound);

/* Returns a number in [0, 1). */
double Rng_Unit(Rng *rng);

/* Returns a seed from the system's entropy source. If it fails, logs the error
 * and ends the process, since ids and first sequence numbers would repeat
 * those of an earlier start. */
uint64_t Rng_SystemSeed(void);

#endif
