/*
 * NAME
 *     once - at-most-once execution of unrepeatable requests
 *
 * DESCRIPTION
 *     A token identifies one unrepeatable request. The entry VM that issued a
 *     token is its home. A token is text: home name, incarnation, number,
 *     issue time on the home's clock and an XXH64 checksum of these, separated
 *     by '~', with the numbers in hexadecimal. The checksum detects mistyped
 *     tokens; it is no signature. The first use of a token binds it to a
 *     caller id and a request id.
 *
 *     The home keeps one row for each token from its issue on, so a request
 *     with a valid token always finds room, and "not run" can be stored as a
 *     final outcome. A token whose outcome is "not run" cannot be used again:
 *     a delayed copy of the request that arrives later must not run, since its
 *     caller was told that it did not.
 *
 *     Order of calls at the home, for each ONCE_FIRST_USE:
 *
 *         Once_BeginRequest      returns ONCE_FIRST_USE
 *         Once_EncodeRecord      encodes the intent: append and sync it, or
 *                                send it to a second entry VM
 *         Once_ReportIntent      with true once it is synced or acknowledged
 *         Once_BeginAttempt      ST_OK: send this attempt to one target
 *         Once_ReportNotRun      the target ran nothing; begin a new attempt
 *         Once_FinishRequest     in every case, also without an attempt
 *         Once_EncodeRecord      encodes the outcome: store it where the
 *                                intent is
 *
 *     A request with a token of an older incarnation is never sent to a
 *     target. A lost record can therefore turn an outcome into "unknown", but
 *     never into "not run" or a second execution.
 *
 *     Time is in ms and must not depend on the wall clock of another process;
 *     a time earlier than that of a previous call counts as that previous
 *     time. Each operation is amortised O(1): rows are kept in lists ordered
 *     by the time at which they are dropped. The module is not thread-safe;
 *     the caller must lock. A view and its answer are valid until the next
 *     call.
 */
#ifndef COLTSFOOT_ONCE_H
#define COLTSFOOT_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "status.h"

#define ONCE_HOME_BYTES 64            /* including the terminator */
#define ONCE_TOKEN_BYTES 160          /* including the terminator */
#define ONCE_MAX_TOKENS_PER_CALL 1024 /* limit of Once_IssueTokens */
#define ONCE_DEFAULT_TTL_MS 600000
#define ONCE_DEFAULT_RETENTION_MS 660000 /* for the default TTL */
/* Retention of an outcome that is stored after the retention of its token. */
#define ONCE_LATE_RETENTION_MS 60000

typedef struct Once Once;

typedef struct OnceOptions {
    const char *home;              /* name of this entry VM, without '~' */
    uint64_t incarnation;          /* different at every start */
    int64_t ttl_ms;                /* token lifetime; equal on all entry VMs */
    uint32_t max_tokens;           /* rows of own tokens */
    uint32_t max_held;             /* rows of other homes and recovered rows */
    size_t max_answer_bytes;       /* longer answers are not kept */
    size_t max_total_answer_bytes; /* limit for all kept answers */
} OnceOptions;

/* Limits memory to about 50 MB: 112 bytes a row, 8 bytes a bucket, and the
 * answers. */
#define ONCE_OPTIONS_DEFAULT                                                  \
    ((OnceOptions){.ttl_ms = ONCE_DEFAULT_TTL_MS,                             \
                   .max_tokens = 131072,                                      \
                   .max_held = 131072,                                        \
                   .max_answer_bytes = 65536,                                 \
                   .max_total_answer_bytes = 16777216})

typedef enum OnceOutcome {
    ONCE_OUTCOME_NONE = 0, /* the request runs, or only its intent is known */
    ONCE_OUTCOME_DONE,
    ONCE_OUTCOME_NOT_RUN,
    ONCE_OUTCOME_UNKNOWN,
    ONCE_OUTCOME_CANCELLED /* the request may or may not have run */
} OnceOutcome;

typedef enum OnceDecision {
    ONCE_FIRST_USE, /* the caller must record the intent */
    ONCE_RUNNING,   /* resent request that has no outcome yet */
    ONCE_FINISHED,  /* resent request; the view has the outcome and any kept
                     * answer */
    ONCE_UNKNOWN,   /* reply "unknown"; see OnceView.ask_peers */
    ONCE_EXPIRED,   /* reply "unknown": the row may have been dropped */
    ONCE_FORWARD,   /* the view names the home to forward to */
    ONCE_INVALID    /* mistyped, never issued or bound to another request */
} OnceDecision;

typedef struct OnceView {
    char home[ONCE_HOME_BYTES];
    OnceOutcome outcome;
    int status;          /* HTTP status of the answer */
    const char *answer;  /* NULL if there is none or it was not kept */
    size_t len;          /* length of the answer in bytes */
    bool answer_dropped; /* true if the answer was too long or was dropped for
                          * newer answers */
    bool ask_peers; /* true if the token is of an older incarnation of this
                     * home. Another entry VM may hold the outcome: pass that
                     * VM's record to Once_HoldOutcome and call
                     * Once_BeginRequest again */
} OnceView;

/* Returns NULL if memory is exhausted, ttl_ms is not above 0, or the home's
 * name is empty, too long or has a character other than printable ASCII
 * without space and '~'. */
Once *Once_New(const OnceOptions *options);
void Once_Free(Once *once);

/* Returns how long rows and records of tokens with this lifetime are kept. The
 * time beyond the lifetime, ONCE_DEFAULT_RETENTION_MS - ONCE_DEFAULT_TTL_MS,
 * covers resends and peer messages in flight when the token expires. */
int64_t Once_GetRetentionMs(int64_t ttl_ms);

/* Drops the rows whose retention has ended. The calls that take the time do
 * the same; a timer calls this function so that an idle process frees memory.
 */
void Once_DropExpired(Once *once, int64_t now_ms);

/* Writes count tokens (1 to ONCE_MAX_TOKENS_PER_CALL) to out. Returns
 * ST_INVALID for another count, or ST_FULL and issues none if fewer than count
 * rows are free. */
Status Once_IssueTokens(Once *once, int64_t now_ms, size_t count,
                        char out[][ONCE_TOKEN_BYTES]);

/* Decides how to handle a request. caller and request_id are the values of the
 * request's headers. The home decides on a forwarded request in a call of its
 * own. */
OnceDecision Once_BeginRequest(Once *once, int64_t now_ms, const char *token,
                               const char *caller, const char *request_id,
                               OnceView *view);

/* Reports whether the intent is synced on the home's disk or acknowledged by
 * a second entry VM. After false the caller may record it elsewhere. Returns
 * ST_STALE if the request has not begun or has an outcome. */
Status Once_ReportIntent(Once *once, int64_t now_ms, const char *token,
                         bool recorded);

/* Begins an attempt: call it right before the first byte is sent to a target,
 * and send only after ST_OK, which stores the number of the attempt. Returns
 * ST_AGAIN if the intent is not recorded, ST_EXISTS if an attempt is in
 * flight, and ST_STALE if the request has an outcome or does not exist. */
Status Once_BeginAttempt(Once *once, int64_t now_ms, const char *token,
                         uint32_t *attempt);

/* Reports that the target of this attempt stated that it ran nothing. Returns
 * ST_STALE for an attempt that is not in flight, as after a duplicated
 * statement. */
Status Once_ReportNotRun(Once *once, int64_t now_ms, const char *token,
                         uint32_t attempt);

/* Stores the outcome and a copy of the answer if the limits allow it. attempt
 * is the number of the attempt that was answered, or 0 without an answer.
 * Returns ST_CONFLICT for "not run" while an attempt is unanswered, since it
 * may have run. Returns ST_STALE for an answer to another attempt, and if the
 * request has an outcome already, except that an answer to the
 * unanswered attempt replaces "unknown". */
Status Once_FinishRequest(Once *once, int64_t now_ms, const char *token,
                          uint32_t attempt, OnceOutcome outcome, int status,
                          const char *answer, size_t len);

/* Appends the record of an own or held token to out: the outcome if there is
 * one, else the intent. A record has a length and a checksum (4-byte length,
 * XXH64, msgpack body); files and peer messages use the same format. Returns
 * ST_NOT_FOUND for a token whose request has not begun. */
Status Once_EncodeRecord(Once *once, const char *token, Buf *out);

/* Keeps one record of another home for the retention time from now. A
 * restarted home also calls Once_HoldOutcome with records that peers return.
 * Returns ST_CORRUPT for bytes that are not one whole record, ST_INVALID for
 * the wrong kind, another binding or a token of the current incarnation, and
 * ST_FULL if there is no room: the home must record elsewhere. */
Status Once_HoldIntent(Once *once, int64_t now_ms, const char *record,
                       size_t len);
Status Once_HoldOutcome(Once *once, int64_t now_ms, const char *record,
                        size_t len);

/* Looks up a held record and fills the view, whose outcome is
 * ONCE_OUTCOME_NONE if only the intent is held. Returns ST_INVALID for a
 * malformed token or another caller or request id, and ST_NOT_FOUND if no
 * record is held. */
Status Once_FindHeldRecord(Once *once, int64_t now_ms, const char *token,
                           const char *caller, const char *request_id,
                           OnceView *view);

typedef struct OnceRecovery {
    size_t intents;     /* records of intents read */
    size_t outcomes;    /* records of outcomes read */
    size_t valid_bytes; /* up to the end of the last valid record */
} OnceRecovery;

/* Restores the records of one file; pass the oldest file first. Returns ST_OK,
 * also for a file that ends within a record: truncate it to out->valid_bytes.
 * Returns ST_CORRUPT with the offset in the message for a corrupt record
 * before the end; the records before it are kept, and later ones become
 * "unknown". A file may be deleted Once_GetRetentionMs after the last append
 * to it. */
Status Once_RecoverRecords(Once *once, int64_t now_ms, const char *bytes,
                           size_t len, OnceRecovery *out, ErrCtx *err);

typedef struct OnceCounts {
    uint32_t tokens;     /* rows of own tokens */
    uint32_t held;       /* rows of held and recovered records */
    size_t answer_bytes; /* total length of the kept answers */
} OnceCounts;

OnceCounts Once_GetCounts(const Once *once);

#endif
