/*
 * NAME
 *     findings - problems found in a file, collected and reported together
 *
 * DESCRIPTION
 *     A loader adds one finding for each problem and continues, so that a user
 *     sees all problems in one pass.
 */
#ifndef COLTSFOOT_FINDINGS_H
#define COLTSFOOT_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

#define FINDINGS_PATH_BYTES 160
#define FINDINGS_REASON_BYTES 200
/* Limits the report on a malicious file. Later findings are only counted. */
#define FINDINGS_MAX 1000

typedef struct Finding {
    size_t line; /* counted from 1; 0 for the whole file */
    char path[FINDINGS_PATH_BYTES];
    char reason[FINDINGS_REASON_BYTES];
} Finding;

typedef struct Findings Findings;

/* Returns an empty list for a file, or NULL if out of memory. */
Findings *Findings_New(const char *file);
void Findings_Free(Findings *findings);

/* Adds a finding with a printf-style reason. */
#if defined(__GNUC__)
__attribute__((format(printf, 4, 5)))
#endif
void
Findings_Add(Findings *findings, size_t line, const char *path,
             const char *format, ...);

/* Returns the number of findings, including those beyond FINDINGS_MAX. */
size_t Findings_Count(const Findings *findings);

/* Returns finding i, or NULL past the end. */
const Finding *Findings_Get(const Findings *findings, size_t i);

const char *Findings_GetFile(const Findings *findings);

/* Prints one line "FILE:LINE: PATH: REASON" for each finding. */
void Findings_Print(const Findings *findings, FILE *out);

#endif
