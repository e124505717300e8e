/*
 * NAME
 *     status - status codes and error messages
 *
 * DESCRIPTION
 *     Functions that can fail return a Status. Functions that take an ErrCtx
 *     also store a human-readable message in it, which the next failure
 *     replaces. The ErrCtx may be NULL when the caller needs only the code.
 */
#ifndef COLTSFOOT_STATUS_H
#define COLTSFOOT_STATUS_H

#define ERR_MESSAGE_BYTES 512

typedef enum Status {
    ST_OK = 0,
    ST_INVALID,     /* the input violates a rule */
    ST_NOT_FOUND,   /* no such name, path or file */
    ST_EXISTS,      /* the name is taken */
    ST_CONFLICT,    /* a newer version changed the same paths */
    ST_FULL,        /* a limit is reached */
    ST_STALE,       /* an outdated handle, term, epoch or incarnation */
    ST_CORRUPT,     /* stored or received bytes fail validation */
    ST_IO,          /* a system call failed */
    ST_AGAIN,       /* temporary failure; a later call may succeed */
    ST_NOT_LEADER,  /* only the leader can serve the call */
    ST_UNSUPPORTED, /* unknown type or version */
    ST_NO_MEMORY
} Status;

typedef struct ErrCtx {
    Status status;
    char message[ERR_MESSAGE_BYTES];
} ErrCtx;

/* Returns the fixed English name of a status. */
const char *Err_Name(Status status);

/* Stores status and a printf-style message, and returns status. */
#if defined(__GNUC__)
__attribute__((format(printf, 3, 4)))
#endif
Status
Err_Set(ErrCtx *err, Status status, const char *format, ...);

#endif
