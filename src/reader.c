#include "reader.h"

#include <string.h>

void
Reader_Init(Reader *reader, const char *bytes, size_t len)
{
    reader->at = (const unsigned char *)bytes;
    reader->end = reader->at + len;
    reader->failed = false;
}

void
Reader_Fail(Reader *reader)
{
    reader->failed = true;
    reader->at = reader->end;
}

/* Returns the next count bytes, or NULL. */
static const unsigned char *
take(Reader *reader, size_t count)
{
    const unsigned char *at = reader->at;

    if (reader->failed || (size_t)(reader->end - at) < count) {
        Reader_Fail(reader);
        return NULL;
    }
    reader->at += count;
    return at;
}

static uint64_t
big_endian(Reader *reader, size_t count)
{
    const unsigned char *at = take(reader, count);
    uint64_t value = 0;
    size_t i;

    for (i = 0; at != NULL && i < count; i++) {
        value = value << 8 | at[i];
    }
    return value;
}

/* Returns the next type byte; 0xc1, which msgpack never uses, at the end. */
static unsigned
type_byte(Reader *reader)
{
    const unsigned char *at = take(reader, 1);

    return at == NULL ? 0xc1U : *at;
}

size_t
Reader_Array(Reader *reader, size_t max)
{
    unsigned type = type_byte(reader);
    uint64_t count = 0;

    if (type >= 0x90 && type <= 0x9f) {
        count = type & 0x0fU;
    }
    else if (type == 0xdc) {
        count = big_endian(reader, 2);
    }
    else if (type == 0xdd) {
        count = big_endian(reader, 4);
    }
    else {
        Reader_Fail(reader);
    }
    if (count > max) {
        Reader_Fail(reader);
    }
    return reader->failed ? 0 : (size_t)count;
}

void
Reader_ArrayOf(Reader *reader, size_t count)
{
    if (Reader_Array(reader, count) != count) {
        Reader_Fail(reader);
    }
}

uint64_t
Reader_Unsigned(Reader *reader)
{
    unsigned type = type_byte(reader);

    if (type <= 0x7f) {
        return type;
    }
    if (type >= 0xcc && type <= 0xcf) {
        return big_endian(reader, (size_t)1 << (type - 0xcc));
    }
    Reader_Fail(reader);
    return 0;
}

bool
Reader_Bool(Reader *reader)
{
    unsigned type = type_byte(reader);

    if (type != 0xc2 && type != 0xc3) {
        Reader_Fail(reader);
    }
    return type == 0xc3;
}

const char *
Reader_Bin(Reader *reader, size_t max, size_t *len)
{
    unsigned type = type_byte(reader);
    const unsigned char *at;
    uint64_t size = 0;

    if (type >= 0xc4 && type <= 0xc6) {
        size = big_endian(reader, (size_t)1 << (type - 0xc4));
    }
    else {
        Reader_Fail(reader);
    }
    if (size > max) {
        Reader_Fail(reader);
    }
    at = take(reader, (size_t)size);
    *len = at == NULL ? 0 : (size_t)size;
    return (const char *)at;
}

void
Reader_Name(Reader *reader, char *text, size_t size)
{
    unsigned type = type_byte(reader);
    const unsigned char *at;
    uint64_t len = 0;

    text[0] = '\0';
    if (type >= 0xa0 && type <= 0xbf) {
        len = type & 0x1fU;
    }
    else if (type >= 0xd9 && type <= 0xdb) {
        len = big_endian(reader, (size_t)1 << (type - 0xd9));
    }
    else {
        Reader_Fail(reader);
    }
    if (len == 0 || len >= size) {
        Reader_Fail(reader);
        return;
    }
    at = take(reader, (size_t)len);
    if (at == NULL || memchr(at, 0, (size_t)len) != NULL) {
        Reader_Fail(reader);
        return;
    }
    memcpy(text, at, (size_t)len);
    text[len] = '\0';
}

bool
Reader_Done(const Reader *reader)
{
    return !reader->failed && reader->at == reader->end;
}
