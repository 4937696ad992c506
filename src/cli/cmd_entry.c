#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <event2/event.h>

#include "cli.h"
#include "guavaflow/cell_settings.h"
#include "guavaflow/entry.h"
#include "guavaflow/log.h"
#include "guavaflow/yaml.h"

static char *config_path;

static struct poptOption options[] = {
    {"config", 'c', POPT_ARG_STRING, &config_path, 0,
     "file with the settings of this entry", "FILE"},
    POPT_AUTOHELP POPT_TABLEEND};

/* Handles SIGTERM and SIGINT: starts a graceful stop of the entry. */
static void
on_stop_signal(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry_Stop(arg);
}

/* Runs an entry that settings.h describes until a graceful stop is finished.
 * Returns the exit code. */
static int
run_event_loop(const GfSettings *settings)
{
    GfError error;
    GfLog_SetProcessName(settings->member);
    struct event_base *base = event_base_new();
    GfEntry *entry = GfEntry_Create(base, settings, GfClock_System(), &error);
    int code = 0;
    if (entry == NULL) {
        code = Cli_PrintError(&error);
    }
    else {
        struct event *term =
            evsignal_new(base, SIGTERM, on_stop_signal, entry);
        struct event *interrupt =
            evsignal_new(base, SIGINT, on_stop_signal, entry);
        event_add(term, NULL);
        event_add(interrupt, NULL);
        event_base_dispatch(base);
        event_free(term);
        event_free(interrupt);
        GfEntry_Destroy(entry);
    }
    event_base_free(base);
    return code;
}

/* Runs an entry with the settings in a file, in the format of settings.h or of
 * cell_settings.h. Returns the exit code. */
static int
run_entry(const char *path)
{
    GfError error;
    GfStr text;
    if (!GfYaml_ReadFile(path, &text, &error)) {
        return Cli_PrintError(&error);
    }
    int code = 0;
    if (GfCellEntrySettings_Matches(text.data, text.len)) {
        GfCellEntrySettings *cell =
            GfCellEntrySettings_Parse(text.data, text.len, path, &error);
        code = cell == NULL ? Cli_PrintError(&error) : Cli_RunCellEntry(cell);
        GfCellEntrySettings_Destroy(cell);
    }
    else {
        GfSettings *settings =
            GfSettings_Parse(text.data, text.len, path, &error);
        code = settings == NULL ? Cli_PrintError(&error)
                                : run_event_loop(settings);
        GfSettings_Destroy(settings);
    }
    GfStr_Clear(&text);
    return code;
}

/* Checks the settings in a file, in either format, without running an entry.
 * Returns the exit code. */
static int
check_settings_file(const char *path)
{
    GfError error;
    GfStr text;
    if (!GfYaml_ReadFile(path, &text, &error)) {
        return Cli_PrintError(&error);
    }
    char member[GF_NAME_MAX_BYTES + 1] = "";
    GfCellEntrySettings *cell = NULL;
    GfSettings *settings = NULL;
    if (GfCellEntrySettings_Matches(text.data, text.len)) {
        cell = GfCellEntrySettings_Parse(text.data, text.len, path, &error);
    }
    else {
        settings = GfSettings_Parse(text.data, text.len, path, &error);
    }
    GfStr_Clear(&text);
    if (cell == NULL && settings == NULL) {
        return Cli_PrintError(&error);
    }
    snprintf(member, sizeof(member), "%s",
             cell != NULL ? cell->member : settings->member);
    GfCellEntrySettings_Destroy(cell);
    GfSettings_Destroy(settings);
    printf("%s: the settings of %s are valid\n", path, member);
    return 0;
}

/* Runs an entry: guavaflow entry [--config FILE]. Without the option, the
 * environment variable GUAVAFLOW_CONFIG holds the path of the file. */
int
CmdEntry_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt =
        Cli_ParseOptions("entry", argc, argv, options, "", &code);
    if (popt == NULL) {
        return code;
    }
    const char *path =
        config_path != NULL ? config_path : getenv("GUAVAFLOW_CONFIG");
    if (path == NULL || poptPeekArg(popt) != NULL) {
        return Cli_PrintUsageError(popt,
                                   "--config FILE or the variable "
                                   "GUAVAFLOW_CONFIG is required; no other "
                                   "argument is allowed");
    }
    poptFreeContext(popt);
    code = run_entry(path);
    free(config_path);
    config_path = NULL;
    return code;
}

/* Checks an entry's settings: guavaflow check-config FILE. */
int
CmdCheckConfig_Run(int argc, const char **argv)
{
    static struct poptOption no_options[] = {POPT_AUTOHELP POPT_TABLEEND};
    int code = 0;
    poptContext popt = Cli_ParseOptions("check-config", argc, argv, no_options,
                                        "FILE", &code);
    if (popt == NULL) {
        return code;
    }
    const char *path = poptGetArg(popt);
    if (path == NULL || poptPeekArg(popt) != NULL) {
        return Cli_PrintUsageError(popt, "one FILE is required");
    }
    code = check_settings_file(path);
    poptFreeContext(popt);
    return code;
}
