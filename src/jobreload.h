/*
 * NAME
 *     jobreload - reload of the settings of a running node
 */
#ifndef COLTSFOOT_JOBRELOAD_H
#define COLTSFOOT_JOBRELOAD_H

#include "peer.h"

/* Reads the settings file and reports all findings. Without a finding, adds
 * new seeds to the peers; no other setting can change without a restart. */
void JobReload_ReloadSettings(const char *file, Peers *peers);

#endif
