#include <assert.h>

#include "guavaflow/rpc.h"

/* Returns the procedure of a program with the given number, or NULL. */
const GfRpcProcedure *
GfRpcProgram_Find(const GfRpcProgram *program, uint32_t number)
{
    assert(program != NULL);
    for (size_t i = 0; i < program->procedure_count; i++) {
        if (program->procedures[i].number == number) {
            return &program->procedures[i];
        }
    }
    return NULL;
}
