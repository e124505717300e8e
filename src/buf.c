#include "buf.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

static void
reserve(Buf *buf, size_t more)
{
    size_t capacity = buf->capacity ? buf->capacity : 64;

    if (buf->len + more <= buf->capacity) {
        return;
    }
    while (capacity < buf->len + more) {
        capacity *= 2;
    }
    buf->data = Mem_Resize(buf->data, capacity);
    buf->capacity = capacity;
}

void
Buf_Reserve(Buf *buf, size_t capacity)
{
    if (capacity > buf->capacity) {
        buf->data = Mem_Resize(buf->data, capacity);
        buf->capacity = capacity;
    }
}

void
Buf_Trim(Buf *buf)
{
    if (buf->len > 0 && buf->len < buf->capacity) {
        buf->data = Mem_Resize(buf->data, buf->len);
        buf->capacity = buf->len;
    }
}

void
Buf_Append(Buf *buf, const void *data, size_t len)
{
    if (len == 0) {
        return;
    }
    reserve(buf, len);
    memcpy(buf->data + buf->len, data, len);
    buf->len += len;
}

void
Buf_Printf(Buf *buf, const char *format, ...)
{
    va_list args;
    va_list args_copy;
    int len;

    va_start(args, format);
    va_copy(args_copy, args);
    len = vsnprintf(NULL, 0, format, args);
    va_end(args);
    if (len > 0) {
        reserve(buf, (size_t)len + 1);
        vsnprintf(buf->data + buf->len, (size_t)len + 1, format, args_copy);
        buf->len += (size_t)len;
    }
    va_end(args_copy);
}

void
Buf_Consume(Buf *buf, size_t len)
{
    if (len >= buf->len) {
        buf->len = 0;
        return;
    }
    memmove(buf->data, buf->data + len, buf->len - len);
    buf->len -= len;
}

const char *
Buf_Text(Buf *buf)
{
    reserve(buf, 1);
    buf->data[buf->len] = '\0';
    return buf->data;
}

void
Buf_Clear(Buf *buf)
{
    buf->len = 0;
}

void
Buf_Free(Buf *buf)
{
    free(buf->data);
    buf->data = NULL;
    buf->len = 0;
    buf->capacity = 0;
}

int
Buf_MsgpackWrite(void *data, const char *bytes, size_t len)
{
    Buf_Append(data, bytes, len);
    return 0;
}

void
Buf_AppendEscaped(Buf *out, const char *text)
{
    const char *at;

    for (at = text; *at != '\0'; at++) {
        bool plain = (*at >= 'a' && *at <= 'z') ||
                     (*at >= 'A' && *at <= 'Z') ||
                     (*at >= '0' && *at <= '9') || strchr("-_.~", *at) != NULL;
        if (plain) {
            Buf_Append(out, at, 1);
        }
        else {
            Buf_Printf(out, "%%%02X", (unsigned)(unsigned char)*at);
        }
    }
}
