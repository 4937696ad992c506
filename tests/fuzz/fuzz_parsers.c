/* Passes arbitrary bytes to the parsers of external input: settings, bundles,
 * jobs, hosts, journal records, control documents, and RPC messages between
 * entries. They must accept or reject it without a crash or an invalid memory
 * access, which the sanitizers report. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "../../src/rpc/peer_xdr.h"
#include "../../src/rpc/record.h"
#include "guavaflow/bundle.h"
#include "guavaflow/control.h"
#include "guavaflow/hosts.h"
#include "guavaflow/idem.h"
#include "guavaflow/job.h"
#include "guavaflow/settings.h"

#define MAX_RECORD_BYTES 65536

/* Decodes bytes as the arguments or the result of a remote call; bytes is the
 * size of the decoded structure. */
static void
decode(const uint8_t *data, size_t len, xdrproc_t xdr, size_t bytes)
{
    void *value = calloc(1, bytes);
    XDR in;
    xdrmem_create(&in, (char *)data, (u_int)len, XDR_DECODE);
    xdr(&in, value);
    xdr_free(xdr, value);
    xdr_destroy(&in);
    free(value);
}

/* Reads RPC records from a stream of bytes until one is incomplete or invalid.
 */
static void
read_records(const uint8_t *data, size_t len)
{
    struct evbuffer *in = evbuffer_new();
    evbuffer_add(in, data, len);
    char *record = NULL;
    size_t record_len = 0;
    while (Record_Read(in, MAX_RECORD_BYTES, &record, &record_len) ==
           RECORD_WHOLE) {
        free(record);
    }
    evbuffer_free(in);
}

/* Parses the bytes as JSON and passes it to the parsers of JSON documents. */
static void
read_json(const char *text, size_t len)
{
    json_t *json = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
    if (json == NULL) {
        return;
    }
    GfJobSpec spec;
    GfHost host;
    GfError error;
    GfJobSpec_Parse(json, &spec, &error);
    GfHost_Parse(json, &host);
    GfIdem *idem = GfIdem_Create();
    GfIdem_Replay(idem, json);
    GfIdem_Destroy(idem);
    GfControl *control = GfControl_Create(1);
    GfControl_Apply(control, json, (struct timespec){0}, &error);
    GfControl_Destroy(control);
    json_decref(json);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Passes the bytes after the first one to the parser that the first one
 * selects. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    if (len == 0) {
        return 0;
    }
    char *text = malloc(len);
    memcpy(text, data + 1, len - 1);
    text[len - 1] = '\0';
    GfError error;
    switch (data[0] % 8) {
    case 0:
        GfSettings_Destroy(GfSettings_Parse(text, len - 1, "f", &error));
        break;
    case 1:
        GfBundle_Destroy(GfBundle_Parse(text, len - 1, "b", &error));
        break;
    case 2:
        read_records(data + 1, len - 1);
        break;
    case 3:
        decode(data + 1, len - 1, (xdrproc_t)xdr_gfx_beat, sizeof(gfx_beat));
        break;
    case 4:
        decode(data + 1, len - 1, (xdrproc_t)xdr_gfx_place_args,
               sizeof(gfx_place_args));
        break;
    case 5:
        decode(data + 1, len - 1, (xdrproc_t)xdr_gfx_found, sizeof(gfx_found));
        break;
    default:
        read_json(text, len - 1);
        break;
    }
    free(text);
    return 0;
}
