#include "guavaflow/yaml.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define REASON_BYTES 256
#define MAX_FILE_BYTES (1024 * 1024)

/* The diagnostics of libcyaml for one document, on one line. */
typedef struct {
    char text[REASON_BYTES];
    size_t len;
} Reason;

/* Log callback of libcyaml: appends a message to the Reason in ctx. On a
 * failure the library first logs the cause and then the path of keys to the
 * place, with line and column. Newlines become spaces; text beyond
 * REASON_BYTES is dropped. */
static void
collect(cyaml_log_t level, void *ctx, const char *format, va_list args)
{
    Reason *reason = ctx;
    if (level < CYAML_LOG_ERROR || reason->len + 2 >= REASON_BYTES) {
        return;
    }
    int n = vsnprintf(reason->text + reason->len, REASON_BYTES - reason->len,
                      format, args);
    if (n > 0) {
        reason->len += (size_t)n;
    }
    if (reason->len >= REASON_BYTES) {
        reason->len = REASON_BYTES - 1;
    }
    for (size_t i = 0; i < reason->len; i++) {
        if (reason->text[i] == '\n') {
            reason->text[i] = ' ';
        }
    }
}

/* Returns the configuration of libcyaml. Messages go to reason, which must
 * live as long as the configuration. Aliases are refused. */
static cyaml_config_t
configure(Reason *reason)
{
    return (cyaml_config_t){.log_fn = collect,
                            .log_ctx = reason,
                            .mem_fn = cyaml_mem,
                            .log_level = CYAML_LOG_ERROR,
                            .flags = CYAML_CFG_NO_ALIAS};
}

/* Parses len bytes of YAML into the struct that the schema describes. The
 * caller frees the result with GfYaml_Free and the same schema. On failure, or
 * if the document is empty, returns NULL with a GF_BAD_CONFIG error that names
 * the path, which only serves this, and the place and reason in the document.
 */
void *
GfYaml_Load(const char *text, size_t len, const char *path,
            const cyaml_schema_value_t *schema, GfError *error)
{
    assert(text != NULL && path != NULL && schema != NULL);
    Reason reason = {.len = 0};
    cyaml_config_t config = configure(&reason);
    cyaml_data_t *value = NULL;
    cyaml_err_t err = cyaml_load_data((const uint8_t *)text, len, &config,
                                      schema, &value, NULL);
    if (err != CYAML_OK) {
        GfError_Set(error, GF_BAD_CONFIG, "%s: %s%s%s", path,
                    cyaml_strerror(err), reason.len > 0 ? ": " : "",
                    reason.text);
        return NULL;
    }
    if (value == NULL) {
        GfError_Set(error, GF_BAD_CONFIG, "%s: the document is empty", path);
    }
    return value;
}

/* Frees the result of GfYaml_Load with the schema that it was loaded by. */
void
GfYaml_Free(const cyaml_schema_value_t *schema, void *value)
{
    Reason reason = {.len = 0};
    cyaml_config_t config = configure(&reason);
    cyaml_free(&config, schema, value, 0);
}

/* Reads a whole file of at most MAX_FILE_BYTES (1 MiB). The caller frees the
 * text with GfStr_Clear. On failure returns false with a GF_BAD_CONFIG error
 * and leaves the text unset. Uses a static buffer: not reentrant. */
bool
GfYaml_ReadFile(const char *path, GfStr *text, GfError *error)
{
    assert(path != NULL && text != NULL);
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        return GfError_Set(error, GF_BAD_CONFIG, "%s: %s", path,
                           strerror(errno));
    }
    static char buffer[MAX_FILE_BYTES + 1];
    size_t len = fread(buffer, 1, sizeof(buffer), file);
    bool failed = ferror(file) != 0;
    fclose(file);
    if (failed) {
        return GfError_Set(error, GF_BAD_CONFIG, "%s: the file cannot be read",
                           path);
    }
    if (len > MAX_FILE_BYTES) {
        return GfError_Set(error, GF_BAD_CONFIG,
                           "%s: the file is larger than %d bytes", path,
                           MAX_FILE_BYTES);
    }
    *text = GfStr_Copy(buffer, len);
    return true;
}
