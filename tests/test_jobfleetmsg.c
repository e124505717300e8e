#include <check.h>
#include <stdio.h>
#include <string.h>

#include "jobfleetmsg.h"
#include "support.h"

static void
encode(const JobFleetMsg *msg, Buf *body, msgpack_unpacked *unpacked)
{
    JobFleetMsg_Encode(msg, body);
    msgpack_unpacked_init(unpacked);
    ck_assert_int_eq(
        msgpack_unpack_next(unpacked, body->data, body->len, NULL),
        MSGPACK_UNPACK_SUCCESS);
    ck_assert_int_eq(unpacked->data.type, MSGPACK_OBJECT_ARRAY);
}

static JobFleetMsg
make_msg(bool with_limits)
{
    JobFleetMsg msg = {.term = 7, .leader_ready = true, .node_count = 2};

    snprintf(msg.leader.host, sizeof(msg.leader.host), "10.0.0.1");
    msg.leader.port = 7000;
    msg.nodes[0] = msg.leader;
    msg.nodes[1] = msg.leader;
    msg.nodes[1].port = 7001;
    if (with_limits) {
        msg.limits = (JobClientLimits){16384, 262144, 3000, 0};
    }
    return msg;
}

START_TEST(message_is_decoded_as_it_was_encoded)
{
    JobFleetMsg msg = make_msg(_i == 1);
    JobFleetMsg decoded;
    msgpack_unpacked unpacked;
    Buf body = BUF_INIT;

    encode(&msg, &body, &unpacked);
    ck_assert(JobFleetMsg_Decode(&unpacked.data.via.array, &decoded));
    ck_assert_uint_eq(decoded.term, 7);
    ck_assert_uint_eq(decoded.node_count, 2);
    ck_assert_int_eq(decoded.nodes[1].port, 7001);
    ck_assert_mem_eq(&decoded.limits, &msg.limits, sizeof(msg.limits));
    msgpack_unpacked_destroy(&unpacked);
    Buf_Free(&body);
}
END_TEST

/* Guards against a message that nodes of the earlier version refuse. They
 * require six items, and read nodes in pairs while a whole pair is left. */
START_TEST(limits_are_ignored_by_the_earlier_version)
{
    JobFleetMsg msg = make_msg(true);
    const msgpack_object_array *items;
    const msgpack_object_array *nodes;
    msgpack_unpacked unpacked;
    Buf body = BUF_INIT;
    size_t pairs = 0;
    size_t i;

    encode(&msg, &body, &unpacked);
    items = &unpacked.data.via.array;
    ck_assert_uint_eq(items->size, 6);
    nodes = &items->ptr[5].via.array;
    for (i = 0; i + 1 < nodes->size; i += 2) {
        ck_assert_int_eq(nodes->ptr[i].type, MSGPACK_OBJECT_STR);
        ck_assert_int_eq(nodes->ptr[i + 1].type,
                         MSGPACK_OBJECT_POSITIVE_INTEGER);
        pairs++;
    }
    ck_assert_uint_eq(pairs, msg.node_count);
    msgpack_unpacked_destroy(&unpacked);
    Buf_Free(&body);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobfleetmsg");
    TCase *tcase = tcase_create("message");

    tcase_add_loop_test(tcase, message_is_decoded_as_it_was_encoded, 0, 2);
    tcase_add_test(tcase, limits_are_ignored_by_the_earlier_version);
    suite_add_tcase(suite, tcase);
    return suite;
}
