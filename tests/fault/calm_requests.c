/* Bounds for clients that don't behave which also refuse or cut off single
 * requests within the limits: large, chunked, pipelined, with unusual but
 * valid headers or of another version of HTTP. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "flood.h"
#include "suite.h"

#define JOB_BYTES 1000000UL
#define OVER_BYTES 1500000UL
#define SMALL_CHUNK_BYTES 1000UL
#define PIPELINED 100
#define ANSWER_BYTES 65536
#define STATUS_OK 200
#define STATUS_CONTINUE 100
#define CALLER                                                                \
    "Host: jobs.example\r\nX-Api-Key: key-desk\r\n"                           \
    "X-Guavaflow-Deadline: 10000\r\nContent-Type: application/json\r\n"

static const char JOB[] =
    "{\"spec\":\"ms=50 mcores=100\",\"steps\":[{\"count\":1,"
    "\"cpu\":100,\"memMb\":10,\"estMs\":50}]}";
static unsigned job_number = 0xc0000;

/* Returns a job of len bytes, most of which are spaces; the caller frees it.
 */
static char *
make_job(size_t len)
{
    char *text = malloc(len + 1);
    memset(text, ' ', len);
    memcpy(text, JOB, sizeof(JOB) - 1);
    text[len] = '\0';
    return text;
}

/* Returns the status of the first answer in a text; 0 if there is none. */
static int
parse_status(const char *text)
{
    int status = 0;
    sscanf(text, "HTTP/1.%*d %d", &status);
    return status;
}

/* Sends a request line for a method and a new job, with further headers, and
 * returns the connection, or -1. */
static int
begin_request(const char *method, const char *version, const char *headers)
{
    int fd = Flood_Connect(FloodCell_Port(FLOOD_FRONT));
    char head[1024];
    int len = snprintf(head, sizeof(head),
                       "%s /quick/%016x HTTP/%s\r\n" CALLER "%s\r\n", method,
                       ++job_number, version, headers);
    CU_ASSERT_TRUE(fd >= 0 && Flood_SendAll(fd, head, (size_t)len));
    return fd;
}

/* Reads an answer and returns its status; closes the connection. */
static int
end_request(int fd)
{
    char text[ANSWER_BYTES];
    Flood_ReadAnswer(fd, text, sizeof(text));
    close(fd);
    return parse_status(text);
}

/* Starts the cell, which the other tests use. */
static void
test_start(void)
{
    FloodCell_Start(0);
}

/* A body close to the limit, with its length announced. */
static void
test_large_body(void)
{
    char *job = make_job(JOB_BYTES);
    CU_ASSERT_EQUAL(FloodCell_Submit(job), STATUS_OK);
    free(job);
}

/* Sends a job in chunks of a size and returns the status. */
static int
submit_chunked(size_t chunk_bytes)
{
    char *job = make_job(JOB_BYTES);
    int fd = begin_request("POST", "1.1", "Transfer-Encoding: chunked\r\n");
    bool sent = true;
    for (size_t done = 0; done < JOB_BYTES && sent; done += chunk_bytes) {
        char mark[32];
        int len = snprintf(mark, sizeof(mark), "%zx\r\n", chunk_bytes);
        sent = Flood_SendAll(fd, mark, (size_t)len) &&
               Flood_SendAll(fd, job + done, chunk_bytes) &&
               Flood_SendAll(fd, "\r\n", 2);
    }
    CU_ASSERT_TRUE(sent && Flood_SendAll(fd, "0\r\n\r\n", 5));
    free(job);
    return end_request(fd);
}

/* Bodies close to the limit in one chunk and in many. */
static void
test_chunked_body(void)
{
    CU_ASSERT_EQUAL(submit_chunked(JOB_BYTES), STATUS_OK);
    CU_ASSERT_EQUAL(submit_chunked(SMALL_CHUNK_BYTES), STATUS_OK);
}

/* Requests sent ahead on one connection, whose answers are read afterwards. */
static void
test_pipelined(void)
{
    char headers[128];
    snprintf(headers, sizeof(headers), "Content-Length: %zu\r\n",
             sizeof(JOB) - 1);
    int fd = begin_request("POST", "1.1", headers);
    CU_ASSERT_TRUE(Flood_SendAll(fd, JOB, sizeof(JOB) - 1));
    CU_ASSERT_EQUAL(end_request(fd), STATUS_OK);
    fd = Flood_Connect(FloodCell_Port(FLOOD_FRONT));
    char text[ANSWER_BYTES];
    for (int i = 0; i < PIPELINED; i++) {
        int len = snprintf(text, sizeof(text),
                           "GET /quick/%016x HTTP/1.1\r\n" CALLER "\r\n",
                           job_number);
        CU_ASSERT_TRUE(Flood_SendAll(fd, text, (size_t)len));
    }
    size_t used = 0;
    int answers = 0;
    while (answers < PIPELINED) {
        size_t n = Flood_ReadAnswer(fd, text + used, sizeof(text) - used);
        if (n == 0) {
            break;
        }
        used += n;
        answers = 0;
        for (const char *p = text; (p = strstr(p, "HTTP/1.1 ")) != NULL; p++) {
            answers += parse_status(p) == STATUS_OK;
        }
    }
    printf("%d of %d answers", answers, PIPELINED);
    CU_ASSERT_EQUAL(answers, PIPELINED);
    close(fd);
}

/* A client that asks before it sends the body. */
static void
test_expect_continue(void)
{
    char headers[128];
    snprintf(headers, sizeof(headers),
             "Expect: 100-continue\r\nContent-Length: %zu\r\n",
             sizeof(JOB) - 1);
    int fd = begin_request("POST", "1.1", headers);
    char text[ANSWER_BYTES];
    Flood_ReadAnswer(fd, text, sizeof(text));
    CU_ASSERT_EQUAL(parse_status(text), STATUS_CONTINUE);
    CU_ASSERT_TRUE(Flood_SendAll(fd, JOB, sizeof(JOB) - 1));
    CU_ASSERT_EQUAL(end_request(fd), STATUS_OK);
}

/* HTTP/1.0, HEAD, and a connection that is closed after the answer. */
static void
test_other_requests(void)
{
    char headers[128];
    snprintf(headers, sizeof(headers), "Content-Length: %zu\r\n",
             sizeof(JOB) - 1);
    int fd = begin_request("POST", "1.0", headers);
    CU_ASSERT_TRUE(Flood_SendAll(fd, JOB, sizeof(JOB) - 1));
    CU_ASSERT_EQUAL(end_request(fd), STATUS_OK);
    CU_ASSERT_TRUE(end_request(begin_request("HEAD", "1.1", "")) >= STATUS_OK);
    snprintf(headers, sizeof(headers),
             "Connection: close\r\nContent-Length: %zu\r\n", sizeof(JOB) - 1);
    fd = begin_request("POST", "1.1", headers);
    CU_ASSERT_TRUE(Flood_SendAll(fd, JOB, sizeof(JOB) - 1));
    char text[ANSWER_BYTES];
    size_t used = 0;
    size_t n;
    while (used + 1 < sizeof(text) &&
           (n = Flood_ReadAnswer(fd, text + used, sizeof(text) - used)) > 0) {
        used += n;
    }
    CU_ASSERT_EQUAL(parse_status(text), STATUS_OK);
    char end;
    CU_ASSERT_EQUAL(read(fd, &end, 1), 0);
    close(fd);
}

/* A body over the limit is refused, and the next request is served. */
static void
test_over_limit(void)
{
    char *job = make_job(OVER_BYTES);
    int status = FloodCell_Submit(job);
    free(job);
    printf("status %d", status);
    CU_ASSERT_TRUE(status == 0 || (status >= 400 && status < 500));
    FloodCell_CheckOrdinary();
}

/* Ends the cell. */
static void
test_stop(void)
{
    FloodCell_Stop();
}

static const SuiteTest TESTS[] = {
    {"start", test_start},
    {"large body", test_large_body},
    {"chunked body", test_chunked_body},
    {"pipelined", test_pipelined},
    {"expect continue", test_expect_continue},
    {"other requests", test_other_requests},
    {"over the limit", test_over_limit},
    {"stop", test_stop},
};

SUITE_MAIN("calm_requests", TESTS)
