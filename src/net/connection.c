/* A client's connection to the HTTP server: reading its requests, writing the
 * answers and closing it. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "guavaflow/clock.h"
#include "server_private.h"

#define IDLE_TIMEOUT_MS 75000
/* How long a connection stays open after its last answer, so that the client
 * gets the answer before it learns that the rest was not read. */
#define LINGER_MS 1000
#define READ_AHEAD_BYTES 8192
#define MAX_HEADER_BYTES 16384
#define MAX_HEADERS 100
/* Estimate of what a header takes besides its bytes. */
#define HEADER_OVERHEAD_BYTES 128
#define MIN_TEXT_BYTES 256
#define DATE_BYTES 64
#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LONG 413
#define STATUS_HEADERS_TOO_LONG 431

/* Appends len bytes. Returns by how much more is allocated. */
static size_t
append(Text *text, const char *data, size_t len)
{
    size_t before = text->size;
    while (text->len + len + 1 > text->size) {
        text->size = text->size == 0 ? MIN_TEXT_BYTES : text->size * 2;
    }
    if (text->size > before) {
        text->data = realloc(text->data, text->size);
        if (text->data == NULL) {
            abort();
        }
    }
    memcpy(text->data + text->len, data, len);
    text->len += len;
    text->data[text->len] = '\0';
    return text->size - before;
}

/* Frees the bytes. */
static void
clear_text(Text *text)
{
    free(text->data);
    *text = (Text){0};
}

/* Sets up an empty request. */
void
Request_Init(Request *r)
{
    memset(r, 0, sizeof(*r));
    TAILQ_INIT(&r->headers);
}

/* Frees what a request holds and sets it up as an empty one. */
void
Request_Clear(GfServer *server, Request *r)
{
    clear_text(&r->url);
    clear_text(&r->field);
    clear_text(&r->value);
    clear_text(&r->body);
    evhttp_clear_headers(&r->headers);
    server->held_bytes -= r->held_bytes;
    Request_Init(r);
}

/* Takes the body out of a request; the caller clears it. The request has none
 * after that. */
GfStr
Request_TakeBody(GfServer *server, Request *r)
{
    if (r->body.data == NULL) {
        return GfStr_Copy("", 0);
    }
    GfStr body = {.len = r->body.len, .data = r->body.data};
    r->held_bytes -= r->body.size;
    server->held_bytes -= r->body.size;
    r->body = (Text){0};
    return body;
}

/* Counts bytes that the request holds. Other requests, or this one, may be
 * refused for them. */
static void
hold(Connection *c, size_t bytes)
{
    c->request.held_bytes += bytes;
    c->server->held_bytes += bytes;
    Server_Held(c->server, c);
}

/* Stops the parser with an answer of this status. Returns what a callback of
 * the parser returns for that. */
static int
refuse(Connection *c, int status)
{
    c->refusal = status;
    return 1;
}

/* Counts bytes of the URL and the headers, and refuses too many. Returns what
 * the callback of the parser returns. */
static int
count_header_bytes(Connection *c, size_t held, size_t len)
{
    Request *r = &c->request;
    r->header_bytes += len;
    if (r->header_bytes > MAX_HEADER_BYTES || r->header_count > MAX_HEADERS) {
        return refuse(c, STATUS_HEADERS_TOO_LONG);
    }
    hold(c, held);
    return c->refusal;
}

/* Callback of the parser for a part of the URL. */
static int
on_url(http_parser *parser, const char *data, size_t len)
{
    Connection *c = parser->data;
    return count_header_bytes(c, append(&c->request.url, data, len), len);
}

/* Stores the header that has been read, if any. */
static void
finish_header(Request *r)
{
    if (r->in_value) {
        evhttp_add_header(&r->headers, r->field.data,
                          r->value.data == NULL ? "" : r->value.data);
        r->field.len = 0;
        r->value.len = 0;
        if (r->value.data != NULL) {
            r->value.data[0] = '\0';
        }
        r->in_value = false;
    }
}

/* Callback of the parser for a part of a header's name. */
static int
on_header_field(http_parser *parser, const char *data, size_t len)
{
    Connection *c = parser->data;
    Request *r = &c->request;
    size_t held = 0;
    finish_header(r);
    if (r->field.len == 0) {
        r->header_count++;
        held = HEADER_OVERHEAD_BYTES;
    }
    append(&r->field, data, len);
    return count_header_bytes(c, held + len, len);
}

/* Callback of the parser for a part of a header's value. */
static int
on_header_value(http_parser *parser, const char *data, size_t len)
{
    Connection *c = parser->data;
    c->request.in_value = true;
    append(&c->request.value, data, len);
    return count_header_bytes(c, len, len);
}

/* Callback of the parser for the end of the headers. Refuses a body that is
 * announced as too long. */
static int
on_headers_complete(http_parser *parser)
{
    Connection *c = parser->data;
    Request *r = &c->request;
    finish_header(r);
    if ((parser->flags & F_CONTENTLENGTH) != 0 &&
        parser->content_length > c->server->max_body_bytes) {
        /* Not 1, which tells the parser that no body follows. */
        refuse(c, STATUS_TOO_LONG);
        return -1;
    }
    const char *expect = evhttp_find_header(&r->headers, "Expect");
    if (expect != NULL &&
        evutil_ascii_strcasecmp(expect, "100-continue") == 0) {
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return 0;
}

/* Callback of the parser for a part of the body. */
static int
on_body(http_parser *parser, const char *data, size_t len)
{
    Connection *c = parser->data;
    if (c->request.body.len + len > c->server->max_body_bytes) {
        return refuse(c, STATUS_TOO_LONG);
    }
    hold(c, append(&c->request.body, data, len));
    return c->refusal;
}

/* Callback of the parser for the end of a request. The parser is paused until
 * the request is answered. */
static int
on_message_complete(http_parser *parser)
{
    Connection *c = parser->data;
    c->request.complete = true;
    c->request.method = (enum http_method)parser->method;
    c->request.keep_alive =
        http_should_keep_alive(parser) != 0 && !parser->upgrade;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings PARSER_SETTINGS = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete};

/* Removes a connection from the list that it is in. If it had an open
 * exchange, new connections may be accepted again. */
static void
remove_from_list(Connection *c)
{
    GfServer *server = c->server;
    if (c->state != CONNECTION_HANDLED) {
        DL_DELETE(server->waiting, c);
        return;
    }
    DL_DELETE(server->handled, c);
    server->handled_count--;
    if (server->listener != NULL) {
        GfListener_Resume(server->listener);
    }
}

/* Moves a connection to the end of the list of those without an open
 * exchange, or to the list of those with one. When no connection could give
 * way to a new one, none is accepted. */
static void
set_state(Connection *c, ConnectionState state)
{
    GfServer *server = c->server;
    remove_from_list(c);
    c->state = state;
    if (state != CONNECTION_HANDLED) {
        DL_APPEND(server->waiting, c);
        return;
    }
    DL_APPEND(server->handled, c);
    server->handled_count++;
    if (server->handled_count >= server->max_connections &&
        server->listener != NULL) {
        GfListener_Pause(server->listener);
    }
}

/* Closes a connection. An answer to its exchange, if one is open, is dropped
 * later. Frees the connection unless it is in use. */
void
Connection_Close(Connection *c)
{
    GfServer *server = c->server;
    if (c->bev == NULL) {
        return;
    }
    bufferevent_free(c->bev);
    c->bev = NULL;
    Request_Clear(server, &c->request);
    if (c->exchange != NULL) {
        Server_Detach(c->exchange);
        c->exchange = NULL;
    }
    remove_from_list(c);
    server->connection_count--;
    if (!c->in_use) {
        free(c);
    }
}

/* Ends the sending side of a connection whose last answer is written, and
 * discards what still arrives until the client closes. */
static void
linger(Connection *c)
{
    set_state(c, CONNECTION_LINGERING);
    shutdown(bufferevent_getfd(c->bev), SHUT_WR);
    struct timeval limit = GfTime_ToTimeval(LINGER_MS);
    bufferevent_set_timeouts(c->bev, &limit, NULL);
    struct evbuffer *in = bufferevent_get_input(c->bev);
    c->discarded_bytes = evbuffer_get_length(in);
    evbuffer_drain(in, c->discarded_bytes);
}

/* Discards what arrived on a lingering connection, and closes it when that is
 * more than a body may have. */
static void
discard(Connection *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    size_t len = evbuffer_get_length(in);
    evbuffer_drain(in, len);
    c->discarded_bytes += len;
    if (c->discarded_bytes > c->server->max_body_bytes) {
        Connection_Close(c);
    }
}

/* Refuses the request that is being read, which the handler has not seen: it
 * is answered with a status and no body, and the connection is closed after
 * that. */
void
Connection_Refuse(Connection *c, int status)
{
    if (c->in_use) {
        /* The parser is stopped first. */
        c->refusal = status;
        return;
    }
    Server_CountRefusal(c->server);
    Request_Clear(c->server, &c->request);
    c->close_after_answer = true;
    struct evkeyvalq none;
    TAILQ_INIT(&none);
    Connection_Answer(c, status, &none, "", 0);
}

/* Parses what has arrived, up to the end of a request, which is passed to the
 * handler. May close and free the connection. */
static void
parse(Connection *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    c->in_use = true;
    while (c->state == CONNECTION_READING && evbuffer_get_length(in) > 0) {
        size_t len = evbuffer_get_contiguous_space(in);
        const char *data = (const char *)evbuffer_pullup(in, (ev_ssize_t)len);
        size_t used =
            http_parser_execute(&c->parser, &PARSER_SETTINGS, data, len);
        bool valid = HTTP_PARSER_ERRNO(&c->parser) == HPE_OK ||
                     HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED;
        evbuffer_drain(in, used);
        if (c->refusal != 0 || (!valid && !c->request.complete)) {
            c->in_use = false;
            Connection_Refuse(c, c->refusal != 0 ? c->refusal
                                                 : STATUS_BAD_REQUEST);
            return;
        }
        else if (c->request.complete) {
            set_state(c, CONNECTION_HANDLED);
            Server_Dispatch(c);
        }
        if (c->bev == NULL) {
            break;
        }
    }
    c->in_use = false;
    if (c->bev == NULL) {
        free(c);
    }
}

/* Callback of libevent for input. */
static void
on_read(struct bufferevent *bev, void *arg)
{
    (void)bev;
    Connection *c = arg;
    if (c->state == CONNECTION_READING) {
        parse(c);
    }
    else if (c->state == CONNECTION_LINGERING) {
        discard(c);
    }
}

/* Callback of libevent for output that is wholly written: reads the next
 * request, of which a part may have arrived, or ends the connection. */
static void
on_write(struct bufferevent *bev, void *arg)
{
    (void)bev;
    Connection *c = arg;
    if (c->state != CONNECTION_WRITING) {
        return;
    }
    if (c->close_after_answer) {
        linger(c);
        return;
    }
    http_parser_pause(&c->parser, 0);
    set_state(c, CONNECTION_READING);
    parse(c);
}

/* Callback of libevent for a connection that was closed by the client, failed
 * or timed out. A client that waits for its answer sends nothing. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    Connection *c = arg;
    if ((what & BEV_EVENT_TIMEOUT) != 0 && c->state == CONNECTION_HANDLED) {
        bufferevent_enable(bev, EV_READ);
        return;
    }
    Connection_Close(c);
}

/* Serves a connection, whose socket it takes over. */
void
Connection_Open(GfServer *server, evutil_socket_t fd)
{
    Connection *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->server = server;
    Request_Init(&c->request);
    http_parser_init(&c->parser, HTTP_REQUEST);
    c->parser.data = c;
    c->bev = bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (c->bev == NULL) {
        abort();
    }
    server->connection_count++;
    DL_APPEND(server->waiting, c);
    struct timeval limit = GfTime_ToTimeval(IDLE_TIMEOUT_MS);
    bufferevent_set_timeouts(c->bev, &limit, &limit);
    bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_BYTES);
    bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Adds the header Date for now. */
static void
add_date(struct evbuffer *out)
{
    char date[DATE_BYTES];
    time_t now = (time_t)(GfTime_WallMs() / 1000);
    struct tm tm;
    gmtime_r(&now, &tm);
    evutil_date_rfc1123(date, sizeof(date), &tm);
    evbuffer_add_printf(out, "Date: %s\r\n", date);
}

/* Returns the header that tells the client whether the connection stays open;
 * empty if it does by default. */
static const char *
connection_header(const Connection *c)
{
    if (c->close_after_answer) {
        return "Connection: close\r\n";
    }
    return c->parser.http_minor == 0 ? "Connection: keep-alive\r\n" : "";
}

/* Writes an answer, with the given headers and len bytes of data, which are
 * copied. The answer to HEAD has no body. */
void
Connection_Answer(Connection *c, int status, const struct evkeyvalq *headers,
                  const char *data, size_t len)
{
    struct evbuffer *out = bufferevent_get_output(c->bev);
    bool has_body = c->parser.method != HTTP_HEAD;
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        http_status_str((enum http_status)status));
    const struct evkeyval *header;
    TAILQ_FOREACH(header, headers, next)
    {
        evbuffer_add_printf(out, "%s: %s\r\n", header->key, header->value);
    }
    add_date(out);
    evbuffer_add_printf(out, "Content-Length: %zu\r\n%s\r\n", len,
                        connection_header(c));
    if (has_body) {
        evbuffer_add(out, data, len);
    }
    set_state(c, CONNECTION_WRITING);
}
