/* Stand-ins for the platform's store, workers and clients, used by the scripts
 * of review/. One program, "standin ROLE ...". They follow the users' pages;
 * each writes what it sees to the file named by REVIEW_RECORD, one line an
 * event: time in ms since REVIEW_T0, role, event, key=value pairs. */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

/* Milliseconds on the steady clock, and since 1970. */
int64_t now_ms(void);
int64_t wall_ms(void);

/* Appends one line to the record. */
void record(const char *who, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Replies to a request with a status and a JSON body, whose reference it
 * takes; body may be NULL. */
void reply_json(struct evhttp_request *req, int status, json_t *body);

/* Returns the body of a request as JSON, or NULL. The caller owns it. */
json_t *request_json(struct evhttp_request *req);

/* An HTTP call over a connection of its own. headers is a text of complete
 * lines or NULL. Returns the status, or 0 without a complete answer; *body,
 * if not NULL, gets the answer's JSON or NULL, owned by the caller. */
int http_call(int port, const char *method, const char *path,
              const char *headers, const char *text, int timeout_ms,
              json_t **body);

/* Serves HTTP on a loopback port, any free one if it is 0; exits the process
 * if that fails. Returns the port. */
int serve(struct event_base *base, int port,
          void (*handler)(struct evhttp_request *, void *), void *arg);

int store_main(int argc, char **argv);
int worker_main(int argc, char **argv);
int proxy_main(int argc, char **argv);
int drive_main(int argc, char **argv);

#endif
