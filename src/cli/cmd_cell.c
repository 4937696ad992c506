/* Prints the state of a cell: guavaflow cell --entry ADDRESS:PORT. The port is
 * the entry's metrics port, not that for callers. */
#include <stdio.h>
#include <stdlib.h>

#include "cli.h"

static struct poptOption options[] = {
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0, "Call:", NULL},
    POPT_AUTOHELP POPT_TABLEEND};

/* Returns a string member of a JSON object, which still owns it; "-" if it is
 * missing or empty. */
static const char *
string_member(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text == NULL || text[0] == '\0' ? "-" : text;
}

/* Returns an integer member of a JSON object, 0 if there is none. */
static long long
integer_member(const json_t *body, const char *name)
{
    return (long long)json_integer_value(json_object_get(body, name));
}

/* Prints the members of an object of counts on the rest of the line. */
static void
print_counts(const json_t *counts)
{
    const char *name;
    json_t *count;
    json_object_foreach((json_t *)counts, name, count)
    {
        printf(" %s %lld", name, (long long)json_integer_value(count));
    }
    printf("\n");
}

/* Prints the part of the state that only the owner of the cell has. */
static void
print_cell(const json_t *cell)
{
    printf("workers  %lld listed, %lld heard%s\n",
           integer_member(cell, "workers_listed"),
           integer_member(cell, "workers_heard"),
           json_is_true(json_object_get(cell, "in_doubt"))
               ? ", some unconfirmed since the last takeover"
               : "");
    printf("running  %lld tasks\njobs    ",
           integer_member(cell, "tasks_running"));
    print_counts(json_object_get(cell, "jobs"));
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(cell, "teams"), i, item)
    {
        const json_t *used = json_object_get(item, "used");
        const json_t *limit = json_object_get(item, "limit");
        printf("team     %-20s mcores %lld of %lld, memory_mb %lld of %lld, "
               "jobs",
               string_member(item, "team"), integer_member(used, "mcores"),
               integer_member(limit, "mcores"),
               integer_member(used, "memory_mb"),
               integer_member(limit, "memory_mb"));
        print_counts(json_object_get(item, "jobs"));
    }
    printf("waiting  %lld steps\n", integer_member(cell, "steps_waiting"));
    json_array_foreach(json_object_get(cell, "waiting"), i, item)
    {
        printf("  job %s step %lld: %lld tasks of %s for %lld ms, for %s\n",
               string_member(item, "job"), integer_member(item, "step"),
               integer_member(item, "tasks"), string_member(item, "team"),
               integer_member(item, "waited_ms"),
               string_member(item, "waits_for"));
    }
    json_array_foreach(json_object_get(cell, "interference"), i, item)
    {
        printf("slowed   %s by %s: %.1f times, %lld tasks now",
               string_member(item, "victim"), string_member(item, "disturber"),
               json_real_value(json_object_get(item, "factor")),
               integer_member(item, "tasks"));
        size_t t;
        json_t *team;
        json_array_foreach(json_object_get(item, "teams"), t, team)
        {
            printf("%s %s", t == 0 ? ", of" : "", json_string_value(team));
        }
        printf("\n");
    }
}

/* Prints the entry, the owner of the cell with its token and the time since it
 * took over or since the last contact and, if the entry is the owner, workers,
 * jobs, teams and waiting steps. */
int
CmdCell_Run(int argc, const char **argv)
{
    int code = 0;
    CliReply reply;
    GfError error;
    poptContext popt =
        Cli_ParseOptions("cell", argc, argv, options, "", &code);
    if (popt == NULL) {
        return code;
    }
    poptFreeContext(popt);
    if (!Cli_Call("GET", "/state", NULL, NULL, &reply, &error)) {
        return Cli_PrintError(&error);
    }
    if (Cli_WantsJson() || json_object_get(reply.body, "member") == NULL) {
        return Cli_PrintReply(&reply);
    }
    const json_t *cell = json_object_get(reply.body, "cell");
    printf("entry    %s, configuration %lld, store %s\n",
           string_member(reply.body, "member"),
           integer_member(reply.body, "config_version"),
           json_is_true(json_object_get(reply.body, "store_answers"))
               ? "answers"
               : "does not answer");
    printf("owner    %s, token %lld, ", string_member(reply.body, "owner"),
           integer_member(reply.body, "token"));
    if (cell == NULL) {
        printf("last contact %lld ms ago; ask it for jobs and workers\n",
               integer_member(reply.body, "owner_silent_ms"));
    }
    else {
        printf("for %lld ms\n", integer_member(reply.body, "owner_for_ms"));
        print_cell(cell);
    }
    json_decref(reply.body);
    return 0;
}
