#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "guavaflow/bundle.h"
#include "guavaflow/sign.h"

static struct poptOption options[] = {
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0, "Call:", NULL},
    POPT_AUTOHELP POPT_TABLEEND};

static struct poptOption no_options[] = {POPT_AUTOHELP POPT_TABLEEND};

/* Calls an administration path with GET. Returns true with the reply, whose
 * body the caller releases. If the call fails or is refused, or with --output
 * json, prints the result, sets *code and returns false. */
static bool
get_reply(const char *path, CliReply *reply, int *code)
{
    GfError error;
    if (!Cli_Call("GET", path, NULL, NULL, reply, &error)) {
        *code = Cli_PrintError(&error);
        return false;
    }
    if (json_object_get(reply->body, "kind") != NULL || Cli_WantsJson()) {
        *code = Cli_PrintReply(reply);
        return false;
    }
    return true;
}

/* Returns a string member of a JSON object, which still owns it; the empty
 * string if there is none. */
static const char *
string_member(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text == NULL ? "" : text;
}

/* Posts a change, taking over the reference to body, and prints whether all
 * entries apply it. Returns the exit code: that of GF_NOT_CONFIRMED if it is
 * committed but some entries do not apply it yet. */
static int
post_change(const char *path, json_t *body)
{
    CliReply reply;
    GfError error;
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    bool called = Cli_Call("POST", path, text, NULL, &reply, &error);
    free(text);
    if (!called) {
        return Cli_PrintError(&error);
    }
    json_t *in_force = json_object_get(reply.body, "in_force");
    if (in_force == NULL || Cli_WantsJson()) {
        return Cli_PrintReply(&reply);
    }
    printf(
        "version %lld is %s\n",
        (long long)json_integer_value(json_object_get(reply.body, "version")),
        json_is_true(in_force) ? "in force everywhere"
                               : "committed, but not yet in force at:");
    size_t i;
    json_t *name;
    json_array_foreach(json_object_get(reply.body, "missing"), i, name)
    {
        printf("  %s\n", json_string_value(name));
    }
    int code = json_is_true(in_force) ? 0 : GfError_ExitCode(GF_NOT_CONFIRMED);
    json_decref(reply.body);
    return code;
}

/* Lists the failure domains that are out of service. */
static int
list_domains(void)
{
    CliReply reply;
    int code = 0;
    if (!get_reply("/v1/admin/control", &reply, &code)) {
        return code;
    }
    json_t *out = json_object_get(reply.body, "domains_out");
    size_t i;
    json_t *name;
    json_array_foreach(out, i, name)
    {
        printf("%s is out\n", json_string_value(name));
    }
    if (json_array_size(out) == 0) {
        printf("no failure domain is out\n");
    }
    json_decref(reply.body);
    return 0;
}

/* Takes a failure domain out of service or puts it back: guavaflow domain
 * out|in NAME. guavaflow domain list lists those that are out. */
int
CmdDomain_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt = Cli_ParseOptions("domain", argc, argv, options,
                                        "out NAME | in NAME | list", &code);
    if (popt == NULL) {
        return code;
    }
    const char *subcommand = poptGetArg(popt);
    const char *name = poptGetArg(popt);
    if (subcommand != NULL && strcmp(subcommand, "list") == 0 &&
        name == NULL) {
        code = list_domains();
    }
    else if (subcommand != NULL && name != NULL &&
             (strcmp(subcommand, "out") == 0 ||
              strcmp(subcommand, "in") == 0)) {
        code = post_change("/v1/admin/domain",
                           json_pack("{s:s,s:b}", "domain", name, "out",
                                     strcmp(subcommand, "out") == 0));
    }
    else {
        return Cli_PrintUsageError(popt,
                                   "out NAME, in NAME or list is required");
    }
    poptFreeContext(popt);
    return code;
}

/* Lists entries and racks with their state: guavaflow member list. */
int
CmdMember_Run(int argc, const char **argv)
{
    int code = 0;
    CliReply reply;
    poptContext popt =
        Cli_ParseOptions("member", argc, argv, options, "list", &code);
    if (popt == NULL) {
        return code;
    }
    const char *subcommand = poptGetArg(popt);
    if (subcommand == NULL || strcmp(subcommand, "list") != 0) {
        return Cli_PrintUsageError(popt, "list is required");
    }
    if (get_reply("/v1/admin/members", &reply, &code)) {
        size_t i;
        json_t *item;
        json_array_foreach(json_object_get(reply.body, "members"), i, item)
        {
            printf("entry %-20s %-12s version %lld\n",
                   string_member(item, "name"),
                   json_is_true(json_object_get(item, "in_contact"))
                       ? "in contact"
                       : "silent",
                   (long long)json_integer_value(
                       json_object_get(item, "control_version")));
        }
        json_array_foreach(json_object_get(reply.body, "racks"), i, item)
        {
            const char *holder = string_member(item, "holder");
            printf("rack  %-20s %s\n", string_member(item, "rack"),
                   holder[0] == '\0' ? "WITHOUT HOLDER" : holder);
        }
        json_decref(reply.body);
    }
    poptFreeContext(popt);
    return code;
}

/* Prints the audit trail, one JSON record a line, and verifies its hash chain:
 * guavaflow audit. */
int
CmdAudit_Run(int argc, const char **argv)
{
    int code = 0;
    CliReply reply;
    GfError error;
    poptContext popt =
        Cli_ParseOptions("audit", argc, argv, options, "", &code);
    if (popt == NULL) {
        return code;
    }
    poptFreeContext(popt);
    if (!Cli_Call("GET", "/v1/admin/audit", NULL, NULL, &reply, &error)) {
        return Cli_PrintError(&error);
    }
    json_t *records = json_object_get(reply.body, "records");
    if (records == NULL) {
        return Cli_PrintReply(&reply);
    }
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        char *text = json_dumps(record, JSON_COMPACT);
        printf("%s\n", text);
        free(text);
    }
    bool valid = GfAudit_Verify(records, &error);
    json_decref(reply.body);
    if (!valid) {
        return Cli_PrintError(&error);
    }
    fprintf(stderr, "the hash chain of %zu records is valid\n", i);
    return 0;
}

/* Prints a new API key of a team or operator and its hash for the bundle. */
static int
new_team_key(const char *team)
{
    GfName name;
    char hex[GF_KEY_HASH_HEX + 1];
    if (!GfName_SetText(&name, team)) {
        GfError error;
        GfError_Set(&error, GF_BAD_REQUEST, "\"%s\" is not a valid name",
                    team);
        return Cli_PrintError(&error);
    }
    GfStr key = GfKey_Generate(&name);
    GfKey_Hash(key.data, key.len, hex);
    printf("key:  %s\nhash: %s\n", key.data, hex);
    GfStr_Clear(&key);
    return 0;
}

/* Prints keys: guavaflow key new NAME creates an API key for a team or an
 * operator, guavaflow key hash KEY prints a key's hash for the bundle, and
 * guavaflow key member creates the signing keys of a member. */
int
CmdKey_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt = Cli_ParseOptions("key", argc, argv, no_options,
                                        "new NAME | hash KEY | member", &code);
    if (popt == NULL) {
        return code;
    }
    const char *subcommand = poptGetArg(popt);
    const char *name = poptGetArg(popt);
    if (subcommand != NULL && strcmp(subcommand, "new") == 0 && name != NULL) {
        code = new_team_key(name);
    }
    else if (subcommand != NULL && strcmp(subcommand, "hash") == 0 &&
             name != NULL) {
        char hex[GF_KEY_HASH_HEX + 1];
        GfKey_Hash(name, strlen(name), hex);
        printf("%s\n", hex);
    }
    else if (subcommand != NULL && strcmp(subcommand, "member") == 0 &&
             name == NULL) {
        char public_hex[GF_PUBLIC_KEY_HEX + 1];
        char secret_hex[GF_SECRET_KEY_HEX + 1];
        GfSign_GenerateKeys(public_hex, secret_hex);
        printf("public: %s\nsecret: %s\n", public_hex, secret_hex);
    }
    else {
        return Cli_PrintUsageError(popt,
                                   "new NAME, hash KEY or member is required");
    }
    poptFreeContext(popt);
    return code;
}
