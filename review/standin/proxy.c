/* A TCP proxy before a worker: "standin proxy PORT TARGET_PORT MAX". It opens
 * a connection to the worker for each of its clients; beyond MAX open ones,
 * the worker's limit, it resets a new client at once. After SIGUSR1 all
 * connections open at that moment are silent: nothing passes any more, and
 * neither side is told of the other's end. Connections opened later work. */
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_PAIRS 512
#define BUFFER_BYTES 65536

typedef struct {
    int fd[2];     /* client, worker */
    char *data[2]; /* read from that side, not written to the other yet */
    size_t len[2];
    bool open;
    bool silent;
} Pair;

static volatile sig_atomic_t silence;

static void
on_signal(int number)
{
    (void)number;
    silence = 1;
}

static void
close_pair(Pair *p)
{
    close(p->fd[0]);
    close(p->fd[1]);
    free(p->data[0]);
    free(p->data[1]);
    p->open = false;
}

/* Moves what can be moved from one side to the other; false at an end. */
static bool
forward(Pair *p, int from)
{
    if (p->len[from] == 0) {
        ssize_t n =
            recv(p->fd[from], p->data[from], BUFFER_BYTES, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            return false;
        }
        p->len[from] = n > 0 ? (size_t)n : 0;
    }
    if (p->len[from] > 0) {
        ssize_t n = send(p->fd[1 - from], p->data[from], p->len[from],
                         MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN) {
            return false;
        }
        if (n > 0) {
            memmove(p->data[from], p->data[from] + n,
                    p->len[from] - (size_t)n);
            p->len[from] -= (size_t)n;
        }
    }
    return true;
}

static void
reset(int fd)
{
    struct linger l = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    close(fd);
}

int
proxy_main(int argc, char **argv)
{
    static Pair pairs[MAX_PAIRS];
    if (argc < 4) {
        return 2;
    }
    int max = atoi(argv[3]);
    char who[32];
    snprintf(who, sizeof(who), "proxy=%s", argv[1]);
    signal(SIGUSR1, on_signal);
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)atoi(argv[1]))};
    inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    struct sockaddr_in target = at;
    target.sin_port = htons((uint16_t)atoi(argv[2]));
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(listener, 256) != 0) {
        return 2;
    }
    int refused = 0;
    int64_t logged = 0;
    for (;;) {
        struct pollfd fds[1 + 2 * MAX_PAIRS];
        int index[1 + 2 * MAX_PAIRS];
        nfds_t count = 0;
        int open = 0;
        fds[count++] = (struct pollfd){.fd = listener, .events = POLLIN};
        for (int i = 0; i < MAX_PAIRS; i++) {
            Pair *p = &pairs[i];
            open += p->open;
            for (int k = 0; p->open && !p->silent && k < 2; k++) {
                short what = (short)((p->len[k] == 0 ? POLLIN : 0) |
                                     (p->len[1 - k] > 0 ? POLLOUT : 0));
                index[count] = i;
                fds[count++] = (struct pollfd){.fd = p->fd[k], .events = what};
            }
        }
        if (refused > 0 && now_ms() - logged > 1000) {
            record(who, "reset connections=%d open=%d limit=%d", refused, open,
                   max);
            refused = 0;
            logged = now_ms();
        }
        poll(fds, count, 200);
        if (silence) {
            silence = 0;
            for (int i = 0; i < MAX_PAIRS; i++) {
                pairs[i].silent = pairs[i].open;
            }
            record(who, "silenced connections=%d", open);
            continue;
        }
        for (nfds_t j = 1; j < count; j++) {
            Pair *p = &pairs[index[j]];
            if (fds[j].revents != 0 && p->open &&
                (!forward(p, 0) || !forward(p, 1))) {
                close_pair(p);
                open--;
            }
        }
        if (fds[0].revents == 0) {
            continue;
        }
        int client = accept(listener, NULL, NULL);
        if (client >= 0 && open >= max) {
            reset(client);
            refused++;
            continue;
        }
        int worker = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (client < 0 ||
            connect(worker, (struct sockaddr *)&target, sizeof(target)) != 0) {
            if (client >= 0) {
                reset(client);
            }
            close(worker);
            continue;
        }
        for (int i = 0; i < MAX_PAIRS; i++) {
            if (!pairs[i].open) {
                pairs[i] = (Pair){.fd = {client, worker}, .open = true};
                pairs[i].data[0] = malloc(BUFFER_BYTES);
                pairs[i].data[1] = malloc(BUFFER_BYTES);
                break;
            }
        }
    }
}
