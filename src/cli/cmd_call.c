#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "guavaflow/yaml.h"

#define MAX_HEADERS 10
/* The entry's time limit ends this much before that of the call, so that its
 * answer still arrives in time. */
#define REPLY_MARGIN_MS 500

static char *idempotency_key;
static int repeatable;
static char *body_text;
static char *body_path;

static struct poptOption body_options[] = {
    {"body", 'b', POPT_ARG_STRING, &body_text, 0, "the body of the call",
     "JSON"},
    {"file", 'f', POPT_ARG_STRING, &body_path, 0, "read the body from a file",
     "FILE"},
    {"idempotency-key", 'i', POPT_ARG_STRING, &idempotency_key, 0,
     "work submitted under the same key runs at most once", "KEY"},
    POPT_TABLEEND};

static struct poptOption request_options[] = {
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, body_options, 0, "Work:", NULL},
    {"repeatable", 'r', POPT_ARG_NONE, &repeatable, 0,
     "the request may run more than once", NULL},
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0, "Call:", NULL},
    POPT_AUTOHELP POPT_TABLEEND};

static struct poptOption submit_options[] = {
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, body_options, 0, "Work:", NULL},
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0, "Call:", NULL},
    POPT_AUTOHELP POPT_TABLEEND};

static struct poptOption job_options[] = {
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0, "Call:", NULL},
    POPT_AUTOHELP POPT_TABLEEND};

/* Calls an entry with the headers that the options ask for, prints the reply
 * and returns the exit code. body may be NULL. */
static int
call_and_print(const char *method, const char *path, const char *body)
{
    char timeout[16];
    const char *headers[MAX_HEADERS] = {NULL};
    size_t n = 0;
    snprintf(timeout, sizeof(timeout), "%d",
             cli_call_options.timeout_ms > REPLY_MARGIN_MS
                 ? cli_call_options.timeout_ms - REPLY_MARGIN_MS
                 : 1);
    headers[n++] = "X-Timeout-Ms";
    headers[n++] = timeout;
    if (idempotency_key != NULL) {
        headers[n++] = "Idempotency-Key";
        headers[n++] = idempotency_key;
    }
    if (repeatable) {
        headers[n++] = "X-Repeatable";
        headers[n++] = "true";
    }
    headers[n] = NULL;
    CliReply reply;
    GfError error;
    if (!Cli_Call(method, path, body, headers, &reply, &error)) {
        return Cli_PrintError(&error);
    }
    return Cli_PrintReply(&reply);
}

/* Posts the body of --file or --body, or an empty JSON object, and returns the
 * exit code. */
static int
post_body(const char *path)
{
    GfStr file = {0};
    GfError error;
    const char *body = body_text == NULL ? "{}" : body_text;
    if (body_path != NULL) {
        if (!GfYaml_ReadFile(body_path, &file, &error)) {
            return Cli_PrintError(&error);
        }
        body = file.data;
    }
    int code = call_and_print("POST", path, body);
    GfStr_Clear(&file);
    return code;
}

/* Sends a request to a service: guavaflow request SERVICE. */
int
CmdRequest_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt = Cli_ParseOptions("request", argc, argv, request_options,
                                        "SERVICE", &code);
    if (popt == NULL) {
        return code;
    }
    const char *service = poptGetArg(popt);
    if (service == NULL || poptPeekArg(popt) != NULL) {
        return Cli_PrintUsageError(popt, "one SERVICE is required");
    }
    GfStr path = GfStr_Format("/v1/services/%s/requests", service);
    code = post_body(path.data);
    GfStr_Clear(&path);
    poptFreeContext(popt);
    return code;
}

/* Submits a job: guavaflow submit --body JSON. */
int
CmdSubmit_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt =
        Cli_ParseOptions("submit", argc, argv, submit_options, "", &code);
    if (popt == NULL) {
        return code;
    }
    if (poptPeekArg(popt) != NULL) {
        return Cli_PrintUsageError(popt,
                                   "the job is given by --body or --file");
    }
    code = post_body("/v1/jobs");
    poptFreeContext(popt);
    return code;
}

/* Runs a command whose only argument is a job id: calls /v1/jobs/ID followed
 * by suffix. */
static int
run_job_command(const char *command, const char *method, const char *suffix,
                int argc, const char **argv)
{
    int code = 0;
    poptContext popt =
        Cli_ParseOptions(command, argc, argv, job_options, "JOB", &code);
    if (popt == NULL) {
        return code;
    }
    const char *job = poptGetArg(popt);
    if (job == NULL || poptPeekArg(popt) != NULL) {
        return Cli_PrintUsageError(popt, "one JOB is required");
    }
    GfStr path = GfStr_Format("/v1/jobs/%s%s", job, suffix);
    bool post = strcmp(method, "POST") == 0;
    code = call_and_print(method, path.data, post ? "{}" : NULL);
    GfStr_Clear(&path);
    poptFreeContext(popt);
    return code;
}

/* Shows a job: guavaflow status JOB. */
int
CmdStatus_Run(int argc, const char **argv)
{
    return run_job_command("status", "GET", "", argc, argv);
}

/* Cancels a job: guavaflow cancel JOB. */
int
CmdCancel_Run(int argc, const char **argv)
{
    return run_job_command("cancel", "POST", "/cancel", argc, argv);
}
