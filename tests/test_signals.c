#include "support.h"

#include <signal.h>

#include "signals.h"

static int reloads;

static void
on_reload(void *arg)
{
    reloads++;
    Loop_Stop(arg);
}

START_TEST(reload_during_startup_does_not_end_the_process)
{
    ErrCtx err;
    Loop *loop = Loop_New(&err);
    Signals *signals;

    reloads = 0;
    Signals_HoldReload();
    raise(SIGHUP);
    signals = Signals_New(loop, on_reload, on_reload, loop, &err);
    ck_assert_ptr_nonnull(signals);
    Loop_Run(loop);
    ck_assert_int_eq(reloads, 1);
    Signals_Free(signals);
    Loop_Free(loop);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("signals");
    TCase *tcase = tcase_create("signals");

    tcase_add_test(tcase, reload_during_startup_does_not_end_the_process);
    suite_add_tcase(suite, tcase);
    return suite;
}
