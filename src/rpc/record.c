#include "record.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdint.h>
#include <stdlib.h>

#define MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000u
#define LENGTH_MASK 0x7fffffffu

/* Returns the fragment header at an offset of the buffer, in host byte order,
 * without removing it. */
static uint32_t
peek_mark(struct evbuffer *in, size_t offset)
{
    struct evbuffer_ptr pos;
    evbuffer_ptr_set(in, &pos, offset, EVBUFFER_PTR_SET);
    uint32_t mark = 0;
    evbuffer_copyout_from(in, &pos, &mark, MARK_BYTES);
    return ntohl(mark);
}

/* Checks whether the buffer starts with a whole record, and sets *total to the
 * bytes of its fragments without their headers. */
static RecordState
find_record(struct evbuffer *in, size_t max_bytes, size_t *total)
{
    size_t available = evbuffer_get_length(in);
    size_t offset = 0;
    *total = 0;
    for (;;) {
        if (available < offset + MARK_BYTES) {
            return RECORD_PARTIAL;
        }
        uint32_t mark = peek_mark(in, offset);
        size_t fragment_bytes = mark & LENGTH_MASK;
        *total += fragment_bytes;
        if (*total > max_bytes ||
            (fragment_bytes == 0 && !(mark & LAST_FRAGMENT))) {
            return RECORD_BAD;
        }
        if (available < offset + MARK_BYTES + fragment_bytes) {
            return RECORD_PARTIAL;
        }
        if (mark & LAST_FRAGMENT) {
            return RECORD_WHOLE;
        }
        offset += MARK_BYTES + fragment_bytes;
    }
}

/* Removes one whole record from the buffer. On RECORD_WHOLE *data holds *len
 * bytes, which the caller frees; else the buffer is unchanged. A record over
 * max_bytes, or one with an empty fragment other than its last, is
 * RECORD_BAD. */
RecordState
Record_Read(struct evbuffer *in, size_t max_bytes, char **data, size_t *len)
{
    assert(in != NULL && data != NULL && len != NULL);
    size_t total = 0;
    RecordState state = find_record(in, max_bytes, &total);
    if (state != RECORD_WHOLE) {
        return state;
    }
    *data = malloc(total + 1);
    if (*data == NULL) {
        abort();
    }
    *len = 0;
    uint32_t mark = 0;
    do {
        mark = peek_mark(in, 0);
        evbuffer_drain(in, MARK_BYTES);
        size_t fragment_bytes = mark & LENGTH_MASK;
        evbuffer_remove(in, *data + *len, fragment_bytes);
        *len += fragment_bytes;
    } while (!(mark & LAST_FRAGMENT));
    return RECORD_WHOLE;
}

/* Appends len bytes to the buffer as a record of a single fragment. */
void
Record_Write(struct evbuffer *out, const char *data, size_t len)
{
    assert(len <= LENGTH_MASK);
    uint32_t mark = htonl((uint32_t)len | LAST_FRAGMENT);
    evbuffer_add(out, &mark, MARK_BYTES);
    evbuffer_add(out, data, len);
}
