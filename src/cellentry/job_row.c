/* The parts of the jobs' table. Spreading the rows answers bursts of new jobs
 * at a store that is slow: with few parts they queue up behind one another
 * until the store turns them away. */
#include "guavaflow/job_row.h"

#include <assert.h>
#include <stdio.h>

/* Names a part by its number, which is below GF_JOB_ROW_PARTS. */
GfJobRowPart
GfJobRow_PartAt(uint32_t number)
{
    assert(number < GF_JOB_ROW_PARTS);
    GfJobRowPart part;
    snprintf(part.text, sizeof(part.text), "j%02x", number);
    return part;
}

/* Returns the part of the table that a job's row is in. */
GfJobRowPart
GfJobRow_Part(const GfName *id)
{
    return GfJobRow_PartAt((uint32_t)(GfName_Hash(id, 0) % GF_JOB_ROW_PARTS));
}
