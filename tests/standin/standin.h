/* Stand-ins for the services that an entry depends on, for tests with real
 * processes: one program whose first argument names the stand-in to run. Each
 * serves HTTP with JSON bodies and records events in a history, which the
 * tests check afterwards.
 *
 * Every stand-in serves two paths for the tests. POST /test/fault sets how
 * later requests fail: {"mode", "path", "slow_ms", "count"}, where path is the
 * prefix of the paths concerned and count the number of requests (-1: no
 * bound). The modes are none; away: the connection is closed at once; slow:
 * handled after slow_ms; freeze: handled once another mode is set;
 * lose_answer: handled, but the connection is closed without a reply. GET
 * /test/history returns the recorded events, in order; "at" is when an event
 * happened, in ms on the boot-time clock. */
#ifndef GUAVAFLOW_TESTS_STANDIN_H
#define GUAVAFLOW_TESTS_STANDIN_H

#include <event2/event.h>
#include <jansson.h>

#include "guavaflow/server.h"

typedef struct Standin Standin;

/* Handles one request: returns the HTTP status and sets *reply, which the
 * caller releases. A status of 0 means that the handler keeps the exchange and
 * replies later. The body stays the caller's; it is NULL if the request has
 * none or it isn't JSON. */
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
                        int64_t fallback);
const char *Standin_Text(const json_t *body, const char *name);

/* Each runs one stand-in until the process is killed; the comment above its
 * definition describes the arguments. On an error it returns the exit status.
 */
int Platform_Main(int argc, char **argv);
int Workers_Main(int argc, char **argv);
int Targets_Main(int argc, char **argv);
int Relay_Main(int argc, char **argv);
int Fleet_Main(int argc, char **argv);

#endif
