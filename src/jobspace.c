#include "jobspace.h"

JobSpaceVerdict
JobSpace_Check(const JobSpace *space, size_t kept_bytes, size_t bytes)
{
    size_t used = kept_bytes + space->pending_bytes;
    size_t limit = bytes > JOB_SPACE_LARGE_BYTES ? space->max_bytes / 2
                                                 : space->max_bytes;

    if (used > 0 && used + bytes > limit) {
        return JOB_SPACE_FULL;
    }
    if (space->pending_bytes > 0 &&
        space->pending_bytes + bytes > JOB_SPACE_PENDING_BYTES) {
        return JOB_SPACE_PENDING;
    }
    return JOB_SPACE_FREE;
}

void
JobSpace_Begin(JobSpace *space, size_t bytes)
{
    space->pending_bytes += bytes;
}

void
JobSpace_End(JobSpace *space, size_t bytes)
{
    space->pending_bytes -= bytes;
}
