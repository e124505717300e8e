#include "cli_http.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define CONNECT_TIMEOUT_MS 2000
/* A hung process may accept connections but never answer. The next address is
 * tried after this timeout. */
#define ATTEMPT_TIMEOUT_MS 5000
#define RESEND_PAUSE_MS 200
#define ANSWER_MAX_BYTES ((size_t)64 * 1024 * 1024)

static int64_t
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static size_t
append_body(char *bytes, size_t size, size_t count, void *arg)
{
    Buf *body = arg;

    if (body->len + size * count > ANSWER_MAX_BYTES) {
        return 0;
    }
    Buf_Append(body, bytes, size * count);
    return size * count;
}

static bool
is_connect_failure(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
}

static void
send_once(CURL *curl, const CliRequest *request,
          const SettingsAddress *address, int64_t timeout_ms,
          CliAnswer *answer)
{
    struct curl_slist *headers = NULL;
    char header[128];
    Buf url = BUF_INIT;
    CURLcode code;

    Buf_Clear(&answer->body);
    answer->status = 0;
    Buf_Printf(&url, "http://%s:%d%s", address->host, address->port,
               request->path);
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, Buf_Text(&url));
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer->body);
    headers = curl_slist_append(headers, "Expect:");
    if (request->body != NULL) {
        snprintf(header, sizeof(header), "Content-Type: %s",
                 request->content_type);
        headers = curl_slist_append(headers, header);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
    }
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    code = curl_easy_perform(curl);
    answer->attempts++;
    if (code == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
    }
    else {
        snprintf(answer->reason, sizeof(answer->reason), "%s:%d: %s",
                 address->host, address->port, curl_easy_strerror(code));
    }
    answer->sent = answer->sent || !is_connect_failure(code);
    curl_slist_free_all(headers);
    Buf_Free(&url);
}

/* Returns whether to send the request again: always without an answer, and for
 * a change also after a 5xx status. 503 means that no leader accepted the
 * change, 504 that its result is unknown. */
static bool
should_resend(const CliRequest *request, const CliAnswer *answer)
{
    if (answer->status == 0) {
        return true;
    }
    return request->resend && answer->status >= 500;
}

void
Cli_SendRequest(const CliRequest *request, CliAnswer *answer)
{
    int64_t deadline_ms = now_ms() + request->timeout_ms;
    CURL *curl = curl_easy_init();
    int i = 0;

    memset(answer, 0, sizeof(*answer));
    if (curl == NULL) {
        snprintf(answer->reason, sizeof(answer->reason), "out of memory");
        return;
    }
    for (;;) {
        int64_t remaining_ms = deadline_ms - now_ms();
        struct timespec pause = {0, RESEND_PAUSE_MS * 1000000L};
        if (remaining_ms <= 0) {
            break;
        }
        send_once(curl, request,
                  &request->addresses[i % request->address_count],
                  remaining_ms < ATTEMPT_TIMEOUT_MS ? remaining_ms
                                                    : ATTEMPT_TIMEOUT_MS,
                  answer);
        i++;
        if (!should_resend(request, answer) ||
            (!request->resend && i >= request->address_count)) {
            break;
        }
        if (i % request->address_count == 0) {
            nanosleep(&pause, NULL);
        }
    }
    curl_easy_cleanup(curl);
}

CliExitStatus
Cli_GetExitStatus(long status)
{
    if (status >= 200 && status < 300) {
        return CLI_OK;
    }
    if (status == 400 || status == 413 || status == 422) {
        return CLI_BAD_INPUT;
    }
    if (status >= 400 && status < 500) {
        return CLI_REFUSED;
    }
    return CLI_UNKNOWN;
}
