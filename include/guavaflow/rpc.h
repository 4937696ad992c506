/* ONC RPC (RFC 5531) over TCP on the event loop: record marking on
 * bufferevents, XDR encoding by libtirpc. A client has one connection, which
 * carries any number of calls at a time; replies are matched to calls by
 * transaction id. */
#ifndef GUAVAFLOW_RPC_H
#define GUAVAFLOW_RPC_H

#include <event2/event.h>
#include <rpc/rpc.h>

#include "guavaflow/clock.h"
#include "guavaflow/error.h"

/* A connection that sends a longer record is closed. */
#define GF_RPC_MAX_RECORD_BYTES (8 * 1024 * 1024)

typedef struct GfRpcServer GfRpcServer;
typedef struct GfRpcCall GfRpcCall;
typedef struct GfRpcClient GfRpcClient;

/* One procedure of a program. handle gets the decoded args, which are freed
 * when it returns; it answers with GfRpcCall_Reply, at once or later. */
typedef struct {
    uint32_t number;
    xdrproc_t xdr_args;
    size_t args_bytes; /* size of the type that xdr_args decodes */
    xdrproc_t xdr_result;
    void (*handle)(void *ctx, GfRpcCall *call, void *args);
} GfRpcProcedure;

/* Initializer of a GfRpcProcedure. The types are names of generated types. */
#define GF_RPC_PROCEDURE(number, args_type, result_type, handler)             \
    {                                                                         \
        number, (xdrproc_t)xdr_##args_type, sizeof(args_type),                \
            (xdrproc_t)xdr_##result_type, handler                             \
    }

/* A program, identified by its number and version, with its procedures. */
typedef struct {
    uint32_t program;
    uint32_t version;
    const GfRpcProcedure *procedures;
    size_t procedure_count;
} GfRpcProgram;

/* The outcome of a call. kind is GF_OK if the peer answered, and result then
 * points to the decoded result, which is valid during the callback only; else
 * kind is GF_TIMEOUT, GF_CONNECTION_LOST, or GF_PROTOCOL if the peer rejected
 * the call or a message could not be encoded or decoded. sent is false only
 * if no byte of the call can have reached the peer. */
typedef struct {
    GfErrorKind kind;
    bool sent;
    const void *result;
} GfRpcOutcome;

/* Receives the outcome of a call. */
typedef void (*GfRpcCallback)(void *arg, const GfRpcOutcome *outcome);

const GfRpcProcedure *GfRpcProgram_Find(const GfRpcProgram *program,
                                        uint32_t number);

GfRpcServer *GfRpcServer_Create(struct event_base *base, const char *address,
                                uint16_t port, const GfRpcProgram *program,
                                void *ctx, GfError *error);
void GfRpcServer_StopAccepting(GfRpcServer *server);
void GfRpcServer_Destroy(GfRpcServer *server);
void GfRpcCall_Reply(GfRpcCall *call, void *result);

GfRpcClient *GfRpcClient_Create(struct event_base *base, const char *address,
                                uint16_t port, const GfRpcProgram *program,
                                const GfClock *clock);
void GfRpcClient_Start(GfRpcClient *client, uint32_t procedure, void *args,
                       size_t result_bytes, int timeout_ms,
                       GfRpcCallback callback, void *arg);
uint64_t GfRpcClient_ReplacedConnections(const GfRpcClient *client);
void GfRpcClient_Destroy(GfRpcClient *client);

#endif
