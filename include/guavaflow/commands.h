/* Commands to workers, requests to the advice service, and decoding of the
 * documents that others write; each behind a table of function pointers, so
 * that a cell entry does not depend on the wire format. Commands and requests
 * are asynchronous: outcomes arrive from the event loop or, if nothing can be
 * sent, before the function returns. */
#ifndef GUAVAFLOW_COMMANDS_H
#define GUAVAFLOW_COMMANDS_H

#include "guavaflow/cell.h"

typedef struct GfCommands GfCommands;

/* Receives the outcomes of commands. serial is the one of the command's
 * target, ctx the one given to set_sink. hold_done gets the time at which the
 * hold was sent and, if result is GF_ORDER_DONE, the worker's inventory, which
 * is valid during the call only. */
typedef struct {
    void (*start_done)(void *ctx, uint32_t serial, const GfTaskId *task,
                       int64_t run, GfOrderResult result);
    void (*stop_done)(void *ctx, uint32_t serial, const GfTaskId *task,
                      int64_t run, GfOrderResult result);
    void (*pace_done)(void *ctx, uint32_t serial, const GfTaskId *task,
                      int64_t run, GfOrderResult result);
    void (*hold_done)(void *ctx, uint32_t serial, struct timespec sent_at,
                      GfOrderResult result, const GfInventory *inventory);
} GfCommandSink;

/* Receives the answer to an advice request. kind is GF_OK if the service
 * answered, GF_BUSY if it refused or its answer is malformed, else the failure
 * of the call. tickets holds one ticket for each worker that may run the step;
 * the array is valid during the call only, the tickets for valid_ms
 * milliseconds. */
typedef void (*GfAdviceCallback)(void *arg, GfErrorKind kind,
                                 const GfTicket *tickets, size_t count,
                                 int64_t valid_ms);

/* start, stop, pace and hold send a command to a worker and copy what they
 * need of it. A hold extends the worker's lease, if until_ms is not 0,
 * acknowledges completions and fetches the inventory; it is a long poll that
 * the worker answers after wait_ms milliseconds at the latest. The lease and
 * the acknowledgement reach the target's incarnation only: while it is not
 * certain that this one will get them, the hold just fetches the inventory, at
 * once. Workers must keep connections open between calls.
 *
 * advise asks which of the workers may run a step and gives up after
 * timeout_ms milliseconds; arg is passed to the callback. set_sink sets the
 * receiver of outcomes, which is borrowed; with NULL they are dropped. destroy
 * frees the client. */
typedef struct {
    void (*start)(GfCommands *commands, const GfStartOrder *order);
    void (*stop)(GfCommands *commands, const GfStopOrder *order);
    void (*pace)(GfCommands *commands, const GfPaceOrder *order);
    void (*hold)(GfCommands *commands, const GfHoldOrder *order);
    void (*advise)(GfCommands *commands, const char *step,
                   const GfName *workers, size_t count, int timeout_ms,
                   GfAdviceCallback callback, void *arg);
    void (*set_sink)(GfCommands *commands, const GfCommandSink *sink,
                     void *ctx);
    void (*destroy)(GfCommands *commands);
} GfCommandOps;

/* Base of an implementation: its first member. */
struct GfCommands {
    const GfCommandOps *ops;
};

/* Decodes rows of the store and callers' jobs. The functions that take an
 * error set it when they fail, that is, return NULL or false.
 *
 * config: the operators' configuration; the caller destroys it.
 * worker: the report of the worker with the given id.
 * job: the body of a submission; on success the caller clears spec.
 * evacuation: the failure domain that a key of the operators' table takes out
 *     of service; false if the key is not that of an evacuation.
 * operator_table, config_key: where the operators' configuration is stored.
 * worker_table: the table that holds the workers' reports. */
typedef struct {
    GfCellConfig *(*config)(const char *data, size_t len, GfError *error);
    bool (*worker)(const char *id, const char *data, size_t len,
                   GfWorkerInfo *info, GfError *error);
    bool (*job)(const char *data, size_t len, GfJobSpec *spec, GfError *error);
    bool (*evacuation)(const char *key, GfName *domain);
    const char *operator_table;
    const char *config_key;
    const char *worker_table;
} GfDecoder;

#endif
