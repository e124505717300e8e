#include "mpread.h"

#include <string.h>

void
MpRead_Init(MpRead *reader, const void *bytes, size_t len)
{
    static const unsigned char no_bytes[1] = {0};

    reader->begin = bytes != NULL ? bytes : no_bytes;
    reader->next = reader->begin;
    reader->end = reader->begin + (bytes != NULL ? len : 0);
    reader->failed = false;
}

static bool
fail(MpRead *reader)
{
    reader->failed = true;
    return false;
}

static size_t
get_bytes_left(const MpRead *reader)
{
    return (size_t)(reader->end - reader->next);
}

/* Skips the type byte and reads the big-endian number of width bytes after
 * it. */
static bool
read_number(MpRead *reader, size_t width, uint64_t *value)
{
    size_t i;

    if (get_bytes_left(reader) < 1 + width) {
        return fail(reader);
    }
    *value = 0;
    for (i = 0; i < width; i++) {
        *value = (*value << 8) | reader->next[1 + i];
    }
    reader->next += 1 + width;
    return true;
}

static bool
peek_type(MpRead *reader, unsigned char *type)
{
    if (reader->failed || get_bytes_left(reader) == 0) {
        return fail(reader);
    }
    *type = *reader->next;
    return true;
}

bool
MpRead_Array(MpRead *reader, uint32_t *count)
{
    unsigned char type;
    uint64_t value = 0;
    bool ok;

    *count = 0;
    if (!peek_type(reader, &type)) {
        return false;
    }
    if ((type & 0xf0) == 0x90) {
        value = type & 0x0f;
        reader->next++;
        ok = true;
    }
    else if (type == 0xdc || type == 0xdd) {
        ok = read_number(reader, type == 0xdc ? 2 : 4, &value);
    }
    else {
        ok = false;
    }
    if (!ok || value > get_bytes_left(reader)) {
        return fail(reader);
    }
    *count = (uint32_t)value;
    return true;
}

bool
MpRead_ArrayOf(MpRead *reader, uint32_t expected)
{
    uint32_t count;

    return (MpRead_Array(reader, &count) && count == expected) || fail(reader);
}

bool
MpRead_Str(MpRead *reader, const char **text, size_t *len)
{
    unsigned char type;
    uint64_t value = 0;
    bool ok;

    *text = "";
    *len = 0;
    if (!peek_type(reader, &type)) {
        return false;
    }
    if ((type & 0xe0) == 0xa0) {
        value = type & 0x1f;
        reader->next++;
        ok = true;
    }
    else if (type >= 0xd9 && type <= 0xdb) {
        ok = read_number(reader, (size_t)1 << (type - 0xd9), &value);
    }
    else {
        ok = false;
    }
    if (!ok || value > get_bytes_left(reader)) {
        return fail(reader);
    }
    *text = (const char *)reader->next;
    *len = (size_t)value;
    reader->next += value;
    return true;
}

bool
MpRead_U64(MpRead *reader, uint64_t *value)
{
    unsigned char type;

    *value = 0;
    if (!peek_type(reader, &type)) {
        return false;
    }
    if (type < 0x80) {
        *value = type;
        reader->next++;
        return true;
    }
    if (type >= 0xcc && type <= 0xcf) {
        return read_number(reader, (size_t)1 << (type - 0xcc), value);
    }
    return fail(reader);
}

bool
MpRead_U32(MpRead *reader, uint32_t *value)
{
    uint64_t wide;

    *value = 0;
    if (!MpRead_U64(reader, &wide) || wide > UINT32_MAX) {
        return fail(reader);
    }
    *value = (uint32_t)wide;
    return true;
}

bool
MpRead_I64(MpRead *reader, int64_t *value)
{
    unsigned char type;
    uint64_t raw = 0;

    *value = 0;
    if (!peek_type(reader, &type)) {
        return false;
    }
    if (type >= 0xe0) {
        *value = (int64_t)type - 256;
        reader->next++;
        return true;
    }
    if (type >= 0xd0 && type <= 0xd3) {
        unsigned bits = 8U << (type - 0xd0);
        if (!read_number(reader, bits / 8, &raw)) {
            return false;
        }
        /* Extends the sign without an implementation-defined conversion. */
        if (raw >> (bits - 1)) {
            uint64_t ones = bits == 64 ? 0 : UINT64_MAX << bits;
            *value = -(int64_t)(~(raw | ones)) - 1;
        }
        else {
            *value = (int64_t)raw;
        }
        return true;
    }
    if (!MpRead_U64(reader, &raw) || raw > INT64_MAX) {
        return fail(reader);
    }
    *value = (int64_t)raw;
    return true;
}

bool
MpRead_Bool(MpRead *reader, bool *value)
{
    unsigned char type;

    *value = false;
    if (!peek_type(reader, &type)) {
        return false;
    }
    if (type != 0xc2 && type != 0xc3) {
        return fail(reader);
    }
    *value = type == 0xc3;
    reader->next++;
    return true;
}

bool
MpRead_Bin(MpRead *reader, const char **bytes, size_t *len)
{
    unsigned char type;
    uint64_t value = 0;

    *bytes = NULL;
    *len = 0;
    if (!peek_type(reader, &type)) {
        return false;
    }
    if (type < 0xc4 || type > 0xc6 ||
        !read_number(reader, (size_t)1 << (type - 0xc4), &value) ||
        value > get_bytes_left(reader)) {
        return fail(reader);
    }
    *bytes = (const char *)reader->next;
    *len = (size_t)value;
    reader->next += value;
    return true;
}

bool
MpRead_Text(MpRead *reader, char *out, size_t out_bytes)
{
    const char *text;
    size_t len;

    out[0] = '\0';
    if (!MpRead_Str(reader, &text, &len)) {
        return false;
    }
    if (len >= out_bytes || memchr(text, '\0', len) != NULL) {
        return fail(reader);
    }
    memcpy(out, text, len);
    out[len] = '\0';
    return true;
}

bool
MpRead_Done(const MpRead *reader)
{
    return !reader->failed && reader->next == reader->end;
}

size_t
MpRead_Offset(const MpRead *reader)
{
    return (size_t)(reader->next - reader->begin);
}
