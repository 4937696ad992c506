#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

static int64_t
read_clock(clockid_t id)
{
    struct timespec t;
    clock_gettime(id, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

int64_t
wall_ms(void)
{
    return read_clock(CLOCK_REALTIME);
}

void
record(const char *who, const char *format, ...)
{
    static int fd = -1;
    static int64_t t0;
    if (fd < 0) {
        const char *path = getenv("REVIEW_RECORD");
        const char *start = getenv("REVIEW_T0");
        fd = open(path == NULL ? "record.txt" : path,
                  O_WRONLY | O_APPEND | O_CREAT, 0644);
        t0 = start == NULL ? 0 : strtoll(start, NULL, 10);
    }
    char line[1024];
    int n = snprintf(line, sizeof(line), "%lld %s ",
                     (long long)(now_ms() - t0), who);
    va_list args;
    va_start(args, format);
    n += vsnprintf(line + n, sizeof(line) - (size_t)n - 2, format, args);
    va_end(args);
    if (n > (int)sizeof(line) - 2) {
        n = (int)sizeof(line) - 2;
    }
    line[n++] = '\n';
    if (write(fd, line, (size_t)n) != n) {
        abort();
    }
}

void
reply_json(struct evhttp_request *req, int status, json_t *body)
{
    char *text = body == NULL ? strdup("{}") : json_dumps(body, JSON_COMPACT);
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    evhttp_send_reply(req, status, NULL, out);
    evbuffer_free(out);
    free(text);
    json_decref(body);
}

json_t *
request_json(struct evhttp_request *req)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    const char *data = (const char *)evbuffer_pullup(in, -1);
    return data == NULL ? NULL : json_loadb(data, len, 0, NULL);
}

/* Waits until fd is ready for what; returns false once the time is over. */
static bool
wait_for(int fd, short what, int64_t until)
{
    struct pollfd p = {.fd = fd, .events = what};
    int64_t left = until - now_ms();
    return left > 0 && poll(&p, 1, (int)left) > 0;
}

int
http_call(int port, const char *method, const char *path, const char *headers,
          const char *text, int timeout_ms, json_t **body)
{
    int64_t until = now_ms() + timeout_ms;
    if (body != NULL) {
        *body = NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    connect(fd, (struct sockaddr *)&to, sizeof(to));
    size_t text_len = text == NULL ? 0 : strlen(text);
    size_t size = text_len + 1024;
    char *out = malloc(size);
    int len = snprintf(out, size,
                       "%s %s HTTP/1.1\r\n%sContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                       method, path, headers == NULL ? "Host: x\r\n" : headers,
                       text_len, text == NULL ? "" : text);
    int sent = 0;
    while (sent < len && wait_for(fd, POLLOUT, until)) {
        ssize_t n = send(fd, out + sent, (size_t)(len - sent), MSG_NOSIGNAL);
        if (n <= 0) {
            break;
        }
        sent += (int)n;
    }
    free(out);
    size_t got = 0;
    size_t space = 65536;
    char *in = malloc(space + 1);
    bool closed = false;
    while (sent == len && !closed && wait_for(fd, POLLIN, until)) {
        if (got == space) {
            space *= 2;
            in = realloc(in, space + 1);
        }
        ssize_t n = recv(fd, in + got, space - got, 0);
        closed = n <= 0;
        got += n > 0 ? (size_t)n : 0;
    }
    close(fd);
    in[got] = '\0';
    int status = 0;
    const char *end = strstr(in, "\r\n\r\n");
    const char *length = strcasestr(in, "Content-Length:");
    if (end != NULL && sscanf(in, "HTTP/1.%*d %d", &status) == 1) {
        size_t have = got - (size_t)(end + 4 - in);
        if (length != NULL && length < end &&
            strtoull(length + 15, NULL, 10) > have) {
            status = 0;
        }
        else if (body != NULL) {
            *body = json_loadb(end + 4, have, JSON_DISABLE_EOF_CHECK, NULL);
        }
    }
    free(in);
    return status;
}

int
serve(struct event_base *base, int port,
      void (*handler)(struct evhttp_request *, void *), void *arg)
{
    struct evhttp *http = evhttp_new(base);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(http, handler, arg);
    struct evhttp_bound_socket *socket =
        evhttp_bind_socket_with_handle(http, "127.0.0.1", (uint16_t)port);
    struct sockaddr_in at;
    socklen_t len = sizeof(at);
    if (socket == NULL || getsockname(evhttp_bound_socket_get_fd(socket),
                                      (struct sockaddr *)&at, &len) != 0) {
        fprintf(stderr, "cannot listen on port %d\n", port);
        exit(2);
    }
    return ntohs(at.sin_port);
}

int
main(int argc, char **argv)
{
    const char *role = argc > 1 ? argv[1] : "";
    if (strcmp(role, "store") == 0) {
        return store_main(argc - 1, argv + 1);
    }
    if (strcmp(role, "worker") == 0) {
        return worker_main(argc - 1, argv + 1);
    }
    if (strcmp(role, "proxy") == 0) {
        return proxy_main(argc - 1, argv + 1);
    }
    if (strcmp(role, "drive") == 0) {
        return drive_main(argc - 1, argv + 1);
    }
    fprintf(stderr, "usage: standin store|worker|proxy|drive ...\n");
    return 2;
}
