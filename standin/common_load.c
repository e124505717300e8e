#include "common_load.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common.h"
#include "rng.h"

/* Time after the deadline of a request during which a call still waits for
 * the answer. */
#define ANSWER_GRACE_MS 5000
#define RESEND_DELAY_US 50000

typedef enum CallKind { CALL_TOKEN, CALL_REQUEST, CALL_CANCEL } CallKind;

/* One logical request, for which several HTTP calls may be made. */
typedef struct Request {
    size_t record_index;
    int64_t start_us;  /* arrival time */
    int64_t cancel_us; /* time of the cancellation; 0: none pending */
    int64_t resend_us; /* time of the next resend; 0: none pending */
    int address_index;
    int resends;
    int open_calls;
    const char *service;
    char token[LOAD_TOKEN_BYTES];
    char id[LOAD_ID_BYTES];
    bool send_twice; /* sent to two addresses at once */
    Buf body;
    struct Request *next;
    struct Request **prev_next; /* next member or head that points here */
} Request;

/* One HTTP call. */
typedef struct Call {
    CallKind kind;
    Request *request;
    CURL *curl;
    struct curl_slist *headers;
    Buf answer;
    char outcome[LOAD_OUTCOME_BYTES];
    char id[LOAD_ID_BYTES];
} Call;

static Request *open_requests;

static uint32_t
draw_below(Load *load, uint32_t bound)
{
    Rng rng = {load->random_state};
    uint32_t value = Rng_Below(&rng, bound);

    load->random_state = rng.state;
    return value;
}

static double
draw_unit(Load *load)
{
    Rng rng = {load->random_state};
    double value = Rng_Unit(&rng);

    load->random_state = rng.state;
    return value;
}

void
Load_FormatId(const Load *load, const LoadRecord *record, char *id)
{
    snprintf(id, LOAD_ID_BYTES, "%016" PRIx64 "-%" PRIu64, load->run_id,
             record->sequence);
}

static void
copy_header_value(char *out, size_t size, const char *line, size_t len)
{
    while (len > 0 && (*line == ' ' || *line == ':')) {
        line++;
        len--;
    }
    while (len > 0 && (line[len - 1] == '\r' || line[len - 1] == '\n')) {
        len--;
    }
    snprintf(out, size, "%.*s", (int)len, line);
}

static size_t
read_header(char *line, size_t size, size_t count, void *arg)
{
    static const char outcome[] = "coltsfoot-outcome:";
    static const char id[] = "coltsfoot-request-id:";
    size_t len = size * count;
    Call *call = arg;

    if (len >= sizeof(outcome) - 1 &&
        strncasecmp(line, outcome, sizeof(outcome) - 1) == 0) {
        copy_header_value(call->outcome, sizeof(call->outcome),
                          line + sizeof(outcome) - 1,
                          len - sizeof(outcome) + 1);
    }
    else if (len >= sizeof(id) - 1 &&
             strncasecmp(line, id, sizeof(id) - 1) == 0) {
        copy_header_value(call->id, sizeof(call->id), line + sizeof(id) - 1,
                          len - sizeof(id) + 1);
    }
    return len;
}

static void
add_header(Call *call, const char *name, const char *value)
{
    Buf line = BUF_INIT;

    Buf_Printf(&line, "%s: %s", name, value);
    call->headers = curl_slist_append(call->headers, Buf_Text(&line));
    Buf_Free(&line);
}

static Call *
new_call(Load *load, Request *request, CallKind kind, int address_index,
         const char *path)
{
    const SettingsAddress *server = &load->options.addresses[address_index];
    Call *call = calloc(1, sizeof(*call));
    Buf url = BUF_INIT;

    if (call == NULL) {
        abort();
    }
    call->kind = kind;
    call->request = request;
    call->curl = curl_easy_init();
    Buf_Printf(&url, "http://%s:%d%s", server->host, server->port, path);
    curl_easy_setopt(call->curl, CURLOPT_URL, Buf_Text(&url));
    Buf_Free(&url);
    curl_easy_setopt(call->curl, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(call->curl, CURLOPT_TIMEOUT_MS,
                     (long)load->options.deadline_ms + ANSWER_GRACE_MS);
    curl_easy_setopt(call->curl, CURLOPT_WRITEFUNCTION, Common_WriteBuf);
    curl_easy_setopt(call->curl, CURLOPT_WRITEDATA, &call->answer);
    curl_easy_setopt(call->curl, CURLOPT_HEADERFUNCTION, read_header);
    curl_easy_setopt(call->curl, CURLOPT_HEADERDATA, call);
    call->headers = curl_slist_append(NULL, "Expect:");
    request->open_calls++;
    load->in_flight++;
    return call;
}

static void
start_call(Load *load, Call *call)
{
    curl_easy_setopt(call->curl, CURLOPT_HTTPHEADER, call->headers);
    curl_multi_add_handle(load->multi, call->curl);
}

static void
send_token_request(Load *load, Request *request)
{
    Call *call = new_call(load, request, CALL_TOKEN, request->address_index,
                          "/v1/tokens?count=1");

    curl_easy_setopt(call->curl, CURLOPT_POSTFIELDS, "");
    start_call(load, call);
}

static void
send_request(Load *load, Request *request, int address_index)
{
    const LoadOptions *options = &load->options;
    char text[LOAD_TOKEN_BYTES];
    Call *call;

    snprintf(text, sizeof(text), "/v1/services/%s/requests", request->service);
    call = new_call(load, request, CALL_REQUEST, address_index,
                    options->direct ? "/run" : text);
    if (options->direct) {
        add_header(call, "Coltsfoot-Service", request->service);
        add_header(call, "Coltsfoot-Attempt", "1");
    }
    add_header(call, "Coltsfoot-Caller", options->caller);
    add_header(call, "Coltsfoot-Request-Id", request->id);
    snprintf(text, sizeof(text), "%d", options->deadline_ms);
    add_header(call, "Coltsfoot-Deadline-Ms", text);
    if (options->team != NULL) {
        add_header(call, "Coltsfoot-Team", options->team);
    }
    if (options->class != NULL) {
        add_header(call, "Coltsfoot-Class", options->class);
    }
    if (load->records[request->record_index].unrepeatable) {
        add_header(call, "Coltsfoot-Unrepeatable", "1");
        add_header(call, "Coltsfoot-Token", request->token);
    }
    add_header(call, "Content-Type", "application/octet-stream");
    curl_easy_setopt(call->curl, CURLOPT_POSTFIELDS, request->body.data);
    curl_easy_setopt(call->curl, CURLOPT_POSTFIELDSIZE,
                     (long)request->body.len);
    start_call(load, call);
}

static void
send_cancel(Load *load, Request *request)
{
    char path[LOAD_TOKEN_BYTES];
    Call *call;

    snprintf(path, sizeof(path), "/v1/requests/%s/%s", load->options.caller,
             request->id);
    call = new_call(load, request, CALL_CANCEL, request->address_index, path);
    curl_easy_setopt(call->curl, CURLOPT_CUSTOMREQUEST, "DELETE");
    start_call(load, call);
}

static void
fill_body(Load *load, Buf *body)
{
    static const char letters[] = "abcdefghijklmnopqrstuvwxyz0123456789 .;:/";
    int i;

    if (load->options.run_us >= 0) {
        Buf_Printf(body, "run_us=%d;", load->options.run_us);
    }
    for (i = 0; i < load->options.body_bytes; i++) {
        Buf_Append(body, &letters[draw_below(load, sizeof(letters) - 1)], 1);
    }
}

static LoadRecord *
add_record(Load *load)
{
    LoadRecord *record;

    if (load->record_count == load->record_capacity) {
        load->record_capacity = 2 * load->record_capacity + 1024;
        load->records =
            realloc(load->records, load->record_capacity * sizeof(LoadRecord));
        if (load->records == NULL) {
            abort();
        }
    }
    record = &load->records[load->record_count];
    memset(record, 0, sizeof(*record));
    record->sequence = load->record_count++;
    record->latency_us = -1;
    return record;
}

static void
start_request(Load *load, int64_t start_us)
{
    const LoadOptions *options = &load->options;
    LoadRecord *record = add_record(load);
    Request *request = calloc(1, sizeof(*request));

    if (request == NULL) {
        abort();
    }
    request->record_index = load->record_count - 1;
    request->start_us = start_us;
    request->address_index = load->next_address_index;
    load->next_address_index =
        (load->next_address_index + 1) % options->address_count;
    request->service =
        options->services[draw_below(load, (uint32_t)options->service_count)];
    record->unrepeatable =
        draw_below(load, 100) < (uint32_t)options->unrepeatable_percent;
    request->send_twice =
        record->unrepeatable &&
        draw_below(load, 100) < (uint32_t)options->twice_percent;
    if (draw_below(load, 100) < (uint32_t)options->cancel_percent) {
        request->cancel_us = start_us + 1 + draw_below(load, 20000);
    }
    Load_FormatId(load, record, request->id);
    fill_body(load, &request->body);
    request->next = open_requests;
    request->prev_next = &open_requests;
    if (open_requests != NULL) {
        open_requests->prev_next = &request->next;
    }
    open_requests = request;
    load->counts.sent++;
    if (record->unrepeatable) {
        send_token_request(load, request);
    }
    else {
        send_request(load, request, request->address_index);
    }
}

static void
report_wrong_answer(Load *load, const char *id, const char *reason)
{
    load->counts.wrong++;
    fprintf(stderr, "standin-caller: %s: %s\n", id, reason);
}

static void
handle_failed_call(Load *load, Request *request)
{
    load->records[request->record_index].call_failed = true;
    if (request->resends < load->options.max_resends) {
        request->resends++;
        load->counts.resent++;
        request->address_index =
            (request->address_index + 1) % load->options.address_count;
        request->resend_us = Common_NowUs() + RESEND_DELAY_US;
    }
}

static void
finish_token(Load *load, Call *call, long status)
{
    Request *request = call->request;
    json_t *json =
        json_loadb(call->answer.data, call->answer.len, JSON_DECODE_ANY, NULL);
    const char *token = json_string_value(json_array_get(json, 0));

    if (status == 200 && token != NULL) {
        snprintf(request->token, sizeof(request->token), "%s", token);
        send_request(load, request, request->address_index);
        if (request->send_twice && load->options.address_count > 1) {
            send_request(load, request,
                         (request->address_index + 1) %
                             load->options.address_count);
        }
    }
    else if (status == 200) {
        report_wrong_answer(load, request->id,
                            "the token list is not a list of strings");
    }
    else {
        handle_failed_call(load, request);
    }
    json_decref(json);
}

static void
check_answer_body(Load *load, const Call *call)
{
    const Request *request = call->request;
    Buf expected = BUF_INIT;

    Common_AppendAnswer(&expected, request->service, load->options.caller,
                        request->id, request->body.data, request->body.len);
    if (expected.len != call->answer.len ||
        memcmp(expected.data, call->answer.data, expected.len) != 0) {
        report_wrong_answer(load, request->id,
                            "the answer is not that of its request");
    }
    Buf_Free(&expected);
}

/* Returns whether an answer with the status may carry the outcome. */
static bool
is_outcome_allowed(long status, const char *outcome)
{
    static const struct {
        long status;
        const char *outcome;
    } allowed[] = {{200, "done"},     {400, "not-run"}, {404, "not-run"},
                   {428, "not-run"},  {429, "not-run"}, {503, "not-run"},
                   {410, "unknown"},  {504, "unknown"}, {422, "unable"},
                   {409, "cancelled"}};
    size_t i;

    for (i = 0; i < sizeof(allowed) / sizeof(allowed[0]); i++) {
        if (allowed[i].status == status) {
            return strcmp(allowed[i].outcome, outcome) == 0;
        }
    }
    return false;
}

static void
count_outcome(Load *load, LoadRecord *record, const char *outcome)
{
    LoadCounts *counts = &load->counts;
    bool is_first = !record->answered;

    record->answered = true;
    if (strcmp(outcome, "done") == 0) {
        record->conflict = record->conflict || record->not_run;
        record->done = true;
        counts->done += is_first;
    }
    else if (strcmp(outcome, "not-run") == 0) {
        record->conflict = record->conflict || record->done;
        record->not_run = true;
        counts->not_run += is_first;
    }
    else if (strcmp(outcome, "unable") == 0) {
        counts->unable += is_first;
    }
    else if (strcmp(outcome, "cancelled") == 0) {
        counts->cancelled += is_first;
    }
    else {
        counts->unknown += is_first;
    }
}

static void
finish_request(Load *load, Call *call, long status)
{
    Request *request = call->request;
    LoadRecord *record = &load->records[request->record_index];
    int64_t latency_us = Common_NowUs() - request->start_us;

    if (status == 0) {
        handle_failed_call(load, request);
        return;
    }
    if (strcmp(call->id, request->id) != 0) {
        report_wrong_answer(load, request->id,
                            "the answer carries another request id");
        return;
    }
    if (load->options.direct && status == 200 && call->outcome[0] == '\0') {
        snprintf(call->outcome, sizeof(call->outcome), "done");
    }
    if (!is_outcome_allowed(status, call->outcome)) {
        char text[128];
        snprintf(text, sizeof(text), "status %ld carries outcome '%s'", status,
                 call->outcome);
        report_wrong_answer(load, request->id, text);
        return;
    }
    if (status == 200) {
        check_answer_body(load, call);
        if (latency_us > (int64_t)load->options.deadline_ms * 1000) {
            load->counts.late++;
        }
        if (!record->answered) {
            record->latency_us = latency_us;
        }
    }
    count_outcome(load, record, call->outcome);
}

static void
finish_call(Load *load, Call *call, CURLcode result)
{
    Request *request = call->request;
    long status = 0;

    if (result == CURLE_OK) {
        curl_easy_getinfo(call->curl, CURLINFO_RESPONSE_CODE, &status);
    }
    if (call->kind == CALL_TOKEN) {
        finish_token(load, call, status);
    }
    else if (call->kind == CALL_REQUEST) {
        finish_request(load, call, status);
    }
    request->open_calls--;
    load->in_flight--;
    curl_multi_remove_handle(load->multi, call->curl);
    curl_easy_cleanup(call->curl);
    curl_slist_free_all(call->headers);
    Buf_Free(&call->answer);
    free(call);
}

static void
end_request(Load *load, Request *request)
{
    LoadRecord *record = &load->records[request->record_index];

    if (!record->answered) {
        if (record->unrepeatable && request->token[0] == '\0') {
            /* Without a token the request was never sent, so it did not run.
             */
            load->counts.no_token++;
            load->counts.not_run++;
            record->not_run = true;
        }
        else {
            load->counts.lost++;
        }
    }
    *request->prev_next = request->next;
    if (request->next != NULL) {
        request->next->prev_next = request->prev_next;
    }
    Buf_Free(&request->body);
    free(request);
}

/* Sends due resends and cancellations, and ends each request that has no open
 * call and no pending resend. */
static void
process_requests(Load *load)
{
    int64_t now = Common_NowUs();
    Request *request = open_requests;

    while (request != NULL) {
        Request *next = request->next;
        if (request->resend_us != 0 && now >= request->resend_us) {
            request->resend_us = 0;
            if (load->records[request->record_index].answered) {
                /* Another call of the request was answered in the meantime. */
            }
            else if (load->records[request->record_index].unrepeatable &&
                     request->token[0] == '\0') {
                send_token_request(load, request);
            }
            else {
                send_request(load, request, request->address_index);
            }
        }
        if (request->cancel_us != 0 && now >= request->cancel_us) {
            request->cancel_us = 0;
            if (!load->records[request->record_index].answered) {
                send_cancel(load, request);
            }
        }
        if (request->open_calls == 0 && request->resend_us == 0) {
            end_request(load, request);
        }
        request = next;
    }
}

static void
process_calls(Load *load)
{
    CURLMsg *message;
    int remaining;

    curl_multi_perform(load->multi, &remaining);
    while ((message = curl_multi_info_read(load->multi, &remaining)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            void *call;
            CURLcode result = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
            finish_call(load, call, result);
        }
    }
}

void
Load_Run(Load *load)
{
    const LoadOptions *options = &load->options;
    uint64_t seed = options->seed != 0 ? options->seed : Rng_SystemSeed();
    Rng rng = {seed};
    int64_t begin_us = Common_NowUs();
    int64_t next = begin_us;
    int64_t end_us = begin_us + (int64_t)(options->seconds * 1e6);
    bool sending = true;

    load->run_id = Rng_Next(&rng);
    load->random_state = rng.state;
    load->multi = curl_multi_init();
    while (sending || open_requests != NULL) {
        int64_t now = Common_NowUs();
        int64_t wait_ms;
        while (sending && next <= now) {
            start_request(load, next);
            /* Intervals are uniform between 0 and twice the mean. */
            next += (int64_t)(2e6 / options->rate * draw_unit(load));
            sending = options->requests > 0
                          ? load->counts.sent < options->requests
                          : next < end_us;
        }
        process_calls(load);
        process_requests(load);
        wait_ms = sending ? (next - Common_NowUs()) / 1000 : 10;
        curl_multi_poll(load->multi, NULL, 0,
                        (int)(wait_ms < 0    ? 0
                              : wait_ms > 10 ? 10
                                             : wait_ms),
                        NULL);
    }
    curl_multi_cleanup(load->multi);
}

void
Load_Free(Load *load)
{
    free(load->records);
    load->records = NULL;
    load->record_count = 0;
}
