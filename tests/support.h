/*
 * NAME
 *     support - the main function of a check suite
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_H
#define COLTSFOOT_TESTS_SUPPORT_H

#include <check.h>

/* Creates the suite of a test program; each tests/test_NAME.c defines it. */
Suite *Test_Suite(void);

#endif
