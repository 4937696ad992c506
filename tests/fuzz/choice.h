/* Turns a fuzzer's input into choices. A pseudorandom generator seeded by the
 * input produces them; each byte of the input also changes one choice, until
 * the bytes are used up. The same input always gives the same choices. */
#ifndef GUAVAFLOW_TESTS_CHOICE_H
#define GUAVAFLOW_TESTS_CHOICE_H

#include <stddef.h>
#include <stdint.h>
#include <xxhash.h>

/* The input, the position of the next byte, and the generator's state. */
typedef struct {
    const uint8_t *data;
    size_t len;
    size_t at;
    uint64_t state;
} Choice;

/* Returns the choices of an input, which must outlive them. */
static inline Choice
choice_make(const uint8_t *data, size_t len)
{
    return (Choice){
        .data = data, .len = len, .state = XXH3_64bits(data, len) | 1};
}

/* Returns a number from 0 to below - 1. */
static inline uint32_t
choice_below(Choice *c, uint32_t below)
{
    c->state ^= c->state << 13;
    c->state ^= c->state >> 7;
    c->state ^= c->state << 17;
    uint64_t value = c->state >> 16;
    if (c->at < c->len) {
        value ^= c->data[c->at++];
    }
    return (uint32_t)(value % below);
}

/* Returns 1 with the given probability in percent, else 0. */
static inline int
choice_percent(Choice *c, uint32_t percent)
{
    return choice_below(c, 100) < percent;
}

#endif
