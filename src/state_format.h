/*
 * NAME
 *     state_format - the format of a snapshot of the state
 *
 * DESCRIPTION
 *     A snapshot is a msgpack array [magic, format, version, applied,
 *     deletion floor, data centres, pools, services, teams, limits, members,
 *     VMs, waves, set paths, deleted paths, answers], followed by the XXH64
 *     checksum of its bytes in big-endian order. Rows are ordered by name,
 *     except that deleted paths and answers are ordered from the oldest to
 *     the newest. Counts that can be derived from
 *     the rows are not stored.
 */
#ifndef COLTSFOOT_STATE_FORMAT_H
#define COLTSFOOT_STATE_FORMAT_H

#include <stddef.h>

#define STATE_FORMAT_MAGIC "coltsfoot-state"
#define STATE_FORMAT_VERSION 1
#define STATE_FORMAT_ITEM_COUNT 16
#define STATE_FORMAT_CHECKSUM_BYTES 8

/* Writes the STATE_FORMAT_CHECKSUM_BYTES of the checksum of bytes to out. */
void StateFormat_WriteChecksum(const char *bytes, size_t len,
                               unsigned char *out);

#endif
