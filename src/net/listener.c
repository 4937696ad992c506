#include "guavaflow/listener.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "guavaflow/log.h"

#define PART "listener"
#define BACKLOG 128
struct GfListener {
    struct evconnlistener *socket;
    GfListenerCallback callback;
    void *ctx;
};

/* Callback of libevent for a new connection. */
static void
on_accept(struct evconnlistener *socket, evutil_socket_t fd,
          struct sockaddr *address, int len, void *arg)
{
    (void)socket;
    (void)address;
    (void)len;
    GfListener *listener = arg;
    listener->callback(listener->ctx, fd);
}

/* Sets the sizes of the kernel's buffers. Connections take them over from the
 * listening socket. */
static void
set_buffer_sizes(evutil_socket_t fd, const GfListenerConfig *config)
{
    int receive = config->receive_buffer_bytes;
    int send = config->send_buffer_bytes;
    if ((receive > 0 && setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive,
                                   sizeof(receive)) != 0) ||
        (send > 0 &&
         setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send, sizeof(send)) != 0)) {
        GfLog(GF_LOG_WARNING, PART,
              "socket buffers left at their default port=%u", config->port);
    }
}

/* Opens a listening socket; callback gets ctx and each connection. Returns
 * NULL and sets error to GF_BAD_CONFIG if the address is malformed or cannot
 * be bound. Borrows base; GfListener_Destroy frees the listener. */
GfListener *
GfListener_Create(struct event_base *base, const GfListenerConfig *config,
                  GfListenerCallback callback, void *ctx, GfError *error)
{
    assert(base != NULL && config != NULL && callback != NULL);
    struct sockaddr_in sin;
    memset(&sin, 0, sizeof(sin));
    sin.sin_family = AF_INET;
    sin.sin_port = htons(config->port);
    if (inet_pton(AF_INET, config->address, &sin.sin_addr) != 1) {
        GfError_Set(error, GF_BAD_CONFIG, "%s is not an IPv4 address",
                    config->address);
        return NULL;
    }
    GfListener *listener = calloc(1, sizeof(*listener));
    if (listener == NULL) {
        abort();
    }
    listener->callback = callback;
    listener->ctx = ctx;
    listener->socket = evconnlistener_new_bind(
        base, on_accept, listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
    if (listener->socket == NULL) {
        GfError_Set(error, GF_BAD_CONFIG, "cannot listen on %s port %u",
                    config->address, config->port);
        free(listener);
        return NULL;
    }
    set_buffer_sizes(evconnlistener_get_fd(listener->socket), config);
    return listener;
}

/* Closes the listening socket and frees the listener; NULL is allowed. */
void
GfListener_Destroy(GfListener *listener)
{
    if (listener == NULL) {
        return;
    }
    evconnlistener_free(listener->socket);
    free(listener);
}
