#include "jobctl_internal.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define MAX_ANSWER_BYTES (4 * 1024 * 1024)
/* Starts and stops are idempotent and retried, so these calls time out
 * early. */
#define RUN_CALL_TIMEOUT_MS 100
#define RUN_CALL_MAX_TIMEOUT_MS 1000
#define HOLD_MARGIN_MS 150
#define HOLD_MAX_MARGIN_MS 1000
#define VM_CALL_TIMEOUT_MS 2000

/* A call in flight to a target or to the VM service. */
typedef struct Call {
    JobControl *control;
    JobAction action;
    JobCallFn on_answer;
    size_t peer;   /* leader that delegated the call, or JOB_AGENT_NONE */
    uint64_t term; /* term of that leader, or 0 */
    JobVmCall vm_call;
    JobHttpCall http;
} Call;

static void
free_call(Call *call)
{
    Buf_Free(&call->http.query);
    Buf_Free(&call->http.body);
    free(call);
}

static int
get_http_status(const HttpCallResult *result)
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
                               .query = Buf_Text(&call->http.query),
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
    return HttpClient_StartCall(call->control->client, &options, fn, call) !=
           NULL;
}

static void
log_unanswered(const JobAction *action, int http_status, int transport_status)
{
    Slog_Begin(SLOG_FAILURE, "call_unanswered");
    Slog_AddInt("kind", action->kind);
    Slog_AddText("target", action->id);
    Slog_AddText("job", action->task.job);
    Slog_AddInt("after_ms", Loop_NowMs() - action->sent_ms);
    Slog_AddInt("http", http_status);
    Slog_AddInt("transport", transport_status);
    Slog_End();
}

static void
on_target_answer(void *arg, const HttpCallResult *result)
{
    Call *call = arg;
    JobControl *control = call->control;
    JobWireAnswer answer;

    control->wire->decode_target_answer(&call->action, get_http_status(result),
                                        result->body, result->body_len,
                                        &answer);
    if (answer.answer.outcome == JOB_CALL_NO_ANSWER) {
        log_unanswered(&call->action, result->http_status,
                       (int)result->status);
    }
    call->on_answer(control, &call->action, &answer.answer, call->peer,
                    call->term);
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
                      int64_t timeout_ms, JobCallFn on_answer, size_t peer,
                      uint64_t term)
{
    Call *call = new_call(control);
    SettingsAddress address;

    call->action = *action;
    call->on_answer = on_answer;
    call->peer = peer;
    call->term = term;
    control->wire->encode_target_call(action, &call->http);
    call->action.text = NULL;
    call->action.checkpoint = NULL;
    if (!Settings_ParseAddress(action->address, &address) ||
        !start_call(call, &address, timeout_ms, on_target_answer)) {
        JobCallAnswer answer = {.outcome = JOB_CALL_NO_ANSWER, .clock_ms = -1};
        on_answer(control, &call->action, &answer, peer, term);
        free_call(call);
    }
}

void
JobControl_HandleAnswer(JobControl *control, const JobAction *action,
                        const JobCallAnswer *answer, size_t peer,
                        uint64_t term)
{
    (void)peer;
    (void)term;
    JobSched_HandleAnswer(control->sched, Loop_NowMs(), action, answer);
    control->placement_due = true;
}

static void
call_target(JobControl *control, const JobAction *action)
{
    int64_t timeout_ms =
        action->kind == JOB_ACTION_HOLD
            ? action->wait_ms + LoopLag_ExtendTimeout(&control->tick_lag,
                                                      HOLD_MARGIN_MS,
                                                      HOLD_MAX_MARGIN_MS)
            : LoopLag_ExtendTimeout(&control->tick_lag, RUN_CALL_TIMEOUT_MS,
                                    RUN_CALL_MAX_TIMEOUT_MS);

    if (!JobControl_DelegateCall(control, action, timeout_ms)) {
        JobControl_CallTarget(control, action, timeout_ms,
                              JobControl_HandleAnswer, JOB_AGENT_NONE, 0);
    }
}

static void
on_vm_answer(void *arg, const HttpCallResult *result)
{
    Call *call = arg;
    JobControl *control = call->control;
    JobVmAnswer answer;

    control->wire->decode_vm_answer(&call->vm_call, get_http_status(result),
                                    result->body, result->body_len, &answer);
    if (call->vm_call.kind == JOB_VM_LIST &&
        result->status == HTTP_CALL_TOO_LARGE) {
        answer.outcome = JOB_VM_AGAIN;
        answer.why = "a page larger than the limit of answers";
    }
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
    control->wire->encode_vm_call(vm_call, &call->http);
    if (!start_call(call, &control->settings->vm_service, VM_CALL_TIMEOUT_MS,
                    on_vm_answer)) {
        JobVmAnswer answer = {.outcome = JOB_VM_NO_ANSWER};
        JobFleet_HandleAnswer(control->fleet, Loop_NowMs(), vm_call, &answer);
        free_call(call);
    }
}

/* A pending proposal of the scheduler. */
typedef struct SchedProposal {
    JobControl *control;
    uint64_t cookie;
} SchedProposal;

static void
on_sched_proposed(void *arg, Status status, JobResult result)
{
    SchedProposal *proposal = arg;

    (void)result;
    JobSched_HandleProposal(proposal->control->sched, Loop_NowMs(),
                            proposal->cookie, status);
    free(proposal);
}

static void
propose_action(JobControl *control, JobAction *action)
{
    SchedProposal *proposal = Mem_New(1, sizeof(*proposal));

    *proposal = (SchedProposal){control, action->cookie};
    JobControl_Propose(control, &action->command, on_sched_proposed, proposal);
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
JobControl_ExecuteActions(JobControl *control)
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
