/*
 * NAME
 *     common_load - open-loop load with checked answers
 *
 * DESCRIPTION
 *     Requests start at times drawn from the rate, whether earlier ones have
 *     been answered or not. Latency counts from the drawn time.
 */
#ifndef COLTSFOOT_STANDIN_COMMON_LOAD_H
#define COLTSFOOT_STANDIN_COMMON_LOAD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "buf.h"
#include "settings.h"

#define LOAD_MAX_ADDRESSES 128
#define LOAD_MAX_SERVICES 32
#define LOAD_TOKEN_BYTES 256
#define LOAD_ID_BYTES 64
#define LOAD_OUTCOME_BYTES 32

typedef struct LoadOptions {
    SettingsAddress to[LOAD_MAX_ADDRESSES];
    int to_count;
    SettingsAddress verify[LOAD_MAX_ADDRESSES];
    int verify_count;
    const char *services[LOAD_MAX_SERVICES];
    int service_count;
    double rate;
    double seconds;
    int requests; /* 0: bounded by seconds */
    int body_bytes;
    int run_us; /* below 0: not written into the body */
    int deadline_ms;
    const char *class;
    const char *team;
    const char *caller;
    int unrepeatable_percent;
    int twice_percent;
    int cancel_percent;
    int resend;
    bool direct; /* to are targets, called as entry VMs call them */
    uint64_t seed;
} LoadOptions;

typedef struct LoadCounts {
    int64_t sent;
    int64_t done;
    int64_t not_run;
    int64_t unknown;
    int64_t unable;
    int64_t cancelled;
    int64_t lost;
    int64_t wrong;
    int64_t late;
    int64_t resent;
    int64_t no_token;
    int64_t verified; /* unrepeatable ids whose counts were checked */
} LoadCounts;

/* What is kept of each request until the counts are verified. */
typedef struct LoadRecord {
    uint64_t tag; /* the id is derived from it */
    int64_t latency_us;
    bool unrepeatable;
    bool answered;
    bool done;
    bool not_run;
    bool attempt_lost;
    bool conflict; /* not run and another outcome were answered */
} LoadRecord;

typedef struct Load {
    LoadOptions options;
    LoadCounts counts;
    LoadRecord *records;
    size_t record_count;
    size_t record_capacity;
    uint64_t run_tag;
    uint64_t random;
    CURLM *multi;
    int next_address;
    int64_t in_flight;
} Load;

/* Writes the id of a record. */
void Load_Id(const Load *load, const LoadRecord *record, char *id);

/* Sends the whole load and waits for the answers. */
void Load_Run(Load *load);

/* Compares the records with the counts of the targets; each breach counts as
 * wrong and is printed on standard error. */
void Load_Verify(Load *load);

/* Frees the records. */
void Load_Free(Load *load);

/* Prints the counts as one JSON line. */
void Load_Print(const Load *load, FILE *out);

#endif
