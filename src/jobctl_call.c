#include "jobctl_internal.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define MAX_ANSWER_BYTES (4 * 1024 * 1024)
/* An order has the same effect when it is repeated, so one without an answer
 * is given up early. */
#define ORDER_MS 100
#define ORDER_MOST_MS 1000
#define HOLD_EXTRA_MS 150
#define HOLD_EXTRA_MOST_MS 1000
#define VM_CALL_MS 2000

/* A call to a target or to the VM service in progress. */
typedef struct Call {
    JobControl *control;
    JobAction action;
    JobCallFn done;
    size_t peer; /* that passed the call on, and its term */
    uint64_t term;
    JobVmCall vm_call;
    JobHttpCall http;
} Call;

static void
free_call(Call *call)
{
    Buf_Free(&call->http.body);
    free(call);
}

static int
status_of(const HttpCallResult *result)
{
    return result->status == HTTP_CALL_ANSWERED ? result->http_status : 0;
}

static bool
start_call(Call *call, const SettingsAddress *address, int64_t timeout_ms,
           HttpCallFn fn)
{
    HttpCallOptions options = {.method = call->http.method,
                               .address = *address,
                               .path = call->http.path,
                               .timeout_ms = timeout_ms,
                               .max_answer_bytes = MAX_ANSWER_BYTES};
    size_t i;

    for (i = 0; i < call->http.header_count; i++) {
        options.headers[i].name = call->http.header_names[i];
        options.headers[i].value = call->http.header_values[i];
    }
    options.header_count = call->http.header_count;
    options.body = call->http.body.data;
    options.body_len = call->http.body.len;
    return HttpClient_Start(call->control->client, &options, fn, call) != NULL;
}

static void
log_unanswered(const JobAction *action, int http, int transport)
{
    Slog_Begin(SLOG_FAILURE, "call_unanswered");
    Slog_Int("kind", action->kind);
    Slog_Text("target", action->id);
    Slog_Text("job", action->task.job);
    Slog_Int("after_ms", Loop_NowMs() - action->sent_ms);
    Slog_Int("http", http);
    Slog_Int("transport", transport);
    Slog_End();
}

static void
on_target_answer(void *arg, const HttpCallResult *result)
{
    Call *call = arg;
    JobControl *control = call->control;
    JobWireAnswer answer;

    control->wire->read_call(&call->action, status_of(result), result->body,
                             result->body_len, &answer);
    if (answer.answer.outcome == JOB_CALL_NO_ANSWER) {
        log_unanswered(&call->action, result->http_status,
                       (int)result->status);
    }
    call->done(control, &call->action, &answer.answer, call->peer, call->term);
    JobWireAnswer_Free(&answer);
    free_call(call);
}

static Call *
new_call(JobControl *control)
{
    Call *call = Mem_New(1, sizeof(*call));

    call->control = control;
    return call;
}

void
JobControl_CallTarget(JobControl *control, const JobAction *action,
                      int64_t timeout_ms, JobCallFn done, size_t peer,
                      uint64_t term)
{
    Call *call = new_call(control);
    SettingsAddress address;

    call->action = *action;
    call->done = done;
    call->peer = peer;
    call->term = term;
    control->wire->write_call(action, &call->http);
    call->action.text = NULL;
    call->action.checkpoint = NULL;
    if (!Settings_ParseAddress(action->address, &address) ||
        !start_call(call, &address, timeout_ms, on_target_answer)) {
        JobCallAnswer answer = {.outcome = JOB_CALL_NO_ANSWER, .clock_ms = -1};
        done(control, &call->action, &answer, peer, term);
        free_call(call);
    }
}

void
JobControl_Answered(JobControl *control, const JobAction *action,
                    const JobCallAnswer *answer, size_t peer, uint64_t term)
{
    (void)peer;
    (void)term;
    JobSched_HandleAnswer(control->sched, Loop_NowMs(), action, answer);
    control->place_due = true;
}

static void
call_target(JobControl *control, const JobAction *action)
{
    int64_t timeout_ms =
        action->kind == JOB_ACTION_HOLD
            ? action->wait_ms + LoopLag_Stretch(&control->lag, HOLD_EXTRA_MS,
                                                HOLD_EXTRA_MOST_MS)
            : LoopLag_Stretch(&control->lag, ORDER_MS, ORDER_MOST_MS);

    if (!JobControl_Delegate(control, action, timeout_ms)) {
        JobControl_CallTarget(control, action, timeout_ms, JobControl_Answered,
                              JOB_AGENT_NONE, 0);
    }
}

static void
on_vm_answer(void *arg, const HttpCallResult *result)
{
    Call *call = arg;
    JobControl *control = call->control;
    JobVmAnswer answer;

    control->wire->read_vm_call(&call->vm_call, status_of(result),
                                result->body, result->body_len, &answer);
    JobFleet_HandleAnswer(control->fleet, Loop_NowMs(), &call->vm_call,
                          &answer);
    JobVmAnswer_Free(&answer);
    free_call(call);
}

static void
call_vm_service(JobControl *control, const JobVmCall *vm_call)
{
    Call *call = new_call(control);

    call->vm_call = *vm_call;
    control->wire->write_vm_call(vm_call, &call->http);
    if (!start_call(call, &control->settings->vm_service, VM_CALL_MS,
                    on_vm_answer)) {
        JobVmAnswer answer = {.outcome = JOB_VM_NO_ANSWER};
        JobFleet_HandleAnswer(control->fleet, Loop_NowMs(), vm_call, &answer);
        free_call(call);
    }
}

/* A proposal of the scheduler on its way through the log. */
typedef struct SchedWaiter {
    JobControl *control;
    uint64_t cookie;
} SchedWaiter;

static void
on_sched_proposed(void *arg, Status status, JobResult result)
{
    SchedWaiter *waiter = arg;

    (void)result;
    JobSched_HandleProposal(waiter->control->sched, Loop_NowMs(),
                            waiter->cookie, status);
    free(waiter);
}

static void
propose_action(JobControl *control, JobAction *action)
{
    SchedWaiter *waiter = Mem_New(1, sizeof(*waiter));

    *waiter = (SchedWaiter){control, action->cookie};
    JobControl_Propose(control, &action->command, on_sched_proposed, waiter);
    Buf_Free(&action->command);
}

static void
ignore_result(void *arg, Status status, JobResult result)
{
    (void)arg;
    (void)status;
    (void)result;
}

void
JobControl_TakeActions(JobControl *control)
{
    JobAction action;
    JobVmCall call;
    Buf command = BUF_INIT;

    while (JobSched_TakeAction(control->sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            propose_action(control, &action);
        }
        else {
            call_target(control, &action);
        }
    }
    while (JobFleet_TakeCall(control->fleet, &call)) {
        call_vm_service(control, &call);
    }
    while (JobFleet_TakeCommand(control->fleet, &command)) {
        JobControl_Propose(control, &command, ignore_result, NULL);
        Buf_Clear(&command);
    }
    Buf_Free(&command);
}
