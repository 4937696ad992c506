#include "guavaflow/yaml.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define DIAGNOSTICS_BYTES 256
#define MAX_FILE_BYTES (1024 * 1024)

/* The diagnostics of libcyaml for one document, on one line. */
typedef struct {
    char text[DIAGNOSTICS_BYTES];
    size_t len;
} Diagnostics;

/* Log callback of libcyaml: appends a message to the Diagnostics in ctx. On a
 * failure the library first logs the cause and then the path of keys to the
 * place, with line and column. Newlines become spaces; text beyond
 * DIAGNOSTICS_BYTES is dropped. */
static void
append_diagnostics(cyaml_log_t level, void *ctx, const char *format,
                   va_list args)
{
    Diagnostics *diagnostics = ctx;
    if (level < CYAML_LOG_ERROR || diagnostics->len + 2 >= DIAGNOSTICS_BYTES) {
        return;
    }
    int n = vsnprintf(diagnostics->text + diagnostics->len,
                      DIAGNOSTICS_BYTES - diagnostics->len, format, args);
    if (n > 0) {
        diagnostics->len += (size_t)n;
    }
    if (diagnostics->len >= DIAGNOSTICS_BYTES) {
        diagnostics->len = DIAGNOSTICS_BYTES - 1;
    }
    for (size_t i = 0; i < diagnostics->len; i++) {
        if (diagnostics->text[i] == '\n') {
            diagnostics->text[i] = ' ';
        }
    }
}

/* Returns the configuration of libcyaml. Messages go to diagnostics, which
 * must live as long as the configuration. Aliases are refused. */
static cyaml_config_t
make_config(Diagnostics *diagnostics)
{
    return (cyaml_config_t){.log_fn = append_diagnostics,
                            .log_ctx = diagnostics,
                            .mem_fn = cyaml_mem,
                            .log_level = CYAML_LOG_ERROR,
                            .flags = CYAML_CFG_NO_ALIAS};
}

/* Parses len bytes of YAML into the struct that the schema describes; path
 * only names the document in errors. The caller frees the result with
 * GfYaml_Free and the same schema. On failure, or if the document is empty,
 * returns NULL with a GF_BAD_CONFIG error that names the path, the reason and
 * the place in the document. */
void *
GfYaml_Load(const char *text, size_t len, const char *path,
            const cyaml_schema_value_t *schema, GfError *error)
{
    assert(text != NULL && path != NULL && schema != NULL);
    Diagnostics diagnostics = {.len = 0};
    cyaml_config_t config = make_config(&diagnostics);
    cyaml_data_t *value = NULL;
    cyaml_err_t err = cyaml_load_data((const uint8_t *)text, len, &config,
                                      schema, &value, NULL);
    if (err != CYAML_OK) {
        GfError_Set(error, GF_BAD_CONFIG, "%s: %s%s%s", path,
                    cyaml_strerror(err), diagnostics.len > 0 ? ": " : "",
                    diagnostics.text);
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
    Diagnostics diagnostics = {.len = 0};
    cyaml_config_t config = make_config(&diagnostics);
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
