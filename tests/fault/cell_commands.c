/* The operators' commands against a running entry of a cell, over the
 * stand-in of the platform. */
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "suite.h"

#define ADDRESS "127.0.0.1"
/* Apart from the ports of the other tests, which may run beside this one. */
#define PLATFORM_PORT 27810
#define ADVICE_PORT 27811
#define ENTRY_PORT 27850
#define METRICS "127.0.0.1:27853"
#define WORKERS "4"
/* An entry owns the cell and has heard its workers within a second or two. */
#define TRIES 100
#define PAUSE_US 100000
#define OUTPUT_BYTES 8192

static pid_t platform;
static pid_t entry;
static char folder[] = "/tmp/gf-cell-XXXXXX";

static pid_t
start(char *const argv[])
{
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (freopen("/dev/null", "w", stdout) == NULL) {
            _exit(126);
        }
        execv(argv[0], argv);
        _exit(127);
    }
    return pid;
}

/* Writes the entry's settings. */
static void
write_settings(const char *path)
{
    FILE *file = fopen(path, "w");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    fprintf(file,
            "ownership: token\nmember: e0\nfailure_domain: d0\n"
            "front: " ADDRESS ":%d\nready: " ADDRESS ":%d\npeer: " ADDRESS
            ":%d\nmetrics_port: %d\nstore: " ADDRESS ":%d\nadvice: " ADDRESS
            ":%d\nseeds: " ADDRESS ":%d\nstop_grace_s: 6\n"
            "longest_lease_ms: 10000\nkeep_finished_s: 120\n",
            ENTRY_PORT, ENTRY_PORT + 1, ENTRY_PORT + 2, ENTRY_PORT + 3,
            PLATFORM_PORT, ADVICE_PORT, ENTRY_PORT + 2);
    fclose(file);
}

/* Runs a command and returns its exit code; the output is kept. */
static int
run(const char *arguments, char *output)
{
    char command[512];
    snprintf(command, sizeof(command), "%s %s 2>&1", GUAVAFLOW_PROGRAM,
             arguments);
    FILE *pipe = popen(command, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(pipe);
    size_t len = fread(output, 1, OUTPUT_BYTES - 1, pipe);
    output[len] = '\0';
    int status = pclose(pipe);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Starts the platform and the entry, and waits until the cell is owned and
 * its workers are heard. */
static void
test_cell(void)
{
    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(folder));
    char path[64];
    snprintf(path, sizeof(path), "%s/entry.yaml", folder);
    write_settings(path);
    char *fleet[] = {(char *)STANDIN_PROGRAM,
                     "fleet",
                     ADDRESS,
                     "27810",
                     WORKERS,
                     "1",
                     NULL};
    platform = start(fleet);
    char *argv[] = {(char *)GUAVAFLOW_PROGRAM, "entry", "--config", path,
                    NULL};
    entry = start(argv);
    char output[OUTPUT_BYTES] = "";
    bool ready = false;
    for (int i = 0; i < TRIES && !ready; i++) {
        usleep(PAUSE_US);
        ready = run("cell --entry " METRICS, output) == 0 &&
                strstr(output, WORKERS " listed, " WORKERS " heard") != NULL;
    }
    CU_ASSERT_TRUE(ready);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "owner    e0, token "));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "store answers"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "waiting  0 steps"));
    CU_ASSERT_EQUAL(run("cell --output json --entry " METRICS, output), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "\"owner_for_ms\""));
}

/* The commands for members and failure domains work here too. */
static void
test_members_and_domains(void)
{
    char output[OUTPUT_BYTES];
    CU_ASSERT_EQUAL(run("member list --entry " METRICS, output), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "entry e0"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "rack  cell"));
    CU_ASSERT_EQUAL(run("domain list --entry " METRICS, output), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "no failure domain is out"));
}

/* A call to a port that nobody serves ends with an error, not with nothing. */
static void
test_no_entry(void)
{
    char output[OUTPUT_BYTES];
    CU_ASSERT_NOT_EQUAL(run("cell --entry 127.0.0.1:27899", output), 0);
    CU_ASSERT_TRUE(strlen(output) > 0);
    CU_ASSERT_NOT_EQUAL(run("cell --no-such-option", output), 0);
    kill(entry, SIGKILL);
    kill(platform, SIGKILL);
    waitpid(entry, NULL, 0);
    waitpid(platform, NULL, 0);
    char path[64];
    snprintf(path, sizeof(path), "%s/entry.yaml", folder);
    unlink(path);
    rmdir(folder);
}

static const SuiteTest TESTS[] = {
    {"cell", test_cell},
    {"members and domains", test_members_and_domains},
    {"no entry", test_no_entry},
};

SUITE_MAIN("cell_commands", TESTS)
