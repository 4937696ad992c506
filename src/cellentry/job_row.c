/* Parts of the jobs table. The rows are spread over many parts because a
 * slow store works through the transactions of one part one after another:
 * with few parts, a burst of new jobs queues up until the store refuses
 * transactions. */
#include "guavaflow/job_row.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Returns the name of the part with the given number, which must be below
 * GF_JOB_ROW_PARTS. */
GfJobRowPart
GfJobRow_PartAt(uint32_t number)
{
    assert(number < GF_JOB_ROW_PARTS);
    GfJobRowPart part;
    snprintf(part.text, sizeof(part.text), "j%02x", number);
    return part;
}

/* Returns the part that holds the row of a job, chosen by a hash of its id. */
GfJobRowPart
GfJobRow_Part(const GfName *id)
{
    return GfJobRow_PartAt((uint32_t)(GfName_Hash(id, 0) % GF_JOB_ROW_PARTS));
}

/* Returns the row of a job that is cancelled before it is accepted. The caller
 * owns it. */
GfStr
GfJobRow_EncodeWithdrawn(void)
{
    static const char TEXT[] = "{\"withdrawn\":true}";
    return GfStr_Copy(TEXT, strlen(TEXT));
}

/* Returns whether a decoded row is that of a job that was cancelled before it
 * was accepted. */
bool
GfJobRow_SaysWithdrawn(const json_t *row)
{
    return json_is_true(json_object_get(row, "withdrawn"));
}

/* Returns whether a row of len bytes is such a row; false for NULL. */
bool
GfJobRow_IsWithdrawn(const char *value, size_t len)
{
    json_t *row = value == NULL ? NULL : json_loadb(value, len, 0, NULL);
    bool withdrawn = GfJobRow_SaysWithdrawn(row);
    json_decref(row);
    return withdrawn;
}
