/* Record marking of ONC RPC (RFC 5531, section 11) on event buffers. */
#ifndef GUAVAFLOW_RPC_RECORD_H
#define GUAVAFLOW_RPC_RECORD_H

#include <event2/buffer.h>

typedef enum { RECORD_WHOLE, RECORD_PARTIAL, RECORD_BAD } RecordState;

RecordState Record_Read(struct evbuffer *in, size_t max_bytes, char **data,
                        size_t *len);
void Record_Write(struct evbuffer *out, const char *data, size_t len);

#endif
