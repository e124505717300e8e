#include "common.h"

#include <time.h>

int64_t
Common_NowUs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
Common_WallClockMs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
Common_AppendAnswer(Buf *out, const char *service, const char *caller,
                    const char *id, const char *body, size_t len)
{
    size_t i;

    Buf_Printf(out, "%s/%s/%s/", service, caller, id);
    for (i = len; i > 0; i--) {
        Buf_Append(out, &body[i - 1], 1);
    }
}

size_t
Common_WriteBuf(char *bytes, size_t size, size_t count, void *data)
{
    Buf_Append(data, bytes, size * count);
    return size * count;
}

long
Common_SendHttp(CURL *curl, const char *method, const char *url,
                const char *body, long timeout_ms, Buf *answer)
{
    struct curl_slist *headers = NULL;
    long status = 0;

    curl_easy_reset(curl);
    headers = curl_slist_append(headers, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Common_WriteBuf);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_slist_free_all(headers);
    return status;
}
