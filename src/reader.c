#include "reader.h"

void
Reader_Init(Reader *reader, const char *bytes, size_t len)
{
    MpRead_Init(&reader->in, bytes, len);
    reader->failed = false;
}

void
Reader_Fail(Reader *reader)
{
    reader->failed = true;
}

/* Marks the reader as failed unless ok. Returns true if no read failed. */
static bool
record_result(Reader *reader, bool ok)
{
    if (!ok) {
        Reader_Fail(reader);
    }
    return !reader->failed;
}

size_t
Reader_Array(Reader *reader, size_t max)
{
    uint32_t count;
    bool ok = MpRead_Array(&reader->in, &count) && count <= max;

    return record_result(reader, ok) ? count : 0;
}

void
Reader_ArrayOf(Reader *reader, size_t count)
{
    record_result(reader, Reader_Array(reader, count) == count);
}

uint64_t
Reader_Unsigned(Reader *reader)
{
    uint64_t value;

    return record_result(reader, MpRead_U64(&reader->in, &value)) ? value : 0;
}

bool
Reader_Bool(Reader *reader)
{
    bool value;

    return record_result(reader, MpRead_Bool(&reader->in, &value)) && value;
}

const char *
Reader_Bin(Reader *reader, size_t max, size_t *len)
{
    const char *bytes;
    bool ok = MpRead_Bin(&reader->in, &bytes, len) && *len <= max;

    if (!record_result(reader, ok)) {
        *len = 0;
        return NULL;
    }
    return bytes;
}

void
Reader_Name(Reader *reader, char *text, size_t size)
{
    bool ok = MpRead_Text(&reader->in, text, size) && text[0] != '\0';

    if (!record_result(reader, ok)) {
        text[0] = '\0';
    }
}

bool
Reader_Done(const Reader *reader)
{
    return !reader->failed && MpRead_Done(&reader->in);
}
