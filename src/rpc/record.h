/* Record marking of ONC RPC (RFC 5531, section 11) on event buffers. A record
 * consists of fragments, each after a 4-byte header (the mark) with the length
 * of the fragment and a bit that says whether it is the record's last one. */
#ifndef GUAVAFLOW_RPC_RECORD_H
#define GUAVAFLOW_RPC_RECORD_H

#include <event2/buffer.h>

/* WHOLE: a record was read. PARTIAL: more bytes must arrive first. BAD: the
 * stream is malformed or the record too long. */
typedef enum { RECORD_WHOLE, RECORD_PARTIAL, RECORD_BAD } RecordState;

RecordState Record_Read(struct evbuffer *in, size_t max_bytes, char **data,
                        size_t *len);
void Record_Write(struct evbuffer *out, const char *data, size_t len);

#endif
