#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "cli.h"

static const CliCommand COMMANDS[] = {
    {"entry", "run an entry", CmdEntry_Run},
    {"check-config", "check an entry's settings", CmdCheckConfig_Run},
    {"request", "send a request to a service", CmdRequest_Run},
    {"submit", "submit a job", CmdSubmit_Run},
    {"status", "show a job", CmdStatus_Run},
    {"cancel", "cancel a job", CmdCancel_Run},
    {"bundle", "check, compare, sign and propose bundles", CmdBundle_Run},
    {"domain", "take failure domains out of service or put them back",
     CmdDomain_Run},
    {"key", "create and hash keys", CmdKey_Run},
    {"cell", "show owner, workers, jobs and teams of the cell", CmdCell_Run},
    {"member", "list entries and racks", CmdMember_Run},
    {"audit", "show and verify the audit trail", CmdAudit_Run},
    {"load", "generate load and measure it", CmdLoad_Run},
};

#define COMMAND_COUNT (sizeof(COMMANDS) / sizeof(COMMANDS[0]))

/* Prints the usage, the commands and the exit codes. */
static void
print_help(FILE *out)
{
    fprintf(out, "Usage: guavaflow COMMAND [OPTION...]\n\nCommands:\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        fprintf(out, "  %-13s %s\n", COMMANDS[i].name, COMMANDS[i].summary);
    }
    fprintf(
        out,
        "\n'guavaflow COMMAND --help' shows a command's options.\n"
        "Exit codes: 0 success, 2 usage error or bad input, 3 key refused,\n"
        "4 not found, 5 conflict or cannot ever succeed, 6 refused for now,\n"
        "7 outcome unknown or target failed, 8 bad settings, 9 internal\n"
        "error.\n");
}

/* Runs the command that the first argument names and returns its exit code. */
int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0) {
        fprintf(stderr, "guavaflow: cannot initialize libsodium\n");
        return GfError_ExitCode(GF_INTERNAL);
    }
    if (argc < 2) {
        print_help(stderr);
        return CLI_USAGE_EXIT;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
        print_help(stdout);
        return 0;
    }
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(argv[1], COMMANDS[i].name) == 0) {
            return COMMANDS[i].run(argc - 1, (const char **)argv + 1);
        }
    }
    fprintf(stderr, "guavaflow: unknown command '%s'\n\n", argv[1]);
    print_help(stderr);
    return CLI_USAGE_EXIT;
}
