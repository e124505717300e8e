#include "support_job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"

JobResult
JobTest_Apply(JobState *state, Buf *command)
{
    Buf result = BUF_INIT;
    JobResult answer;

    JobState_Apply(state, command->data, command->len, &result);
    answer = (JobResult)result.data[0];
    Buf_Free(&result);
    Buf_Free(command);
    return answer;
}

JobResult
JobTest_Configure(JobState *state, uint64_t version)
{
    return JobTest_ConfigureQueue(state, version, "p", 2);
}

JobResult
JobTest_ConfigureQueue(JobState *state, uint64_t version, const char *pool,
                       uint32_t max_attempts)
{
    JobQueue queue = {.name = "q",
                      .host = "h",
                      .prefix = "/q/",
                      .timeout_ms = 3000,
                      .objective_ms = 600,
                      .max_attempts = max_attempts,
                      .slack = 1.6};
    JobPool pools[2] = {{.name = "p", .enforces_capacity = true},
                        {.name = "idle", .standby = true}};
    char text[] = "text";
    JobConfig config = {version, &queue, pool != NULL, pools, 2,
                        NULL,    0,      text,         4};
    Buf command = BUF_INIT;

    snprintf(queue.pool, sizeof(queue.pool), "%s", pool != NULL ? pool : "");
    JobCmd_EncodeConfig(&command, &config);
    return JobTest_Apply(state, &command);
}

JobResult
JobTest_SetTarget(JobState *state, const char *id, const char *vm,
                  const char *pool, uint64_t born, bool leaving)
{
    JobAnnouncement announcement = {
        .room = {16000, 32000, 0}, .born = born, .leaving = leaving};
    Buf command = BUF_INIT;

    snprintf(announcement.id, sizeof(announcement.id), "%s", id);
    snprintf(announcement.vm, sizeof(announcement.vm), "%s", vm);
    snprintf(announcement.pool, sizeof(announcement.pool), "%s", pool);
    snprintf(announcement.address, sizeof(announcement.address),
             "10.0.0.1:80");
    JobCmd_EncodeTarget(&command, &announcement);
    return JobTest_Apply(state, &command);
}

static JobResult
submit(JobState *state, const char *id, JobSpec *spec)
{
    Buf command = BUF_INIT;

    spec->text = strdup("work");
    spec->text_len = 4;
    JobCmd_EncodeSubmit(&command, id, "q", 1000, spec, "");
    JobSpec_Free(spec);
    return JobTest_Apply(state, &command);
}

JobResult
JobTest_Submit(JobState *state, const char *id, uint32_t steps, uint32_t count,
               uint32_t cpu)
{
    JobSpec spec = {.step_count = steps};
    uint32_t i;

    spec.steps = calloc(steps, sizeof(JobStep));
    for (i = 0; i < steps; i++) {
        spec.steps[i].count = count;
        spec.steps[i].need.cpu = cpu;
        spec.steps[i].need.memory_mb = 100;
        spec.steps[i].estimate_ms = 700;
        spec.steps[i].depends_mask = i > 0 ? (uint32_t)1 << (i - 1) : 0;
    }
    return submit(state, id, &spec);
}

JobResult
JobTest_SubmitLasting(JobState *state, const char *id, uint32_t count,
                      uint32_t max_unavailable)
{
    JobSpec spec = {.step_count = 1};

    spec.steps = calloc(1, sizeof(JobStep));
    spec.steps[0].count = count;
    spec.steps[0].need.cpu = 1000;
    spec.steps[0].lasting = true;
    spec.steps[0].max_unavailable = max_unavailable;
    return submit(state, id, &spec);
}

static JobTaskRef
task_ref(const char *id, uint32_t step, uint32_t index)
{
    JobTaskRef ref = {{0}, 0, step, index};

    snprintf(ref.job, sizeof(ref.job), "%s", id);
    return ref;
}

JobResult
JobTest_Assign(JobState *state, const char *id, uint32_t step, uint32_t index,
               uint32_t attempt, const char *target)
{
    const JobTarget *row = JobState_FindTarget(state, target);
    JobAssignment assignment = {task_ref(id, step, index), attempt, row->row,
                                row->serial};
    Buf command = BUF_INIT;

    JobCmd_EncodeAssign(&command, &assignment, 1);
    return JobTest_Apply(state, &command);
}

JobResult
JobTest_Begin(JobState *state, const char *id)
{
    const Job *job = JobState_FindJob(state, id);
    Buf command = BUF_INIT;

    JobCmd_EncodeBegun(&command, &job, 1);
    return JobTest_Apply(state, &command);
}

JobResult
JobTest_End(JobState *state, const char *id, uint32_t step, uint32_t index,
            uint32_t attempt, const char *target, JobEndKind kind,
            uint64_t number)
{
    const JobTarget *row = JobState_FindTarget(state, target);
    JobEnd end = {task_ref(id, step, index), attempt, kind, number, ""};
    Buf command = BUF_INIT;

    JobCmd_EncodeEnds(&command, row->row, row->serial, 2000, &end, 1);
    return JobTest_Apply(state, &command);
}
