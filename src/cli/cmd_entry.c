#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <event2/event.h>

#include "cli.h"
#include "guavaflow/entry.h"
#include "guavaflow/log.h"

static char *config_path;

static struct poptOption options[] = {{"config", 'c', POPT_ARG_STRING,
                                       &config_path, 0,
                                       "the settings of this entry", "FILE"},
                                      POPT_AUTOHELP POPT_TABLEEND};

/* Begins a planned stop. */
static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfEntry_Stop(arg);
}

/* Runs the loop until a planned stop has ended. */
static int
run_loop(const GfSettings *settings)
{
    GfError error;
    struct event_base *base = event_base_new();
    GfEntry *entry = GfEntry_Create(base, settings, GfClock_System(), &error);
    int code = 0;
    if (entry == NULL) {
        code = Cli_Fail(&error);
    }
    else {
        struct event *term = evsignal_new(base, SIGTERM, on_signal, entry);
        struct event *interrupt = evsignal_new(base, SIGINT, on_signal, entry);
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

/* Runs an entry: guavaflow entry --config FILE. */
int
CmdEntry_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt = Cli_Parse("entry", argc, argv, options, "", &code);
    if (popt == NULL) {
        return code;
    }
    if (config_path == NULL || poptPeekArg(popt) != NULL) {
        return Cli_Usage(popt, "--config FILE is required, and no more");
    }
    GfError error;
    GfSettings *settings = GfSettings_Load(config_path, &error);
    poptFreeContext(popt);
    if (settings == NULL) {
        return Cli_Fail(&error);
    }
    GfLog_SetHost(settings->member);
    code = run_loop(settings);
    GfSettings_Destroy(settings);
    free(config_path);
    return code;
}

/* Checks an entry's settings: guavaflow check-config FILE. */
int
CmdCheckConfig_Run(int argc, const char **argv)
{
    static struct poptOption no_options[] = {POPT_AUTOHELP POPT_TABLEEND};
    int code = 0;
    poptContext popt =
        Cli_Parse("check-config", argc, argv, no_options, "FILE", &code);
    if (popt == NULL) {
        return code;
    }
    const char *path = poptGetArg(popt);
    if (path == NULL || poptPeekArg(popt) != NULL) {
        return Cli_Usage(popt, "one FILE is required");
    }
    GfError error;
    GfSettings *settings = GfSettings_Load(path, &error);
    if (settings == NULL) {
        code = Cli_Fail(&error);
    }
    else {
        printf("%s: the settings of %s are good\n", path, settings->member);
        GfSettings_Destroy(settings);
    }
    poptFreeContext(popt);
    return code;
}
