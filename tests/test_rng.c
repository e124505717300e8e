#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <apr_errno.h>
#include <apr_general.h>

#include "buf.h"
#include "rng.h"
#include "support.h"

static bool source_fails;
static unsigned char next_byte;

/* Replaces the function of the library. */
apr_status_t
apr_generate_random_bytes(unsigned char *bytes, apr_size_t len)
{
    if (source_fails) {
        return APR_ENOTIMPL;
    }
    memset(bytes, ++next_byte, len);
    return APR_SUCCESS;
}

START_TEST(system_seeds_differ)
{
    ck_assert_uint_ne(Rng_SystemSeed(), Rng_SystemSeed());
}
END_TEST

/* Guards against a process that starts with the same numbers each time. */
START_TEST(process_without_random_source_ends_with_an_error)
{
    Buf text = BUF_INIT;
    char chunk[512];
    ssize_t len;
    int fds[2];
    int status = 0;
    pid_t child;

    ck_assert_int_eq(pipe(fds), 0);
    child = fork();
    if (child == 0) {
        dup2(fds[1], STDERR_FILENO);
        source_fails = true;
        Rng_SystemSeed();
        _exit(0);
    }
    ck_assert_int_gt(child, 0);
    close(fds[1]);
    while ((len = read(fds[0], chunk, sizeof(chunk))) > 0) {
        Buf_Append(&text, chunk, (size_t)len);
    }
    close(fds[0]);
    waitpid(child, &status, 0);
    ck_assert(WIFEXITED(status));
    ck_assert_int_eq(WEXITSTATUS(status), EXIT_FAILURE);
    ck_assert_ptr_nonnull(strstr(Buf_Text(&text), "gives no random numbers"));
    Buf_Free(&text);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("rng");
    TCase *tcase = tcase_create("rng");

    tcase_add_test(tcase, system_seeds_differ);
    tcase_add_test(tcase, process_without_random_source_ends_with_an_error);
    suite_add_tcase(suite, tcase);
    return suite;
}
