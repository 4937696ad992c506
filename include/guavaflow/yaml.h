/* Loads YAML documents into C structs according to a libcyaml schema, and
 * turns the library's diagnostics into a GfError. */
#ifndef GUAVAFLOW_YAML_H
#define GUAVAFLOW_YAML_H

#include <stdbool.h>
#include <stddef.h>

#include <cyaml/cyaml.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

void *GfYaml_Load(const char *text, size_t len, const char *path,
                  const cyaml_schema_value_t *schema, GfError *error);
void GfYaml_Free(const cyaml_schema_value_t *schema, void *value);
bool GfYaml_ReadFile(const char *path, GfStr *text, GfError *error);

#endif
