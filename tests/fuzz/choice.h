/* Turns a fuzzer's input into choices. The bytes decide first; when they are
 * used up, a generator seeded by them goes on. */
#ifndef GUAVAFLOW_TESTS_CHOICE_H
#define GUAVAFLOW_TESTS_CHOICE_H

#include <stddef.h>
#include <stdint.h>
#include <xxhash.h>

typedef struct {
    const uint8_t *data;
    size_t len;
    size_t at;
    uint64_t state;
} Choice;

static inline Choice
choice_make(const uint8_t *data, size_t len)
{
    return (Choice){
        .data = data, .len = len, .state = XXH3_64bits(data, len) | 1};
}

/* Returns a number below the given one. */
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

/* Tells whether something with a chance of so many in a hundred happens. */
static inline int
choice_percent(Choice *c, uint32_t percent)
{
    return choice_below(c, 100) < percent;
}

#endif
