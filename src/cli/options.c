#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define DEFAULT_TIMEOUT_MS 10000
#define PROGRAM_NAME_BYTES 64

CliCallOptions cli_call_options = {.timeout_ms = DEFAULT_TIMEOUT_MS};

struct poptOption cli_call_option_table[] = {
    {"entry", 'e', POPT_ARG_STRING, &cli_call_options.entry, 0,
     "the entry to call (default 127.0.0.1:8000)", "ADDRESS:PORT"},
    {"key", 'k', POPT_ARG_STRING, &cli_call_options.key, 0,
     "the API key (default: the environment variable GUAVAFLOW_KEY)", "KEY"},
    {"output", 'o', POPT_ARG_STRING, &cli_call_options.output, 0,
     "output format, text or json (default text)", "FORM"},
    {"timeout-ms", 't', POPT_ARG_INT, &cli_call_options.timeout_ms, 0,
     "timeout for the reply in milliseconds (default 10000)", "MS"},
    POPT_TABLEEND};

/* Parses the options of a command and sets argv[0] to "guavaflow COMMAND".
 * arguments describes the other arguments for --help. Returns the context,
 * from which the caller reads these arguments and which it frees. On a usage
 * error prints it, sets *exit_code and returns NULL. --help exits the process.
 */
poptContext
Cli_ParseOptions(const char *command, int argc, const char **argv,
                 const struct poptOption *options, const char *arguments,
                 int *exit_code)
{
    static char name[PROGRAM_NAME_BYTES];
    snprintf(name, sizeof(name), "guavaflow %s", command);
    argv[0] = name;
    poptContext popt = poptGetContext(name, argc, argv, options, 0);
    poptSetOtherOptionHelp(popt, arguments);
    int rc = poptGetNextOpt(popt);
    if (rc < -1) {
        fprintf(stderr, "%s: %s: %s\n", name,
                poptBadOption(popt, POPT_BADOPTION_NOALIAS), poptStrerror(rc));
        fprintf(stderr, "'%s --help' lists the allowed options.\n", name);
        poptFreeContext(popt);
        *exit_code = CLI_USAGE_EXIT;
        return NULL;
    }
    if (cli_call_options.output != NULL &&
        strcmp(cli_call_options.output, "text") != 0 &&
        strcmp(cli_call_options.output, "json") != 0) {
        fprintf(stderr, "%s: --output is \"%s\"; allowed are text and json\n",
                name, cli_call_options.output);
        poptFreeContext(popt);
        *exit_code = CLI_USAGE_EXIT;
        return NULL;
    }
    return popt;
}

/* Prints an error to standard error and returns the exit code of its kind. */
int
Cli_PrintError(const GfError *error)
{
    fprintf(stderr, "guavaflow: %s\n", error->text);
    return GfError_ExitCode(error->kind);
}

/* Prints a formatted usage error and the usage, frees the context and returns
 * CLI_USAGE_EXIT. */
int
Cli_PrintUsageError(poptContext popt, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(stderr, "guavaflow: ");
    vfprintf(stderr, format, args);
    fprintf(stderr, "\n");
    va_end(args);
    poptPrintUsage(popt, stderr, 0);
    poptFreeContext(popt);
    return CLI_USAGE_EXIT;
}

/* Returns true if --output json is given. */
bool
Cli_WantsJson(void)
{
    return cli_call_options.output != NULL &&
           strcmp(cli_call_options.output, "json") == 0;
}
