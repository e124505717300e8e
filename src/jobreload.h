/*
 * NAME
 *     jobreload - settings that are read again while a node runs
 */
#ifndef COLTSFOOT_JOBRELOAD_H
#define COLTSFOOT_JOBRELOAD_H

#include "peer.h"

/* Reads the settings file and reports all findings. Takes over what can change
 * without a restart, new seeds, unless there is a finding. */
void JobReload_Read(const char *file, Peers *peers);

#endif
