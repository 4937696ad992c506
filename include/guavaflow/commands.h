/* Orders to workers and questions to the advice service, behind a table of
 * function pointers. Outcomes come back through the sink. */
#ifndef GUAVAFLOW_COMMANDS_H
#define GUAVAFLOW_COMMANDS_H

#include "guavaflow/cell.h"

typedef struct GfCommands GfCommands;

typedef struct {
    void (*start_done)(void *ctx, uint32_t serial, const GfTaskId *task,
                       int64_t run, GfOrderResult result);
    void (*stop_done)(void *ctx, uint32_t serial, const GfTaskId *task,
                      int64_t run, GfOrderResult result);
    void (*hold_done)(void *ctx, uint32_t serial, struct timespec sent_at,
                      GfOrderResult result, const GfInventory *inventory);
} GfCommandSink;

/* kind is GF_OK if the service answered, GF_BUSY if it refused, else the
 * failure of the call. */
typedef void (*GfAdviceCallback)(void *arg, GfErrorKind kind,
                                 const GfTicket *tickets, size_t count,
                                 int64_t valid_ms);

typedef struct {
    void (*start)(GfCommands *commands, const GfStartOrder *order);
    void (*stop)(GfCommands *commands, const GfStopOrder *order);
    void (*hold)(GfCommands *commands, const GfHoldOrder *order);
    void (*advise)(GfCommands *commands, const char *step,
                   const GfName *workers, size_t count, int timeout_ms,
                   GfAdviceCallback callback, void *arg);
    void (*set_sink)(GfCommands *commands, const GfCommandSink *sink,
                     void *ctx);
    void (*destroy)(GfCommands *commands);
} GfCommandOps;

struct GfCommands {
    const GfCommandOps *ops;
};

/* Decodes what others write: rows of the platform and callers' jobs. */
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
