#include "guavaflow/bundle.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>

#include "guavaflow/yaml.h"

/* Highest counts in a bundle; MAX_KEYS is for each team and each operator. */
#define MAX_TEAMS 4096
#define MAX_SERVICES 1024
#define MAX_MEMBERS 256
#define MAX_KEYS 64
#define MAX_OPERATORS 64
/* Team that requests without a key are charged to. */
#define OPEN_TEAM "open"
/* Sizes of a key's hash and of the random part of a key. */
#define KEY_HASH_BYTES 32
#define SECRET_BYTES 24
#define PUBLIC_KEY_HEX 64
#define MCORES_PER_CORE 1000
/* Highest value of limit_cores. */
#define MAX_CORES 4000000
/* Time that a request to a service may take. */
#define DEFAULT_REQUEST_LIMIT_MS 1500
#define MAX_REQUEST_LIMIT_MS 120000
#define DEFAULT_SLOTS 8

/* The document as the YAML schema describes it; lists of keys hold hashes. */
typedef struct {
    char *name;
    uint32_t share;
    uint32_t limit_cores;
    uint32_t limit_requests;
    char **keys;
    unsigned keys_count;
} YamlTeam;

typedef struct {
    char *name;
    bool open;
    uint32_t slots;
    uint32_t request_limit_ms;
} YamlService;

typedef struct {
    char *name;
    char *key;
} YamlMember;

typedef struct {
    char *name;
    char **keys;
    unsigned keys_count;
} YamlOperator;

typedef struct {
    uint64_t version;
    uint32_t quorum;
    YamlOperator *operators;
    unsigned operators_count;
    YamlMember *members;
    unsigned members_count;
    YamlTeam *teams;
    unsigned teams_count;
    YamlService *services;
    unsigned services_count;
} YamlBundle;

/* Entry of an index of teams or services by name. */
typedef struct {
    GfName name;
    unsigned index; /* in the document */
    UT_hash_handle hh;
} NameIndex;

/* Entry of the index of teams by key hash. */
typedef struct {
    const char *hash;
    unsigned team; /* its index in the document */
    UT_hash_handle hh;
} KeyIndex;

struct GfBundle {
    YamlBundle *yaml; /* the document as libcyaml loaded it; owned */
    GfTeam *teams;
    GfService *services;
    NameIndex *team_index;
    NameIndex *service_index;
    KeyIndex *key_index;
};

/* The hash of a key. */
static const cyaml_schema_value_t KEY_SCHEMA = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 1, 256)};

static const cyaml_schema_field_t TEAM_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, YamlTeam, name, 1,
                           GF_NAME_MAX_BYTES),
    CYAML_FIELD_UINT("share", CYAML_FLAG_DEFAULT, YamlTeam, share),
    CYAML_FIELD_UINT("limit_cores", CYAML_FLAG_DEFAULT, YamlTeam, limit_cores),
    CYAML_FIELD_UINT("limit_requests", CYAML_FLAG_DEFAULT, YamlTeam,
                     limit_requests),
    CYAML_FIELD_SEQUENCE("keys", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         YamlTeam, keys, &KEY_SCHEMA, 0, MAX_KEYS),
    CYAML_FIELD_END};
static const cyaml_schema_value_t TEAM_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, YamlTeam, TEAM_FIELDS)};

static const cyaml_schema_field_t SERVICE_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, YamlService, name, 1,
                           GF_NAME_MAX_BYTES),
    CYAML_FIELD_BOOL("open", CYAML_FLAG_OPTIONAL, YamlService, open),
    CYAML_FIELD_UINT("slots", CYAML_FLAG_OPTIONAL, YamlService, slots),
    CYAML_FIELD_UINT("request_limit_ms", CYAML_FLAG_OPTIONAL, YamlService,
                     request_limit_ms),
    CYAML_FIELD_END};
static const cyaml_schema_value_t SERVICE_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, YamlService, SERVICE_FIELDS)};

static const cyaml_schema_field_t MEMBER_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, YamlMember, name, 1,
                           GF_NAME_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("key", CYAML_FLAG_POINTER, YamlMember, key,
                           PUBLIC_KEY_HEX, PUBLIC_KEY_HEX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t MEMBER_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, YamlMember, MEMBER_FIELDS)};

static const cyaml_schema_field_t OPERATOR_FIELDS[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, YamlOperator, name, 1,
                           GF_NAME_MAX_BYTES),
    CYAML_FIELD_SEQUENCE("keys", CYAML_FLAG_POINTER, YamlOperator, keys,
                         &KEY_SCHEMA, 0, MAX_KEYS),
    CYAML_FIELD_END};
static const cyaml_schema_value_t OPERATOR_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, YamlOperator, OPERATOR_FIELDS)};

static const cyaml_schema_field_t BUNDLE_FIELDS[] = {
    CYAML_FIELD_UINT("version", CYAML_FLAG_DEFAULT, YamlBundle, version),
    CYAML_FIELD_UINT("quorum", CYAML_FLAG_DEFAULT, YamlBundle, quorum),
    CYAML_FIELD_SEQUENCE("members", CYAML_FLAG_POINTER, YamlBundle, members,
                         &MEMBER_SCHEMA, 0, MAX_MEMBERS),
    CYAML_FIELD_SEQUENCE("operators", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         YamlBundle, operators, &OPERATOR_SCHEMA, 0,
                         MAX_OPERATORS),
    CYAML_FIELD_SEQUENCE("teams", CYAML_FLAG_POINTER, YamlBundle, teams,
                         &TEAM_SCHEMA, 0, MAX_TEAMS),
    CYAML_FIELD_SEQUENCE("services", CYAML_FLAG_POINTER, YamlBundle, services,
                         &SERVICE_SCHEMA, 0, MAX_SERVICES),
    CYAML_FIELD_END};
static const cyaml_schema_value_t BUNDLE_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, YamlBundle, BUNDLE_FIELDS)};

/* Returns whether a text is len lower-case hexadecimal digits. */
static bool
is_hex(const char *text, size_t len)
{
    return strlen(text) == len && strspn(text, "0123456789abcdef") == len;
}

/* Checks a name and copies it. Names are parts of store keys and of URL paths,
 * so the separators used there are not allowed. On failure the error has the
 * array (what) and the index. */
static bool
load_name(GfName *name, const char *text, const char *path, const char *what,
          unsigned index, GfError *error)
{
    if (GfName_SetText(name, text) && strpbrk(text, "/.?#%") == NULL) {
        return true;
    }
    return GfError_Set(error, GF_BAD_CONFIG,
                       "%s: %s[%u].name is \"%s\"; it must be visible ASCII "
                       "characters except / . ? # %% and quotes",
                       path, what, index, text);
}

/* Adds a name to an index. Returns false if the index has it already. */
static bool
index_name(NameIndex **table, const GfName *name, unsigned index)
{
    NameIndex *entry;
    HASH_FIND(hh, *table, name, sizeof(*name), entry);
    if (entry != NULL) {
        return false;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    entry->name = *name;
    entry->index = index;
    HASH_ADD(hh, *table, name, sizeof(entry->name), entry);
    return true;
}

/* Frees all entries of a name index. */
static void
free_name_index(NameIndex **table)
{
    NameIndex *entry;
    NameIndex *tmp;
    HASH_ITER(hh, *table, entry, tmp)
    {
        HASH_DEL(*table, entry);
        free(entry);
    }
}

/* Returns the index entry of a key's hash, or NULL. */
static KeyIndex *
find_key(const GfBundle *b, const char *hash)
{
    KeyIndex *entry;
    HASH_FIND(hh, b->key_index, hash, GF_KEY_HASH_HEX, entry);
    return entry;
}

/* Checks one team, fills in its table entry and adds its name to the index. */
static bool
load_team(GfBundle *b, unsigned i, const char *path, GfError *error)
{
    const YamlTeam *yaml = &b->yaml->teams[i];
    GfTeam *team = &b->teams[i];
    if (!load_name(&team->name, yaml->name, path, "teams", i, error)) {
        return false;
    }
    if (yaml->share == 0 || yaml->limit_cores > MAX_CORES) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: teams[%u] (%s): share must be at least 1 and "
                           "limit_cores at most %d",
                           path, i, yaml->name, MAX_CORES);
    }
    team->share = yaml->share;
    team->limit_mcores = (uint64_t)yaml->limit_cores * MCORES_PER_CORE;
    team->limit_requests = yaml->limit_requests;
    for (unsigned k = 0; k < yaml->keys_count; k++) {
        if (!is_hex(yaml->keys[k], GF_KEY_HASH_HEX)) {
            return GfError_Set(error, GF_BAD_CONFIG,
                               "%s: teams[%u].keys[%u] is not a key hash of "
                               "%d lower-case hexadecimal digits",
                               path, i, k, GF_KEY_HASH_HEX);
        }
    }
    if (!index_name(&b->team_index, &team->name, i)) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: teams[%u].name %s is a duplicate", path, i,
                           yaml->name);
    }
    return true;
}

/* Checks one service, fills in its table entry and adds its name to the
 * index. */
static bool
load_service(GfBundle *b, unsigned i, const char *path, GfError *error)
{
    const YamlService *yaml = &b->yaml->services[i];
    GfService *service = &b->services[i];
    if (!load_name(&service->name, yaml->name, path, "services", i, error)) {
        return false;
    }
    service->open = yaml->open;
    service->slots = yaml->slots > 0 ? yaml->slots : DEFAULT_SLOTS;
    service->request_limit_ms = yaml->request_limit_ms > 0
                                    ? yaml->request_limit_ms
                                    : DEFAULT_REQUEST_LIMIT_MS;
    if (service->request_limit_ms > MAX_REQUEST_LIMIT_MS) {
        return GfError_Set(
            error, GF_BAD_CONFIG,
            "%s: services[%u].request_limit_ms is %u; it must be at most %d",
            path, i, service->request_limit_ms, MAX_REQUEST_LIMIT_MS);
    }
    if (!index_name(&b->service_index, &service->name, i)) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: services[%u].name %s is a duplicate", path, i,
                           yaml->name);
    }
    return true;
}

/* Indexes the key hashes of all teams. Fails if two teams have the same
 * key. */
static bool
index_keys(GfBundle *b, const char *path, GfError *error)
{
    for (unsigned i = 0; i < b->yaml->teams_count; i++) {
        const YamlTeam *team = &b->yaml->teams[i];
        for (unsigned k = 0; k < team->keys_count; k++) {
            KeyIndex *entry = find_key(b, team->keys[k]);
            if (entry != NULL && entry->team != i) {
                return GfError_Set(
                    error, GF_BAD_CONFIG,
                    "%s: teams[%u].keys[%u] is also a key of %s", path, i, k,
                    b->yaml->teams[entry->team].name);
            }
            if (entry != NULL) {
                continue;
            }
            entry = calloc(1, sizeof(*entry));
            if (entry == NULL) {
                abort();
            }
            entry->hash = team->keys[k];
            entry->team = i;
            HASH_ADD_KEYPTR(hh, b->key_index, entry->hash, GF_KEY_HASH_HEX,
                            entry);
        }
    }
    return true;
}

/* Checks that the team "open" exists if a service is open: requests without a
 * key are charged to that team. */
static bool
check_open_team(const GfBundle *b, const char *path, GfError *error)
{
    GfName open;
    GfName_SetText(&open, OPEN_TEAM);
    for (unsigned i = 0; i < b->yaml->services_count; i++) {
        if (b->services[i].open && GfBundle_FindTeam(b, &open) == NULL) {
            return GfError_Set(error, GF_BAD_CONFIG,
                               "%s: services[%u] (%s) is open, so there must "
                               "be a team \"%s\" with its share and limits",
                               path, i, b->yaml->services[i].name, OPEN_TEAM);
        }
    }
    return true;
}

/* Checks the members' public keys, that no member is a duplicate, and that the
 * quorum can be reached. */
static bool
check_members(const GfBundle *b, const char *path, GfError *error)
{
    const YamlBundle *yaml = b->yaml;
    if (yaml->quorum == 0 || yaml->quorum > yaml->members_count) {
        return GfError_Set(
            error, GF_BAD_CONFIG,
            "%s: quorum is %u; it must be from 1 to the number of members, %u",
            path, yaml->quorum, yaml->members_count);
    }
    for (unsigned i = 0; i < yaml->members_count; i++) {
        if (!is_hex(yaml->members[i].key, PUBLIC_KEY_HEX)) {
            return GfError_Set(
                error, GF_BAD_CONFIG,
                "%s: members[%u].key is not an Ed25519 public key "
                "of %d hexadecimal digits",
                path, i, PUBLIC_KEY_HEX);
        }
        for (unsigned k = 0; k < i; k++) {
            if (strcmp(yaml->members[i].name, yaml->members[k].name) == 0 ||
                strcmp(yaml->members[i].key, yaml->members[k].key) == 0) {
                return GfError_Set(error, GF_BAD_CONFIG,
                                   "%s: members[%u] (%s) is a duplicate", path,
                                   i, yaml->members[i].name);
            }
        }
    }
    return true;
}

/* Checks the whole document and fills in the tables and indexes. */
static bool
load_tables(GfBundle *b, const char *path, GfError *error)
{
    b->teams = calloc(b->yaml->teams_count + 1, sizeof(*b->teams));
    b->services = calloc(b->yaml->services_count + 1, sizeof(*b->services));
    if (b->teams == NULL || b->services == NULL) {
        abort();
    }
    if (b->yaml->version == 0) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: version is 0; it must be at least 1", path);
    }
    for (unsigned i = 0; i < b->yaml->teams_count; i++) {
        if (!load_team(b, i, path, error)) {
            return false;
        }
    }
    for (unsigned i = 0; i < b->yaml->services_count; i++) {
        if (!load_service(b, i, path, error)) {
            return false;
        }
    }
    return check_members(b, path, error) && index_keys(b, path, error) &&
           check_open_team(b, path, error);
}

/* Parses and checks a bundle. Returns NULL on failure, with a GF_BAD_CONFIG
 * error that has the path, the field and the reason. The path only serves for
 * that text. Free with GfBundle_Destroy. */
GfBundle *
GfBundle_Parse(const char *text, size_t len, const char *path, GfError *error)
{
    YamlBundle *yaml = GfYaml_Load(text, len, path, &BUNDLE_SCHEMA, error);
    if (yaml == NULL) {
        return NULL;
    }
    GfBundle *b = calloc(1, sizeof(*b));
    if (b == NULL) {
        abort();
    }
    b->yaml = yaml;
    if (!load_tables(b, path, error)) {
        GfBundle_Destroy(b);
        return NULL;
    }
    return b;
}

/* Frees a bundle. NULL is allowed. */
void
GfBundle_Destroy(GfBundle *bundle)
{
    if (bundle != NULL) {
        free_name_index(&bundle->team_index);
        free_name_index(&bundle->service_index);
        KeyIndex *entry;
        KeyIndex *tmp;
        HASH_ITER(hh, bundle->key_index, entry, tmp)
        {
            HASH_DEL(bundle->key_index, entry);
            free(entry);
        }
        GfYaml_Free(&BUNDLE_SCHEMA, bundle->yaml);
        free(bundle->teams);
        free(bundle->services);
        free(bundle);
    }
}

/* Returns the version that the document states, 1 and up. It counts bundles,
 * not versions of the control state. */
uint64_t
GfBundle_Version(const GfBundle *bundle)
{
    return bundle->yaml->version;
}

/* Returns how many members must sign the bundle that replaces this one. */
uint32_t
GfBundle_Quorum(const GfBundle *bundle)
{
    return bundle->yaml->quorum;
}

/* Returns the number of teams. */
size_t
GfBundle_TeamCount(const GfBundle *bundle)
{
    return bundle->yaml->teams_count;
}

/* Returns a team by its index in the document. */
const GfTeam *
GfBundle_TeamAt(const GfBundle *bundle, size_t index)
{
    assert(index < bundle->yaml->teams_count);
    return &bundle->teams[index];
}

/* Returns the team with a name, or NULL. */
const GfTeam *
GfBundle_FindTeam(const GfBundle *bundle, const GfName *name)
{
    NameIndex *entry;
    HASH_FIND(hh, bundle->team_index, name, sizeof(*name), entry);
    return entry == NULL ? NULL : &bundle->teams[entry->index];
}

/* Returns the team that a caller's key belongs to, or NULL. The key is given
 * in plain text, not as its hash. */
const GfTeam *
GfBundle_FindTeamByKey(const GfBundle *bundle, const char *key)
{
    char hex[GF_KEY_HASH_HEX + 1];
    GfKey_Hash(key, strlen(key), hex);
    KeyIndex *entry = find_key(bundle, hex);
    return entry == NULL ? NULL : &bundle->teams[entry->team];
}

/* Returns the name of the operator that a key belongs to, or NULL. The key is
 * given in plain text, not as its hash. */
const char *
GfBundle_FindOperatorByKey(const GfBundle *bundle, const char *key)
{
    char hex[GF_KEY_HASH_HEX + 1];
    GfKey_Hash(key, strlen(key), hex);
    for (unsigned i = 0; i < bundle->yaml->operators_count; i++) {
        const YamlOperator *op = &bundle->yaml->operators[i];
        for (unsigned k = 0; k < op->keys_count; k++) {
            if (strcmp(op->keys[k], hex) == 0) {
                return op->name;
            }
        }
    }
    return NULL;
}

/* Returns how many key hashes the team with an index has. */
size_t
GfBundle_KeyCount(const GfBundle *bundle, size_t team)
{
    assert(team < bundle->yaml->teams_count);
    return bundle->yaml->teams[team].keys_count;
}

/* Returns a key hash of the team with an index, as hexadecimal text. */
const char *
GfBundle_KeyAt(const GfBundle *bundle, size_t team, size_t index)
{
    assert(index < GfBundle_KeyCount(bundle, team));
    return bundle->yaml->teams[team].keys[index];
}

/* Returns the number of services. */
size_t
GfBundle_ServiceCount(const GfBundle *bundle)
{
    return bundle->yaml->services_count;
}

/* Returns a service by its index in the document. */
const GfService *
GfBundle_ServiceAt(const GfBundle *bundle, size_t index)
{
    assert(index < bundle->yaml->services_count);
    return &bundle->services[index];
}

/* Returns the service with a name, or NULL. */
const GfService *
GfBundle_FindService(const GfBundle *bundle, const GfName *name)
{
    NameIndex *entry;
    HASH_FIND(hh, bundle->service_index, name, sizeof(*name), entry);
    return entry == NULL ? NULL : &bundle->services[entry->index];
}

/* Returns the number of members, who may sign the next bundle. */
size_t
GfBundle_MemberCount(const GfBundle *bundle)
{
    return bundle->yaml->members_count;
}

/* Returns the name of the member with an index. */
const char *
GfBundle_MemberName(const GfBundle *bundle, size_t index)
{
    assert(index < bundle->yaml->members_count);
    return bundle->yaml->members[index].name;
}

/* Returns the Ed25519 public key of the member with an index, as hexadecimal
 * text. */
const char *
GfBundle_MemberKey(const GfBundle *bundle, size_t index)
{
    assert(index < bundle->yaml->members_count);
    return bundle->yaml->members[index].key;
}

/* Hashes len bytes with BLAKE2b to 256 bits, written as hexadecimal text. The
 * keys of teams and operators are stored in this form. */
void
GfKey_Hash(const char *key, size_t len, char hex[GF_KEY_HASH_HEX + 1])
{
    unsigned char hash[KEY_HASH_BYTES];
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)key, len,
                       NULL, 0);
    sodium_bin2hex(hex, GF_KEY_HASH_HEX + 1, hash, sizeof(hash));
}

/* Returns a new random key for a team in plain text, gfk_TEAM_SECRET. The
 * caller clears it. */
GfStr
GfKey_Generate(const GfName *team)
{
    unsigned char secret[SECRET_BYTES];
    char hex[SECRET_BYTES * 2 + 1];
    randombytes_buf(secret, sizeof(secret));
    sodium_bin2hex(hex, sizeof(hex), secret, sizeof(secret));
    GfStr key = GfStr_Format("gfk_%s_%s", team->data, hex);
    sodium_memzero(secret, sizeof(secret));
    sodium_memzero(hex, sizeof(hex));
    return key;
}
