/*
 * NAME
 *     support - the main function of a check suite
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_H
#define COLTSFOOT_TESTS_SUPPORT_H

#include <check.h>

/* Each tests/test_NAME.c defines this suite. */
Suite *Test_Suite(void);

#endif
