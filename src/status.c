#include "status.h"

#include <stdarg.h>
#include <stdio.h>

const char *
Err_Name(Status status)
{
    switch (status) {
    case ST_OK:
        return "ok";
    case ST_INVALID:
        return "invalid";
    case ST_NOT_FOUND:
        return "not found";
    case ST_EXISTS:
        return "exists";
    case ST_CONFLICT:
        return "conflict";
    case ST_FULL:
        return "full";
    case ST_STALE:
        return "stale";
    case ST_CORRUPT:
        return "corrupt";
    case ST_IO:
        return "input/output error";
    case ST_AGAIN:
        return "try again";
    case ST_NOT_LEADER:
        return "not leader";
    case ST_UNSUPPORTED:
        return "unsupported";
    case ST_NO_MEMORY:
        return "out of memory";
    }
    return "unknown";
}

Status
Err_Set(ErrCtx *err, Status status, const char *format, ...)
{
    va_list args;

    if (err == NULL) {
        return status;
    }
    err->status = status;
    va_start(args, format);
    vsnprintf(err->message, sizeof(err->message), format, args);
    va_end(args);
    return status;
}
