/*
 * NAME
 *     state_format - the format of a snapshot of the state
 *
 * DESCRIPTION
 *     A msgpack array [magic, format, version, applied, deletion floor, data
 *     centres, pools, services, teams, limits, members, VMs, waves, set
 *     paths, deleted paths, answers] and a checksum (XXH64, big-endian) of
 *     its bytes. Rows are ordered by name. Counts that follow from the rows
 *     are not stored.
 */
#ifndef COLTSFOOT_STATE_FORMAT_H
#define COLTSFOOT_STATE_FORMAT_H

#include <stddef.h>

#define STATE_FORMAT_MAGIC "coltsfoot-state"
#define STATE_FORMAT_VERSION 1
#define STATE_FORMAT_ITEMS 16
#define STATE_FORMAT_CHECKSUM_BYTES 8

/* Writes the checksum of the bytes before it. */
void StateFormat_Checksum(const char *bytes, size_t len, unsigned char *out);

#endif
