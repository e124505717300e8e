/*
 * NAME
 *     status - status codes and the last error message
 *
 * DESCRIPTION
 *     Every call that can fail returns a Status. Calls that take an ErrCtx
 *     also store one message for people in it; a later failure replaces it.
 *     ErrCtx may be NULL where the caller needs only the code.
 */
#ifndef COLTSFOOT_STATUS_H
#define COLTSFOOT_STATUS_H

#define ERR_MESSAGE_BYTES 512

typedef enum Status {
    ST_OK = 0,
    ST_INVALID,     /* the input breaks a rule */
    ST_NOT_FOUND,   /* no such name, path or file */
    ST_EXISTS,      /* the name is taken */
    ST_CONFLICT,    /* a newer version touches the same paths */
    ST_FULL,        /* a bound is reached */
    ST_STALE,       /* an old handle, term, epoch or incarnation */
    ST_CORRUPT,     /* stored or received bytes fail their checks */
    ST_IO,          /* the operating system refused */
    ST_AGAIN,       /* not now; a later call may succeed */
    ST_NOT_LEADER,  /* another node has to be asked */
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
