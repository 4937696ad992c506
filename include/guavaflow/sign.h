/* Approval of bundles by the members' Ed25519 signatures, and the hash chain
 * of audit records, which makes later changes to them detectable. Keys,
 * signatures and hashes are lower-case hexadecimal text.
 */
#ifndef GUAVAFLOW_SIGN_H
#define GUAVAFLOW_SIGN_H

#include <jansson.h>

#include "guavaflow/bundle.h"

/* Hexadecimal digits, without the ending NUL. */
#define GF_PUBLIC_KEY_HEX 64
#define GF_SECRET_KEY_HEX 128
#define GF_SIGNATURE_HEX 128

void GfSign_GenerateKeys(char public_hex[GF_PUBLIC_KEY_HEX + 1],
                         char secret_hex[GF_SECRET_KEY_HEX + 1]);
bool GfSign_Sign(const char *bundle, const char *secret_hex,
                 char signature[GF_SIGNATURE_HEX + 1], GfError *error);
bool GfSign_Check(const GfBundle *in_force, const char *bundle,
                  const json_t *signatures, json_t *signers, GfError *error);
void GfAudit_Link(json_t *record, const char *previous_hash);
bool GfAudit_Verify(const json_t *records, GfError *error);

#endif
