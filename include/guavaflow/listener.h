/* A listening TCP socket on the event loop. While no descriptor is left for
 * another connection, and while its owner has paused it, connections wait in
 * the backlog of the socket. */
#ifndef GUAVAFLOW_LISTENER_H
#define GUAVAFLOW_LISTENER_H

#include <event2/event.h>

#include "guavaflow/error.h"

/* One in so many descriptors of the process are for the connections of clients
 * or other entries; and for those of a server that few use. */
#define GF_LISTENER_SHARE 4
#define GF_LISTENER_SMALL_SHARE 16

typedef struct GfListener GfListener;

/* Receives a connection, whose non-blocking socket the callback owns. */
typedef void (*GfListenerCallback)(void *ctx, evutil_socket_t fd);

/* The address and what is set on the sockets of connections. */
typedef struct {
    const char *address; /* IPv4 */
    uint16_t port;
    int receive_buffer_bytes; /* of the kernel for a connection; 0: default */
    int send_buffer_bytes;    /* the same for what is sent */
} GfListenerConfig;

GfListener *GfListener_Create(struct event_base *base,
                              const GfListenerConfig *config,
                              GfListenerCallback callback, void *ctx,
                              GfError *error);
void GfListener_Pause(GfListener *listener);
void GfListener_Resume(GfListener *listener);
void GfListener_Destroy(GfListener *listener);
uint32_t GfListener_MaxConnections(uint32_t wanted, uint32_t share);

#endif
