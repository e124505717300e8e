#include "jobwire.h"

#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"

void
JobRequest_Free(JobRequest *request)
{
    JobSpec_Free(&request->spec);
    JobConfig_Free(&request->config);
    free(request->wave.vms);
    memset(request, 0, sizeof(*request));
}

void
JobWireAnswer_Free(JobWireAnswer *answer)
{
    free(answer->running);
    free(answer->ends);
    if (answer->memory != NULL) {
        answer->free_memory(answer->memory);
    }
    memset(answer, 0, sizeof(*answer));
}

void
JobVmAnswer_Free(JobVmAnswer *answer)
{
    free(answer->vms);
    free(answer->next_page);
    memset(answer, 0, sizeof(*answer));
}
