#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "guavaflow/bundle.h"
#include "guavaflow/sign.h"
#include "guavaflow/yaml.h"

/* Values of the options. signatures is a NULL-terminated list of
 * MEMBER=HEX. */
static char *secret_path;
static char **signatures;

static struct poptOption options[] = {
    {"secret", 's', POPT_ARG_STRING, &secret_path, 0,
     "file with the member's secret key, for sign", "FILE"},
    {"signature", 'S', POPT_ARG_ARGV, &signatures, 0,
     "a member's signature, for propose; may be repeated", "MEMBER=HEX"},
    {NULL, 0, POPT_ARG_INCLUDE_TABLE, cli_call_option_table, 0, "Call:", NULL},
    POPT_AUTOHELP POPT_TABLEEND};

/* Reads and checks a bundle. The caller destroys the bundle and clears *text,
 * the contents of the file. Returns NULL with the error set and nothing to
 * free on failure. */
static GfBundle *
load_bundle(const char *path, GfStr *text, GfError *error)
{
    if (!GfYaml_ReadFile(path, text, error)) {
        return NULL;
    }
    GfBundle *bundle = GfBundle_Parse(text->data, text->len, path, error);
    if (bundle == NULL) {
        GfStr_Clear(text);
    }
    return bundle;
}

/* Runs guavaflow bundle check FILE: prints what a valid bundle contains. */
static int
check_bundle(const char *path)
{
    GfStr text;
    GfError error;
    GfBundle *bundle = load_bundle(path, &text, &error);
    if (bundle == NULL) {
        return Cli_PrintError(&error);
    }
    printf("%s: version %" PRIu64
           " with %zu teams and %zu services is valid\n",
           path, GfBundle_Version(bundle), GfBundle_TeamCount(bundle),
           GfBundle_ServiceCount(bundle));
    GfBundle_Destroy(bundle);
    GfStr_Clear(&text);
    return 0;
}

/* Returns the index of a team in the bundle, or the number of teams if it has
 * no such team. */
static size_t
team_index(const GfBundle *bundle, const GfName *team)
{
    size_t i = 0;
    while (i < GfBundle_TeamCount(bundle) &&
           !GfName_Equal(&GfBundle_TeamAt(bundle, i)->name, team)) {
        i++;
    }
    return i;
}

/* Returns true if the team at this index has the key hash. */
static bool
has_key_hash(const GfBundle *bundle, size_t team, const char *key)
{
    for (size_t k = 0; k < GfBundle_KeyCount(bundle, team); k++) {
        if (strcmp(GfBundle_KeyAt(bundle, team, k), key) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns how many key hashes of a team in one bundle the team in another
 * bundle lacks. */
static size_t
count_missing_keys(const GfBundle *from, size_t from_team, const GfBundle *in,
                   size_t in_team)
{
    size_t missing = 0;
    for (size_t k = 0; k < GfBundle_KeyCount(from, from_team); k++) {
        missing +=
            !has_key_hash(in, in_team, GfBundle_KeyAt(from, from_team, k));
    }
    return missing;
}

/* Prints the changes of share, limits and keys of a team that both bundles
 * have, at index i in the old one and j in the new one. */
static void
print_team_diff(const GfBundle *a, size_t i, const GfBundle *b, size_t j)
{
    const GfTeam *old = GfBundle_TeamAt(a, i);
    const GfTeam *new = GfBundle_TeamAt(b, j);
    if (old->share != new->share) {
        printf("team %s: share %u -> %u\n", old->name.data, old->share,
               new->share);
    }
    if (old->limit_mcores != new->limit_mcores) {
        printf("team %s: limit %" PRIu64 " -> %" PRIu64 " millicores%s\n",
               old->name.data, old->limit_mcores, new->limit_mcores,
               new->limit_mcores < old->limit_mcores
                   ? "; work above it is stopped"
                   : "");
    }
    if (old->limit_requests != new->limit_requests) {
        printf("team %s: limit %u -> %u requests\n", old->name.data,
               old->limit_requests, new->limit_requests);
    }
    size_t withdrawn = count_missing_keys(a, i, b, j);
    size_t granted = count_missing_keys(b, j, a, i);
    if (withdrawn + granted > 0) {
        printf("team %s: %zu keys granted, %zu withdrawn\n", old->name.data,
               granted, withdrawn);
    }
}

/* Runs guavaflow bundle diff OLD NEW: prints the changes of each team and of
 * the quorum. */
static int
print_bundle_diff(const char *old_path, const char *new_path)
{
    GfStr old_text = {0};
    GfStr new_text = {0};
    GfError error;
    GfBundle *a = load_bundle(old_path, &old_text, &error);
    GfBundle *b = a == NULL ? NULL : load_bundle(new_path, &new_text, &error);
    int code = 0;
    if (a == NULL || b == NULL) {
        code = Cli_PrintError(&error);
    }
    else {
        printf("version %" PRIu64 " -> %" PRIu64 "\n", GfBundle_Version(a),
               GfBundle_Version(b));
        for (size_t i = 0; i < GfBundle_TeamCount(a); i++) {
            const GfName *team = &GfBundle_TeamAt(a, i)->name;
            size_t j = team_index(b, team);
            if (j == GfBundle_TeamCount(b)) {
                printf("team %s: removed; its work is stopped\n", team->data);
            }
            else {
                print_team_diff(a, i, b, j);
            }
        }
        for (size_t j = 0; j < GfBundle_TeamCount(b); j++) {
            const GfName *team = &GfBundle_TeamAt(b, j)->name;
            if (team_index(a, team) == GfBundle_TeamCount(a)) {
                printf("team %s: added\n", team->data);
            }
        }
        if (GfBundle_Quorum(a) != GfBundle_Quorum(b)) {
            printf("quorum %u -> %u\n", GfBundle_Quorum(a),
                   GfBundle_Quorum(b));
        }
    }
    GfBundle_Destroy(a);
    GfBundle_Destroy(b);
    GfStr_Clear(&old_text);
    GfStr_Clear(&new_text);
    return code;
}

/* Runs guavaflow bundle sign FILE: prints the signature of the file's contents
 * with the secret key in the file of --secret, of which only the part before
 * the first space or end of line is used. */
static int
sign_bundle(const char *path)
{
    GfStr text;
    GfStr secret;
    GfError error;
    char signature[GF_SIGNATURE_HEX + 1];
    GfBundle *bundle = load_bundle(path, &text, &error);
    if (bundle == NULL) {
        return Cli_PrintError(&error);
    }
    GfBundle_Destroy(bundle);
    bool good = GfYaml_ReadFile(secret_path, &secret, &error);
    if (good) {
        secret.data[strcspn(secret.data, " \r\n")] = '\0';
        good = GfSign_Sign(text.data, secret.data, signature, &error);
        GfStr_Clear(&secret);
    }
    GfStr_Clear(&text);
    if (!good) {
        return Cli_PrintError(&error);
    }
    printf("%s\n", signature);
    return 0;
}

/* Adds the signatures of the options to a JSON object, by member. Splits the
 * options in place, so it can be called only once. */
static bool
collect_signatures(json_t *list, GfError *error)
{
    for (size_t i = 0; signatures != NULL && signatures[i] != NULL; i++) {
        char *equals = strchr(signatures[i], '=');
        if (equals == NULL) {
            return GfError_Set(error, GF_BAD_REQUEST,
                               "--signature \"%.60s\" is not MEMBER=HEX",
                               signatures[i]);
        }
        *equals = '\0';
        json_object_set_new(list, signatures[i], json_string(equals + 1));
    }
    return true;
}

/* Runs guavaflow bundle propose FILE: sends a bundle with its signatures to an
 * entry. */
static int
propose_bundle(const char *path)
{
    GfStr text;
    GfError error;
    CliReply reply;
    GfBundle *bundle = load_bundle(path, &text, &error);
    if (bundle == NULL) {
        return Cli_PrintError(&error);
    }
    GfBundle_Destroy(bundle);
    json_t *list = json_object();
    if (!collect_signatures(list, &error)) {
        json_decref(list);
        GfStr_Clear(&text);
        return Cli_PrintError(&error);
    }
    json_t *body =
        json_pack("{s:s,s:o}", "bundle", text.data, "signatures", list);
    char *json = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    GfStr_Clear(&text);
    bool called =
        Cli_Call("POST", "/v1/admin/bundle", json, NULL, &reply, &error);
    free(json);
    return called ? Cli_PrintReply(&reply) : Cli_PrintError(&error);
}

/* Runs guavaflow bundle status: prints the bundle in force as YAML, after a
 * comment with its control version and the number of entries that do not apply
 * it yet. */
static int
print_status(void)
{
    CliReply reply;
    GfError error;
    if (!Cli_Call("GET", "/v1/admin/control", NULL, NULL, &reply, &error)) {
        return Cli_PrintError(&error);
    }
    const char *yaml =
        json_string_value(json_object_get(reply.body, "bundle"));
    if (Cli_WantsJson() || yaml == NULL) {
        return Cli_PrintReply(&reply);
    }
    size_t missing = json_array_size(json_object_get(reply.body, "missing"));
    printf(
        "# control version %lld, not yet in force at %zu entries\n%s",
        (long long)json_integer_value(json_object_get(reply.body, "version")),
        missing, yaml);
    json_decref(reply.body);
    return 0;
}

/* Runs guavaflow bundle history: lists from the audit trail the bundles that
 * were put in force. */
static int
print_history(void)
{
    CliReply reply;
    GfError error;
    if (!Cli_Call("GET", "/v1/admin/audit", NULL, NULL, &reply, &error)) {
        return Cli_PrintError(&error);
    }
    json_t *records = json_object_get(reply.body, "records");
    if (records == NULL || Cli_WantsJson()) {
        return Cli_PrintReply(&reply);
    }
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        const char *hash =
            json_string_value(json_object_get(record, "bundle_hash"));
        if (hash == NULL) {
            continue;
        }
        char *signers =
            json_dumps(json_object_get(record, "signers"), JSON_COMPACT);
        printf(
            "control version %lld by %s, signed by %s, bundle %.16s\n",
            (long long)json_integer_value(json_object_get(record, "version")),
            json_string_value(json_object_get(record, "who")), signers, hash);
        free(signers);
    }
    json_decref(reply.body);
    return 0;
}

/* Runs the subcommands of guavaflow bundle. */
int
CmdBundle_Run(int argc, const char **argv)
{
    int code = 0;
    poptContext popt = Cli_ParseOptions(
        "bundle", argc, argv, options,
        "check FILE | diff OLD NEW | sign FILE | propose FILE | "
        "status | history",
        &code);
    if (popt == NULL) {
        return code;
    }
    const char *subcommand = poptGetArg(popt);
    const char *first = poptGetArg(popt);
    const char *second = poptGetArg(popt);
    if (subcommand == NULL) {
        return Cli_PrintUsageError(popt, "a subcommand is required");
    }
    if (strcmp(subcommand, "check") == 0 && first != NULL) {
        code = check_bundle(first);
    }
    else if (strcmp(subcommand, "diff") == 0 && second != NULL) {
        code = print_bundle_diff(first, second);
    }
    else if (strcmp(subcommand, "sign") == 0 && first != NULL &&
             secret_path != NULL) {
        code = sign_bundle(first);
    }
    else if (strcmp(subcommand, "propose") == 0 && first != NULL) {
        code = propose_bundle(first);
    }
    else if (strcmp(subcommand, "status") == 0) {
        code = print_status();
    }
    else if (strcmp(subcommand, "history") == 0) {
        code = print_history();
    }
    else {
        return Cli_PrintUsageError(
            popt, "subcommand '%s' is unknown or lacks an argument",
            subcommand);
    }
    poptFreeContext(popt);
    return code;
}
