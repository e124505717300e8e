#include "once_record.h"

#include <inttypes.h>
#include <msgpack.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define RECORD_FIELDS 8
#define TOKEN_NUMBERS 4 /* incarnation, number, issue time, checksum */

bool
OnceToken_IsValidHome(const char *home)
{
    size_t len = 0;

    for (; home[len] != '\0'; len++) {
        if (home[len] <= ' ' || home[len] >= '~' ||
            len + 1 == ONCE_HOME_BYTES) {
            return false;
        }
    }
    return len > 0;
}

void
OnceToken_Format(const OnceToken *token, char out[ONCE_TOKEN_BYTES])
{
    int len =
        snprintf(out, ONCE_TOKEN_BYTES, "%s~%" PRIx64 "~%" PRIx64 "~%" PRIx64,
                 token->home, token->incarnation, token->number,
                 (uint64_t)token->issued_ms);
    uint64_t checksum = XXH64(out, (size_t)len, 0);

    snprintf(out + len, ONCE_TOKEN_BYTES - (size_t)len, "~%" PRIx64, checksum);
}

/* Parses up to 16 hexadecimal digits. Returns the end of the digits, or NULL
 * if there are none. */
static const char *
parse_hex(const char *at, uint64_t *value)
{
    static const char digits[] = "0123456789abcdef";
    int count;

    *value = 0;
    for (count = 0; count < 16 && *at != '\0'; count++, at++) {
        const char *digit = strchr(digits, *at);
        if (digit == NULL) {
            break;
        }
        *value = *value << 4 | (uint64_t)(digit - digits);
    }
    return count > 0 ? at : NULL;
}

bool
OnceToken_Parse(const char *text, OnceToken *token)
{
    uint64_t numbers[TOKEN_NUMBERS];
    char canonical[ONCE_TOKEN_BYTES];
    const char *at = strchr(text, '~');
    size_t home_len;
    int i;

    if (at == NULL || at == text || at - text >= ONCE_HOME_BYTES) {
        return false;
    }
    home_len = (size_t)(at - text);
    memcpy(token->home, text, home_len);
    token->home[home_len] = '\0';
    if (!OnceToken_IsValidHome(token->home)) {
        return false;
    }
    for (i = 0; i < TOKEN_NUMBERS; i++) {
        if (*at != '~') {
            return false;
        }
        at = parse_hex(at + 1, &numbers[i]);
        if (at == NULL) {
            return false;
        }
    }
    token->incarnation = numbers[0];
    token->number = numbers[1];
    token->issued_ms = (int64_t)numbers[2];
    OnceToken_Format(token, canonical);
    return strcmp(text, canonical) == 0;
}

OnceBinding
OnceBinding_Compute(const char *caller, const char *request_id)
{
    return (OnceBinding){XXH64(caller, strlen(caller), 0),
                         XXH64(request_id, strlen(request_id), 0)};
}

static void
put_big_endian(char *out, uint64_t value, int bytes)
{
    int i;

    for (i = 0; i < bytes; i++) {
        out[i] = (char)(value >> (8 * (bytes - 1 - i)));
    }
}

static uint64_t
get_big_endian(const char *in, int bytes)
{
    uint64_t value = 0;
    int i;

    for (i = 0; i < bytes; i++) {
        value = value << 8 | (unsigned char)in[i];
    }
    return value;
}

void
OnceRecord_Encode(const OnceRecord *record, Buf *out)
{
    static const char empty_header[ONCE_RECORD_HEADER_BYTES];
    size_t start = out->len;
    size_t token_len = strlen(record->token_text);
    size_t body_len;
    msgpack_packer packer;
    char *header;

    Buf_Append(out, empty_header, sizeof(empty_header));
    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, RECORD_FIELDS);
    msgpack_pack_uint8(&packer, (uint8_t)record->kind);
    msgpack_pack_str(&packer, token_len);
    msgpack_pack_str_body(&packer, record->token_text, token_len);
    msgpack_pack_uint64(&packer, record->binding.caller);
    msgpack_pack_uint64(&packer, record->binding.request);
    msgpack_pack_uint8(&packer, (uint8_t)record->outcome);
    msgpack_pack_uint16(&packer, (uint16_t)record->status);
    msgpack_pack_uint8(&packer, record->answer_dropped ? 1 : 0);
    if (record->answer != NULL) {
        msgpack_pack_bin_with_body(&packer, record->answer,
                                   record->answer_len);
    }
    else {
        msgpack_pack_nil(&packer);
    }
    header = out->data + start;
    body_len = out->len - start - ONCE_RECORD_HEADER_BYTES;
    put_big_endian(header, body_len, 4);
    put_big_endian(header + 4,
                   XXH64(header + ONCE_RECORD_HEADER_BYTES, body_len, 0), 8);
}

/* Returns whether the body is an array of RECORD_FIELDS scalars. msgpack-c
 * allocates memory for the declared element count of a nested array before it
 * detects that the elements are missing, so such bodies are rejected first. */
static bool
is_flat(const unsigned char *body, size_t len)
{
    size_t at = 1;
    int i;

    if (len == 0 || body[0] != (0x90 | RECORD_FIELDS)) {
        return false;
    }
    for (i = 0; i < RECORD_FIELDS && at < len; i++) {
        unsigned char tag = body[at++];
        int count_bytes = 0;

        if ((tag & 0xe0) == 0xa0) {
            at += tag & 0x1f;
        }
        else if (tag >= 0xcc && tag <= 0xcf) {
            at += (size_t)1 << (tag - 0xcc);
        }
        else if (tag >= 0xc4 && tag <= 0xc6) {
            count_bytes = 1 << (tag - 0xc4);
        }
        else if (tag >= 0xd9 && tag <= 0xdb) {
            count_bytes = 1 << (tag - 0xd9);
        }
        else if (tag >= 0x80 && tag != 0xc0) {
            return false;
        }
        if (count_bytes > 0) {
            if (len - at < (size_t)count_bytes) {
                return false;
            }
            at += (size_t)count_bytes +
                  get_big_endian((const char *)body + at, count_bytes);
        }
        if (at > len) {
            return false;
        }
    }
    return i == RECORD_FIELDS && at == len;
}

static bool
get_number(const msgpack_object *object, uint64_t max, uint64_t *out)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > max) {
        return false;
    }
    *out = object->via.u64;
    return true;
}

static bool
read_fields(const msgpack_object *fields, OnceRecord *record)
{
    const msgpack_object *text = &fields[1];
    const msgpack_object *answer = &fields[7];
    uint64_t kind;
    uint64_t outcome;
    uint64_t status;
    uint64_t dropped;

    if (!get_number(&fields[0], ONCE_RECORD_OUTCOME, &kind) || kind == 0 ||
        !get_number(&fields[2], UINT64_MAX, &record->binding.caller) ||
        !get_number(&fields[3], UINT64_MAX, &record->binding.request) ||
        !get_number(&fields[4], ONCE_OUTCOME_CANCELLED, &outcome) ||
        !get_number(&fields[5], 999, &status) ||
        !get_number(&fields[6], 1, &dropped) ||
        text->type != MSGPACK_OBJECT_STR ||
        text->via.str.size >= ONCE_TOKEN_BYTES) {
        return false;
    }
    memcpy(record->token_text, text->via.str.ptr, text->via.str.size);
    record->token_text[text->via.str.size] = '\0';
    record->kind = (OnceRecordKind)kind;
    record->outcome = (OnceOutcome)outcome;
    record->status = (int)status;
    record->answer_dropped = dropped == 1;
    record->answer = NULL;
    record->answer_len = 0;
    if (answer->type == MSGPACK_OBJECT_BIN) {
        record->answer = answer->via.bin.ptr;
        record->answer_len = answer->via.bin.size;
    }
    else if (answer->type != MSGPACK_OBJECT_NIL) {
        return false;
    }
    return strlen(record->token_text) == text->via.str.size &&
           OnceToken_Parse(record->token_text, &record->token) &&
           (outcome == ONCE_OUTCOME_DONE ||
            (record->answer == NULL && !record->answer_dropped)) &&
           (kind == ONCE_RECORD_INTENT) == (outcome == ONCE_OUTCOME_NONE);
}

static bool
read_body(const char *body, size_t len, OnceRecord *record)
{
    msgpack_unpacked unpacked;
    bool ok = false;
    size_t offset = 0;

    if (!is_flat((const unsigned char *)body, len)) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, body, len, &offset) ==
        MSGPACK_UNPACK_SUCCESS) {
        /* Strings and binaries of the object point into body. */
        ok = read_fields(unpacked.data.via.array.ptr, record);
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

Status
OnceRecord_Decode(const char *bytes, size_t len, OnceRecord *record,
                  size_t *used)
{
    const char *body;
    uint64_t body_len;

    *used = 0;
    if (len < ONCE_RECORD_HEADER_BYTES) {
        return ST_AGAIN;
    }
    body_len = get_big_endian(bytes, 4);
    if (body_len == 0 || body_len > ONCE_RECORD_MAX_BYTES) {
        return ST_CORRUPT;
    }
    if (body_len > len - ONCE_RECORD_HEADER_BYTES) {
        return ST_AGAIN;
    }
    *used = ONCE_RECORD_HEADER_BYTES + (size_t)body_len;
    body = bytes + ONCE_RECORD_HEADER_BYTES;
    if (XXH64(body, (size_t)body_len, 0) != get_big_endian(bytes + 4, 8) ||
        !read_body(body, (size_t)body_len, record)) {
        return ST_CORRUPT;
    }
    return ST_OK;
}
