/*
 * NAME
 *     buf - growable byte buffer
 */
#ifndef COLTSFOOT_BUF_H
#define COLTSFOOT_BUF_H

#include <stddef.h>

typedef struct Buf {
    char *data;
    size_t len;
    size_t capacity;
} Buf;

#define BUF_INIT                                                              \
    {                                                                         \
        NULL, 0, 0                                                            \
    }

/* Appends len bytes. Aborts the process when memory is exhausted, since a
 * truncated message must never be sent or stored. */
void Buf_Append(Buf *buf, const void *data, size_t len);

/* Grows the memory to exactly capacity bytes unless it has as many. */
void Buf_Reserve(Buf *buf, size_t capacity);

/* Frees the memory beyond the content. */
void Buf_Trim(Buf *buf);

/* Appends printf-style formatted text without its terminator. */
#if defined(__GNUC__)
__attribute__((format(printf, 2, 3)))
#endif
void
Buf_Printf(Buf *buf, const char *format, ...);

/* Appends text, percent-encoded as a URL component. */
void Buf_AppendEscaped(Buf *out, const char *text);

/* Removes the first len bytes, or all when the buffer holds fewer. */
void Buf_Consume(Buf *buf, size_t len);

/* Returns the content as a terminated string, which is valid until the buffer
 * changes. */
const char *Buf_Text(Buf *buf);

void Buf_Clear(Buf *buf);
void Buf_Free(Buf *buf);

/* Write callback for msgpack_packer_init; data is a Buf. Returns 0. */
int Buf_MsgpackWrite(void *data, const char *bytes, size_t len);

#endif
