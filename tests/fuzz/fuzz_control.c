/* Searches for control state that returns to an older version, when documents
 * arrive in any order and more than once. It checks that the version in force
 * is the highest that has arrived, that its failure domains are those of that
 * document, and that an amount never grows by scaling. With
 * GUAVAFLOW_WITHOUT_RULE=version the latest document to arrive replaces the
 * state; then a violation must be found. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "choice.h"
#include "guavaflow/control.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define DOCUMENTS 12
#define ARRIVALS 40

/* Returns the YAML of a bundle with this limit, which the caller owns. */
static GfStr
bundle(int version, uint32_t cores)
{
    return GfStr_Format(
        "version: %d\nquorum: 1\nmembers: [{name: a, key: " HASH "}]\n"
        "teams: [{name: t, share: 1, limit_cores: %u, limit_requests: 9}]\n"
        "services: []\n",
        version, cores);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Creates a sequence of documents, delivers them at random, and aborts on a
 * violation. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    Choice c = choice_make(data, len);
    json_t *documents[DOCUMENTS];
    GfName domain = GfName_Format("fd");
    GfName team = GfName_Format("t");
    GfStr text = bundle(1, 50);
    documents[0] = GfControl_FirstDocument(text.data, NULL);
    GfStr_Clear(&text);
    int bundle_version = 1;
    bool evacuated[DOCUMENTS] = {false};
    for (int i = 1; i < DOCUMENTS; i++) {
        evacuated[i] = evacuated[i - 1];
        if (choice_percent(&c, 40)) {
            evacuated[i] = !evacuated[i];
            documents[i] = GfControl_WithDomain(documents[i - 1], &domain,
                                                evacuated[i], NULL);
        }
        else {
            text = bundle(++bundle_version, choice_below(&c, 99));
            documents[i] =
                GfControl_WithBundle(documents[i - 1], text.data, NULL);
            GfStr_Clear(&text);
        }
    }
    const char *without = getenv("GUAVAFLOW_WITHOUT_RULE");
    bool last_wins = without != NULL && strcmp(without, "version") == 0;
    GfControl *control = GfControl_Create(1000);
    uint64_t highest = 0;
    uint64_t amount = 1000;
    for (int i = 0; i < ARRIVALS; i++) {
        uint32_t pick = choice_below(&c, DOCUMENTS);
        if (last_wins) {
            GfControl_Destroy(control);
            control = GfControl_Create(1000);
        }
        GfControl_Apply(control, documents[pick], (struct timespec){0}, NULL);
        highest = pick + 1 > highest ? pick + 1 : highest;
        GfQuota part = {.mcores = 1000};
        uint64_t now = GfControl_ScaleGrant(control, &team, part, 1).mcores;
        if (GfControl_Version(control) != highest ||
            GfControl_DomainIsOut(control, &domain) !=
                evacuated[highest - 1] ||
            now > amount) {
            fprintf(stderr, "breach: the control state went back\n");
            abort();
        }
        amount = now;
    }
    GfControl_Destroy(control);
    for (int i = 0; i < DOCUMENTS; i++) {
        json_decref(documents[i]);
    }
    return 0;
}
