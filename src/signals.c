#include "signals.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct Signals {
    Loop *loop;
    LoopFn stop;
    LoopFn reload;
    void *arg;
    LoopWatch *watch;
    int pipe[2];
};

static int write_end = -1;

static void
on_signal(int signal_number)
{
    char byte = signal_number == SIGHUP ? 'h' : 's';
    int saved_errno = errno;
    ssize_t written = write(write_end, &byte, 1);

    (void)written; /* a full pipe already holds pending signals */
    errno = saved_errno;
}

static void
on_readable(void *arg, int events)
{
    Signals *signals = arg;
    char byte;

    (void)events;
    while (read(signals->pipe[0], &byte, 1) == 1) {
        if (byte == 'h') {
            signals->reload(signals->arg);
        }
        else {
            signals->stop(signals->arg);
        }
    }
}

/* Blocks or unblocks SIGHUP in the calling thread. */
static void
mask_reload(int how)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigprocmask(how, &set, NULL);
}

void
Signals_HoldReload(void)
{
    mask_reload(SIG_BLOCK);
}

Signals *
Signals_New(Loop *loop, LoopFn stop, LoopFn reload, void *arg, ErrCtx *err)
{
    Signals *signals = calloc(1, sizeof(*signals));
    struct sigaction action;

    if (signals == NULL || pipe(signals->pipe) != 0) {
        Err_Set(err, ST_IO, "cannot create a pipe: %s", strerror(errno));
        free(signals);
        return NULL;
    }
    signals->loop = loop;
    signals->stop = stop;
    signals->reload = reload;
    signals->arg = arg;
    fcntl(signals->pipe[0], F_SETFL, O_NONBLOCK);
    fcntl(signals->pipe[1], F_SETFL, O_NONBLOCK);
    signals->watch =
        Loop_Watch(loop, signals->pipe[0], LOOP_READ, on_readable, signals);
    write_end = signals->pipe[1];
    memset(&action, 0, sizeof(action));
    action.sa_handler = on_signal;
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    if (reload != NULL) {
        sigaction(SIGHUP, &action, NULL);
    }
    mask_reload(SIG_UNBLOCK);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, NULL);
    return signals;
}

void
Signals_Free(Signals *signals)
{
    if (signals == NULL) {
        return;
    }
    signal(SIGTERM, SIG_DFL);
    signal(SIGINT, SIG_DFL);
    signal(SIGHUP, SIG_DFL);
    Loop_Unwatch(signals->watch);
    close(signals->pipe[0]);
    close(signals->pipe[1]);
    write_end = -1;
    free(signals);
}
