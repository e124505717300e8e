/*
 * NAME
 *     fuzz_jobcallmsg - fuzz target for records sent between control nodes
 *
 * DESCRIPTION
 *     The first byte selects the kind of record. A record that the decoder
 *     accepts must be unchanged after encoding and decoding it again.
 */
#include <stdlib.h>
#include <string.h>

#include "jobcallmsg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
fuzz_call(MpRead *reader)
{
    JobCallMsg call;
    JobCallMsg again;
    Buf bytes = BUF_INIT;
    MpRead second;

    if (JobCallMsg_Read(reader, &call)) {
        JobCallMsg_Pack(&call, &bytes);
        MpRead_Init(&second, bytes.data, bytes.len);
        require(JobCallMsg_Read(&second, &again) && MpRead_Done(&second));
        require(again.action.cookie == call.action.cookie &&
                again.action.kind == call.action.kind &&
                again.timeout_ms == call.timeout_ms &&
                strcmp(again.action.id, call.action.id) == 0 &&
                strcmp(again.action.text, call.action.text) == 0);
    }
    Buf_Free(&bytes);
}

static void
fuzz_answer(MpRead *reader)
{
    JobAnswerMsg msg;
    JobAnswerMsg again;
    Buf bytes = BUF_INIT;
    MpRead second;

    if (JobAnswerMsg_Read(reader, &msg)) {
        JobAnswerMsg_Pack(msg.cookie, &msg.answer, &bytes);
        MpRead_Init(&second, bytes.data, bytes.len);
        require(JobAnswerMsg_Read(&second, &again) && MpRead_Done(&second));
        require(again.cookie == msg.cookie &&
                again.answer.outcome == msg.answer.outcome &&
                again.answer.running_count == msg.answer.running_count &&
                again.answer.end_count == msg.answer.end_count);
        JobAnswerMsg_Free(&again);
    }
    JobAnswerMsg_Free(&msg);
    Buf_Free(&bytes);
}

static void
fuzz_announcement(MpRead *reader)
{
    JobAnnouncement announcement;
    JobAnnouncement again;
    Buf bytes = BUF_INIT;
    MpRead second;

    if (JobAnnounceMsg_Read(reader, &announcement)) {
        JobAnnounceMsg_Pack(&announcement, &bytes);
        MpRead_Init(&second, bytes.data, bytes.len);
        require(JobAnnounceMsg_Read(&second, &again) && MpRead_Done(&second));
        require(again.order == announcement.order &&
                again.born == announcement.born &&
                again.clock_ms == announcement.clock_ms &&
                strcmp(again.id, announcement.id) == 0);
    }
    Buf_Free(&bytes);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    MpRead reader;

    if (size == 0) {
        return 0;
    }
    MpRead_Init(&reader, data + 1, size - 1);
    switch (data[0] % 3) {
    case 0:
        fuzz_call(&reader);
        break;
    case 1:
        fuzz_answer(&reader);
        break;
    default:
        fuzz_announcement(&reader);
        break;
    }
    return 0;
}
