/* The command line: one table of commands, each with its own options. */
#ifndef GUAVAFLOW_CLI_H
#define GUAVAFLOW_CLI_H

#include <jansson.h>
#include <popt.h>

#include "guavaflow/cell_settings.h"
#include "guavaflow/error.h"
#include "guavaflow/name.h"

#define CLI_USAGE_EXIT 2

typedef struct {
    const char *name;
    const char *summary;
    int (*run)(int argc, const char **argv);
} CliCommand;

/* Options that every command which calls an entry has. */
typedef struct {
    char *entry;
    char *key;
    char *output;
    int timeout_ms;
} CliTarget;

extern CliTarget cli_target;
extern struct poptOption cli_target_options[];

poptContext Cli_Parse(const char *command, int argc, const char **argv,
                      const struct poptOption *options, const char *arguments,
                      int *exit_code);
int Cli_Fail(const GfError *error);
int Cli_Usage(poptContext popt, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* An answer to a call, with the caller's reference to its body. */
typedef struct {
    int status;
    json_t *body;
} CliReply;

bool Cli_Call(const char *method, const char *path, const char *body,
              const char *const *headers, CliReply *reply, GfError *error);
int Cli_Show(const CliReply *reply);
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
