/* The command line. main.c holds the table of commands; each cmd_*.c
 * implements some of them. Most commands make one HTTP call to an entry, print
 * the reply and exit with the exit code of its error kind. Errors go to
 * standard error. */
#ifndef GUAVAFLOW_CLI_H
#define GUAVAFLOW_CLI_H

#include <jansson.h>
#include <popt.h>

#include "guavaflow/cell_settings.h"
#include "guavaflow/error.h"
#include "guavaflow/name.h"

/* Exit code for wrong arguments, the same as that of GF_BAD_REQUEST. */
#define CLI_USAGE_EXIT 2

/* One command. argv[0] is the name of the command; run returns the exit
 * code. */
typedef struct {
    const char *name;
    const char *summary;
    int (*run)(int argc, const char **argv);
} CliCommand;

/* Options that all commands which call an entry share. entry is ADDRESS:PORT,
 * key the API key, output "text" or "json". A text is NULL if its option is
 * not given. */
typedef struct {
    char *entry;
    char *key;
    char *output;
    int timeout_ms;
} CliCallOptions;

/* Set by Cli_ParseOptions for commands that include cli_call_option_table. */
extern CliCallOptions cli_call_options;
extern struct poptOption cli_call_option_table[];

poptContext Cli_ParseOptions(const char *command, int argc, const char **argv,
                             const struct poptOption *options,
                             const char *arguments, int *exit_code);
int Cli_PrintError(const GfError *error);
int Cli_PrintUsageError(poptContext popt, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* The reply to a call: the HTTP status, and the body as JSON, or as a JSON
 * string if it is not JSON. The receiver owns the reference to body. */
typedef struct {
    int status;
    json_t *body;
} CliReply;

bool Cli_Call(const char *method, const char *path, const char *body,
              const char *const *headers, CliReply *reply, GfError *error);
int Cli_PrintReply(const CliReply *reply);
bool Cli_WantsJson(void);

int Cli_RunCellEntry(const GfCellEntrySettings *settings);

int CmdEntry_Run(int argc, const char **argv);
int CmdCheckConfig_Run(int argc, const char **argv);
int CmdRequest_Run(int argc, const char **argv);
int CmdSubmit_Run(int argc, const char **argv);
int CmdStatus_Run(int argc, const char **argv);
int CmdCancel_Run(int argc, const char **argv);
int CmdBundle_Run(int argc, const char **argv);
int CmdDomain_Run(int argc, const char **argv);
int CmdCell_Run(int argc, const char **argv);
int CmdMember_Run(int argc, const char **argv);
int CmdAudit_Run(int argc, const char **argv);
int CmdKey_Run(int argc, const char **argv);
int CmdLoad_Run(int argc, const char **argv);

#endif
