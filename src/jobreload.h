/*
 * NAME
 *     jobreload - reload of the settings of a running node
 */
#ifndef COLTSFOOT_JOBRELOAD_H
#define COLTSFOOT_JOBRELOAD_H

#include "peer.h"

/* Reads the settings file and reports all findings. If there are none, adds
 * new seeds to the peers; all other settings need a restart. */
void JobReload_ReloadSettings(const char *file, Peers *peers);

#endif
