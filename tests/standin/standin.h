/* What the stand-ins share: a server whose faults are set at run time, and
 * the history that the checker reads. */
#ifndef GUAVAFLOW_TESTS_STANDIN_H
#define GUAVAFLOW_TESTS_STANDIN_H

#include <event2/event.h>
#include <jansson.h>

#include "guavaflow/server.h"

typedef struct Standin Standin;

/* Answers one request: returns the status and sets *reply. A status of 0
 * says that the handler keeps the exchange and answers later. */
typedef int (*StandinHandler)(void *ctx, GfExchange *exchange, json_t *body,
                              json_t **reply);

Standin *Standin_Create(struct event_base *base, const char *address,
                        uint16_t port, StandinHandler handler, void *ctx,
                        json_t *history);
struct event_base *Standin_Base(Standin *standin);
void Standin_Reply(Standin *standin, GfExchange *exchange, int status,
                   json_t *reply);
void Standin_Record(json_t *history, const char *event, json_t *fields);
int64_t Standin_NowMs(void);
int64_t Standin_Integer(const json_t *body, const char *name,
                        int64_t otherwise);
const char *Standin_Text(const json_t *body, const char *name);

int Platform_Main(int argc, char **argv);
int Workers_Main(int argc, char **argv);
int Targets_Main(int argc, char **argv);
int Relay_Main(int argc, char **argv);
int Fleet_Main(int argc, char **argv);

#endif
