#include "flood.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "suite.h"

#define ADDRESS "127.0.0.1"
/* Not used by other tests. */
#define PLATFORM_PORT 29610
#define PLATFORM_PORT_TEXT "29610"
#define ENTRY_PORT 29650
#define WORKERS "4"
/* The smallest machine in use. */
#define MACHINE_MEMORY_KB (160L * 1024)
#define MACHINE_DESCRIPTORS 4100
#define FILE_DESCRIPTORS 200 /* of those, kept for files */
/* With a lowered limit, this many descriptors must stay free. */
#define FREE_DESCRIPTORS 20
#define SEND_LIMIT_MS 20000
#define SEND_QUIET_MS 2000 /* sending ends if nothing is taken for so long */
#define SEND_BYTES (256UL * 1024) /* at a time and connection */
#define RECEIVE_BUFFER_BYTES 4096
#define ANSWER_LIMIT_S 15
#define START_LIMIT_MS 30000
#define PAUSE_MS 100
#define KB 1024
#define STATE_LISTEN 0x0a /* in /proc/net/tcp */
#define MS_PER_S 1000
#define NS_PER_MS 1000000L
#define US_PER_MS 1000
#define TAIL_BYTES 4096

#define CALLER_HEADERS                                                        \
    "Host: jobs.example\r\nX-Api-Key: key-desk\r\n"                           \
    "X-Guavaflow-Deadline: 10000\r\nContent-Type: application/json\r\n"

static const char JOB[] =
    "{\"spec\":\"ms=50 mcores=100\",\"steps\":[{\"count\":1,"
    "\"cpu\":100,\"memMb\":10,\"estMs\":50}]}";

/* The entry of the cell, its platform, and the end of what the entry printed.
 */
static pid_t platform;
static pid_t entry;
static char directory[32];
static pthread_t log_thread;
static int log_fd;
static atomic_long log_bytes;
static char log_tail[TAIL_BYTES + 1];
static unsigned job_number;
static char job_path[64];

/* Returns the time of a clock that only goes forward, in ms. */
static int64_t
now_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

/* Returns a socket address on loopback. */
static struct sockaddr_in
make_address(uint16_t port)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, ADDRESS, &sin.sin_addr);
    return sin;
}

/* Returns the number of KB of received and unread bytes of all connections to
 * the process's ports, also of those that it has not accepted yet. */
static long
count_unread(const FloodWatch *watch)
{
    FILE *file = fopen("/proc/net/tcp", "r");
    if (file == NULL) {
        return 0;
    }
    long sum = 0;
    char line[256];
    while (fgets(line, sizeof(line), file) != NULL) {
        unsigned port = 0;
        unsigned state = 0;
        unsigned long unread = 0;
        if (sscanf(line, " %*d: %*x:%x %*x:%*x %x %*x:%lx", &port, &state,
                   &unread) != 3 ||
            state == STATE_LISTEN) {
            continue;
        }
        for (int i = 0; i < watch->port_count; i++) {
            if (watch->ports[i] == port) {
                sum += (long)unread;
            }
        }
    }
    fclose(file);
    return sum / KB;
}

/* Returns the peak of the process's resident memory in KB; 0 if it has ended.
 */
static long
read_peak_memory(pid_t pid)
{
    char path[64];
    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    FILE *file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    long peak = 0;
    char line[256];
    while (fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmHWM: %ld kB", &peak) == 1) {
            break;
        }
    }
    fclose(file);
    return peak;
}

/* Returns the number of the process's open descriptors; 0 if it has ended. */
static int
count_descriptors(pid_t pid)
{
    char path[64];
    snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    DIR *dir = opendir(path);
    if (dir == NULL) {
        return 0;
    }
    int count = 0;
    const struct dirent *d;
    while ((d = readdir(dir)) != NULL) {
        count += d->d_name[0] != '.';
    }
    closedir(dir);
    return count;
}

/* Updates the peaks of memory, unread bytes and descriptors. */
void
FloodWatch_Sample(FloodWatch *watch)
{
    long memory = read_peak_memory(watch->pid);
    long unread = count_unread(watch);
    int descriptors = count_descriptors(watch->pid);
    if (memory > watch->peak_memory) {
        watch->peak_memory = memory;
    }
    if (unread > watch->peak_unread) {
        watch->peak_unread = unread;
    }
    if (descriptors > watch->peak_descriptors) {
        watch->peak_descriptors = descriptors;
    }
}

/* Checks that the process, a child of this one, has not ended, and that its
 * memory and descriptors stayed within their bounds. Prints the peaks. */
void
FloodWatch_Check(FloodWatch *watch, const FloodPlay *play)
{
    FloodWatch_Sample(watch);
    siginfo_t info = {0};
    waitid(P_PID, (id_t)watch->pid, &info, WEXITED | WNOHANG | WNOWAIT);
    bool runs = info.si_pid == 0;
    int descriptors_allowed = play->descriptors > 0
                                  ? play->descriptors - FREE_DESCRIPTORS
                                  : MACHINE_DESCRIPTORS - FILE_DESCRIPTORS;
    printf("\n%s: %s, memory %ld KB and unread %ld KB, %ld KB allowed, "
           "descriptors %d, %d allowed\n",
           play->name, runs ? "runs" : "has ended", watch->peak_memory,
           watch->peak_unread, MACHINE_MEMORY_KB, watch->peak_descriptors,
           descriptors_allowed);
    CU_ASSERT_TRUE(runs);
    CU_ASSERT_TRUE(watch->peak_memory > 0);
    CU_ASSERT_TRUE(watch->peak_memory + watch->peak_unread <=
                   MACHINE_MEMORY_KB);
    CU_ASSERT_TRUE(watch->peak_descriptors <= descriptors_allowed);
}

/* Returns what a connection sends, play->bytes long; the caller frees it. */
static char *
build_stream(const FloodPlay *play)
{
    char *data = malloc(play->bytes);
    if (data == NULL) {
        abort();
    }
    for (size_t done = 0; done < play->bytes;) {
        const char *part = done < play->head_len ? play->head : play->unit;
        size_t len = done < play->head_len ? play->head_len : play->unit_len;
        len = len < play->bytes - done ? len : play->bytes - done;
        memcpy(data + done, part, len);
        done += len;
    }
    return data;
}

/* Starts to connect a nonblocking socket; returns -1 if that fails. */
static int
start_connection(uint16_t port)
{
    struct sockaddr_in sin = make_address(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int size = RECEIVE_BUFFER_BYTES;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sends the next bytes of a connection, if it takes any. Returns how many it
 * took. Closes it on an error. */
static size_t
send_next(int *fd, const char *data, size_t len)
{
    ssize_t n =
        send(*fd, data, len < SEND_BYTES ? len : SEND_BYTES, MSG_NOSIGNAL);
    if (n >= 0) {
        return (size_t)n;
    }
    if (errno != EAGAIN && errno != EINTR) {
        close(*fd);
        *fd = -1;
    }
    return 0;
}

/* Opens the connections and sends on each until all is sent, the process has
 * closed it, or no connection takes any more. Answers are not read. The
 * connections stay open until FloodCrowd_Close. */
void
FloodCrowd_Send(FloodCrowd *crowd, const FloodPlay *play, uint16_t port,
                FloodWatch *watch)
{
    char *data = build_stream(play);
    size_t sent[FLOOD_MAX_CONNECTIONS] = {0};
    size_t total = 0;
    crowd->count = play->connections;
    for (int i = 0; i < crowd->count; i++) {
        crowd->fds[i] = start_connection(port);
    }
    int64_t start = now_ms();
    int64_t progress_at = start;
    int64_t sampled_at = 0;
    while (now_ms() - start < SEND_LIMIT_MS &&
           now_ms() - progress_at < SEND_QUIET_MS) {
        struct pollfd polls[FLOOD_MAX_CONNECTIONS];
        for (int i = 0; i < crowd->count; i++) {
            bool open = crowd->fds[i] >= 0 && sent[i] < play->bytes;
            polls[i] = (struct pollfd){.fd = open ? crowd->fds[i] : -1,
                                       .events = POLLOUT};
        }
        poll(polls, (nfds_t)crowd->count, PAUSE_MS);
        for (int i = 0; i < crowd->count; i++) {
            if (polls[i].fd < 0 || polls[i].revents == 0) {
                continue;
            }
            size_t n = send_next(&crowd->fds[i], data + sent[i],
                                 play->bytes - sent[i]);
            sent[i] += n;
            total += n;
            progress_at = n > 0 ? now_ms() : progress_at;
        }
        if (now_ms() - sampled_at >= PAUSE_MS) {
            FloodWatch_Sample(watch);
            sampled_at = now_ms();
        }
    }
    int open = 0;
    for (int i = 0; i < crowd->count; i++) {
        open += crowd->fds[i] >= 0;
    }
    printf("\n%s: %zu KB sent, %d of %d connections open", play->name,
           total / KB, open, crowd->count);
    fflush(stdout);
    free(data);
}

/* Closes the connections that are still open. */
void
FloodCrowd_Close(FloodCrowd *crowd)
{
    for (int i = 0; i < crowd->count; i++) {
        if (crowd->fds[i] >= 0) {
            close(crowd->fds[i]);
        }
    }
    crowd->count = 0;
}

/* Connects a blocking socket, whose calls wait at most ANSWER_LIMIT_S each.
 * Returns -1 if that fails. */
int
Flood_Connect(uint16_t port)
{
    struct sockaddr_in sin = make_address(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval limit = {.tv_sec = ANSWER_LIMIT_S};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sends all bytes; returns false if the connection fails. */
bool
Flood_SendAll(int fd, const char *data, size_t len)
{
    for (size_t done = 0; done < len;) {
        ssize_t n = send(fd, data + done, len - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += (size_t)n;
    }
    return true;
}

/* Reads what has arrived, waiting until there is something. Ends it with a
 * null byte and returns its length; 0 if the connection is closed. */
size_t
Flood_ReadAnswer(int fd, char *text, size_t size)
{
    ssize_t n = recv(fd, text, size - 1, 0);
    text[n > 0 ? n : 0] = '\0';
    return n > 0 ? (size_t)n : 0;
}

/* Makes a request on a new connection and returns the HTTP status of the
 * answer; 0 if there is none. headers: lines with their ends. */
int
Flood_Request(uint16_t port, const char *method, const char *path,
              const char *headers, const char *body)
{
    char head[1024];
    int len = snprintf(head, sizeof(head),
                       "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n"
                       "Connection: close\r\n\r\n",
                       method, path, headers, strlen(body));
    int status = 0;
    int fd = Flood_Connect(port);
    if (fd < 0) {
        return 0;
    }
    char answer[1024];
    if (Flood_SendAll(fd, head, (size_t)len) &&
        Flood_SendAll(fd, body, strlen(body)) &&
        Flood_ReadAnswer(fd, answer, sizeof(answer)) > 0) {
        sscanf(answer, "HTTP/1.%*d %d", &status);
    }
    close(fd);
    return status;
}

/* Sets options of the address sanitizer for processes started from now on:
 * without its list of freed blocks and its stack traces, memory is that of the
 * product. */
void
Flood_LimitSanitizer(void)
{
    const char *inherited = getenv("ASAN_OPTIONS");
    char options[512];
    snprintf(options, sizeof(options),
             "%s%squarantine_size_mb=1:malloc_context_size=0",
             inherited == NULL ? "" : inherited, inherited == NULL ? "" : ":");
    setenv("ASAN_OPTIONS", options, 1);
}

/* Thread that reads what the entry prints. Counts the bytes and keeps the last
 * ones. */
static void *
read_log(void *arg)
{
    (void)arg;
    char data[TAIL_BYTES];
    ssize_t n;
    while ((n = read(log_fd, data, sizeof(data))) > 0) {
        log_bytes += n;
        size_t old = strlen(log_tail);
        size_t keep = TAIL_BYTES - (size_t)n;
        keep = keep < old ? keep : old;
        memmove(log_tail, log_tail + old - keep, keep);
        memcpy(log_tail + keep, data, (size_t)n);
        log_tail[keep + (size_t)n] = '\0';
    }
    return NULL;
}

/* Starts a program that ends with this one and prints to a descriptor. Its
 * limit of open descriptors is lowered to descriptors unless that is 0. */
static pid_t
start_process(char *const argv[], int output, int descriptors)
{
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        struct rlimit limit = {(rlim_t)descriptors, (rlim_t)descriptors};
        if (dup2(output, STDOUT_FILENO) < 0 ||
            dup2(output, STDERR_FILENO) < 0 ||
            (descriptors > 0 && setrlimit(RLIMIT_NOFILE, &limit) != 0)) {
            _exit(126);
        }
        execv(argv[0], argv);
        _exit(127);
    }
    return pid;
}

/* Returns a port of the entry. */
uint16_t
FloodCell_Port(FloodPort port)
{
    return (uint16_t)(ENTRY_PORT + (int)port);
}

/* Submits a job under a new id and returns the status of the answer. */
int
FloodCell_Submit(const char *body)
{
    job_number++;
    snprintf(job_path, sizeof(job_path), "/quick/%016x", job_number);
    return Flood_Request(FloodCell_Port(FLOOD_FRONT), "POST", job_path,
                         CALLER_HEADERS, body);
}

/* Starts the platform, gives it a configuration, starts the entry and waits
 * until it accepts a job. descriptors: the entry's limit; 0: that of the
 * smallest machine. FloodCell_Stop ends the processes. */
void
FloodCell_Start(int descriptors)
{
    static const char CONFIG[] =
        "{\"version\":1,\"routes\":[{\"name\":\"quick\",\"host\":"
        "\"jobs.example\",\"pathPrefix\":\"/quick/\",\"service\":\"plan\","
        "\"priority\":0,\"maxAttempts\":3,\"targetLatencyMs\":300,"
        "\"stretch\":2.0}],\"services\":[{\"name\":\"plan\"}],"
        "\"tenants\":[{\"name\":\"desk\",\"apiKeys\":[\"key-desk\"],"
        "\"weight\":1,\"maximum\":{}}]}";
    Flood_LimitSanitizer();
    strcpy(directory, "/tmp/gf-flood-XXXXXX");
    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(directory));
    char path[64];
    snprintf(path, sizeof(path), "%s/entry.yaml", directory);
    FILE *file = fopen(path, "w");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    fprintf(file,
            "ownership: token\nmember: e0\nfailure_domain: d0\n"
            "front: " ADDRESS ":%d\nready: " ADDRESS ":%d\npeer: " ADDRESS
            ":%d\nmetrics_port: %d\nstore: " ADDRESS ":%d\nadvice: " ADDRESS
            ":%d\nseeds: " ADDRESS ":%d\nstop_grace_s: 6\n"
            "longest_lease_ms: 10000\nkeep_finished_s: 120\n",
            FloodCell_Port(FLOOD_FRONT), FloodCell_Port(FLOOD_READY),
            FloodCell_Port(FLOOD_PEER), FloodCell_Port(FLOOD_METRICS),
            PLATFORM_PORT, PLATFORM_PORT + 1, FloodCell_Port(FLOOD_PEER));
    fclose(file);
    char *fleet[] = {(char *)STANDIN_PROGRAM,
                     "fleet",
                     ADDRESS,
                     PLATFORM_PORT_TEXT,
                     WORKERS,
                     "1",
                     NULL};
    int null = open("/dev/null", O_WRONLY | O_CLOEXEC);
    platform = start_process(fleet, null, 0);
    close(null);
    int pipes[2];
    CU_ASSERT_EQUAL_FATAL(pipe2(pipes, O_CLOEXEC), 0);
    char *argv[] = {(char *)GUAVAFLOW_PROGRAM, "entry", "--config", path,
                    NULL};
    entry = start_process(argv, pipes[1],
                          descriptors > 0 ? descriptors : MACHINE_DESCRIPTORS);
    close(pipes[1]);
    log_fd = pipes[0];
    log_bytes = 0;
    log_tail[0] = '\0';
    pthread_create(&log_thread, NULL, read_log, NULL);
    int status = 0;
    int64_t end = now_ms() + START_LIMIT_MS;
    while (status != 200 && now_ms() < end) {
        usleep(PAUSE_MS * US_PER_MS);
        status =
            Flood_Request(PLATFORM_PORT, "POST", "/test/config", "", CONFIG);
    }
    CU_ASSERT_EQUAL(status, 200);
    status = 0;
    while (status != 200 && now_ms() < end) {
        usleep(PAUSE_MS * US_PER_MS);
        status = FloodCell_Submit(JOB);
    }
    CU_ASSERT_EQUAL(status, 200);
}

/* Ends the processes. Prints the end of the entry's log if it had ended by
 * itself. */
void
FloodCell_Stop(void)
{
    bool ended = waitpid(entry, NULL, WNOHANG) != 0;
    if (!ended) {
        kill(entry, SIGKILL);
        waitpid(entry, NULL, 0);
    }
    kill(platform, SIGKILL);
    waitpid(platform, NULL, 0);
    pthread_join(log_thread, NULL);
    close(log_fd);
    if (ended) {
        printf("\nthe entry has ended; its log ends with:\n%s\n", log_tail);
    }
    char path[64];
    snprintf(path, sizeof(path), "%s/entry.yaml", directory);
    unlink(path);
    rmdir(directory);
}

/* Checks that ordinary requests on new connections are answered: a job is
 * accepted and its state is known, and the readiness check and the metrics are
 * served. A submission may be refused for a while, as callers try again, but
 * each must get an answer. */
void
FloodCell_CheckOrdinary(void)
{
    int64_t end = now_ms() + (int64_t)ANSWER_LIMIT_S * MS_PER_S;
    int submitted = FloodCell_Submit(JOB);
    while (submitted > 200 && now_ms() < end) {
        usleep(PAUSE_MS * US_PER_MS);
        submitted = FloodCell_Submit(JOB);
    }
    int state = Flood_Request(FloodCell_Port(FLOOD_FRONT), "GET", job_path,
                              CALLER_HEADERS, "");
    int ready =
        Flood_Request(FloodCell_Port(FLOOD_READY), "GET", "/v1/ready", "", "");
    int metrics = Flood_Request(FloodCell_Port(FLOOD_METRICS), "GET",
                                "/metrics", "", "");
    printf("\nordinary requests: job %d, state %d, ready %d, metrics %d",
           submitted, state, ready, metrics);
    CU_ASSERT_EQUAL(submitted, 200);
    CU_ASSERT_EQUAL(state, 200);
    CU_ASSERT_NOT_EQUAL(ready, 0);
    CU_ASSERT_EQUAL(metrics, 200);
}

/* Begins to observe the entry of the cell. */
void
FloodCell_Watch(FloodWatch *watch)
{
    *watch = (FloodWatch){.pid = entry, .port_count = FLOOD_MAX_PORTS};
    for (int i = 0; i < FLOOD_MAX_PORTS; i++) {
        watch->ports[i] = FloodCell_Port((FloodPort)i);
    }
}

/* Starts a cell, sends what the play says, checks the entry while the crowd's
 * connections are open, and ends the cell. */
void
FloodCell_Play(const FloodPlay *play)
{
    FloodCell_Start(play->descriptors);
    FloodWatch watch;
    FloodCell_Watch(&watch);
    FloodCrowd crowd;
    FloodCrowd_Send(&crowd, play, FloodCell_Port(play->port), &watch);
    FloodCell_CheckOrdinary();
    FloodWatch_Check(&watch, play);
    FloodCrowd_Close(&crowd);
    FloodCell_Stop();
    printf("%s: log of %ld bytes\n", play->name, log_bytes);
    CU_ASSERT_TRUE(play->max_log_bytes == 0 ||
                   log_bytes <= play->max_log_bytes);
}

/* Plays one after the other, each with a new cell. */
void
FloodCell_PlayAll(const FloodPlay *plays, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        FloodCell_Play(&plays[i]);
    }
}
