#include "guavaflow/member.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* This entry and the other members, in no particular order. */
struct GfMembers {
    GfName self;
    GfMemberConfig config;
    bool self_leaving;
    GfMember *list;
    size_t count;
};

/* Creates a membership without other members. The caller destroys it with
 * GfMembers_Destroy. */
GfMembers *
GfMembers_Create(const GfName *self, const GfMemberConfig *config)
{
    assert(self != NULL && config != NULL);
    GfMembers *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        abort();
    }
    m->self = *self;
    m->config = *config;
    return m;
}

/* Frees the membership and its members. NULL is allowed. */
void
GfMembers_Destroy(GfMembers *members)
{
    if (members != NULL) {
        free(members->list);
        free(members);
    }
}

/* Finds a member by name, or returns NULL. */
static GfMember *
find(const GfMembers *m, const GfName *name)
{
    for (size_t i = 0; i < m->count; i++) {
        if (GfName_Equal(&m->list[i].name, name)) {
            return &m->list[i];
        }
    }
    return NULL;
}

/* Adds a member that a list names, or updates its address. A new member isn't
 * in contact. This entry's own name is ignored. An address of more than 63
 * bytes is cut. */
void
GfMembers_Add(GfMembers *members, const GfName *name, const char *address,
              uint16_t port, uint16_t caller_port, struct timespec now)
{
    if (GfName_Equal(name, &members->self)) {
        return;
    }
    GfMember *m = find(members, name);
    if (m == NULL) {
        size_t bytes = (members->count + 1) * sizeof(*members->list);
        GfMember *grown = realloc(members->list, bytes);
        if (grown == NULL) {
            abort();
        }
        members->list = grown;
        m = &members->list[members->count++];
        memset(m, 0, sizeof(*m));
        m->name = *name;
    }
    snprintf(m->address, sizeof(m->address), "%s", address);
    m->port = port;
    m->caller_port = caller_port;
    m->listed_at = now;
}

/* Records direct contact with a member: it called, or it answered a call. A
 * new incarnation no longer counts as leaving. */
void
GfMembers_Contact(GfMembers *members, const GfName *name, uint64_t incarnation,
                  uint64_t control_version, struct timespec now)
{
    GfMember *m = find(members, name);
    if (m == NULL) {
        return;
    }
    if (m->incarnation != incarnation) {
        m->leaving = false;
    }
    m->incarnation = incarnation;
    m->control_version = control_version;
    m->contacted = true;
    m->last_contact = now;
}

/* Records what a member reports about itself: whether it is leaving and
 * whether it can reach the store. */
void
GfMembers_SetState(GfMembers *members, const GfName *name, bool leaving,
                   bool has_store)
{
    GfMember *m = find(members, name);
    if (m != NULL) {
        m->leaving = leaving;
        m->has_store = has_store;
    }
}

/* Removes a member. */
void
GfMembers_Remove(GfMembers *members, const GfName *name)
{
    GfMember *m = find(members, name);
    if (m != NULL) {
        *m = members->list[--members->count];
    }
}

/* Removes the members that were neither listed nor in contact during the last
 * forget_ms. */
void
GfMembers_RemoveExpired(GfMembers *members, struct timespec now)
{
    for (size_t i = members->count; i > 0; i--) {
        GfMember *m = &members->list[i - 1];
        bool listed =
            GfTime_DiffMs(now, m->listed_at) < members->config.forget_ms;
        bool contacted = m->contacted && GfTime_DiffMs(now, m->last_contact) <
                                             members->config.forget_ms;
        if (!listed && !contacted) {
            *m = members->list[--members->count];
        }
    }
}

/* Makes this entry responsible for nothing from now on. */
void
GfMembers_SetSelfLeaving(GfMembers *members)
{
    members->self_leaving = true;
}

/* Returns the number of other members that are known. */
size_t
GfMembers_Count(const GfMembers *members)
{
    return members->count;
}

/* Returns the member at the given index, which must be less than
 * GfMembers_Count. */
const GfMember *
GfMembers_At(const GfMembers *members, size_t index)
{
    assert(index < members->count);
    return &members->list[index];
}

/* Finds a member by name, or returns NULL. */
const GfMember *
GfMembers_Find(const GfMembers *members, const GfName *name)
{
    return find(members, name);
}

/* Tells whether there was direct contact with a member during the last
 * contact_ms. */
bool
GfMembers_InContact(const GfMembers *members, const GfMember *member,
                    struct timespec now)
{
    return member->contacted && GfTime_DiffMs(now, member->last_contact) <
                                    members->config.contact_ms;
}

/* Finds the entry responsible for a subject: of this entry and the members in
 * contact, except those leaving, the one with the highest hash (rendezvous
 * hashing, Thaler and Ravishankar 1998). Returns false if there is none. */
bool
GfMembers_Owner(const GfMembers *members, const GfName *subject,
                struct timespec now, GfName *owner)
{
    uint64_t best = 0;
    bool found = false;
    if (!members->self_leaving) {
        best = GfName_Hash(subject, GfName_Hash(&members->self, 0));
        *owner = members->self;
        found = true;
    }
    for (size_t i = 0; i < members->count; i++) {
        const GfMember *m = &members->list[i];
        if (m->leaving || !GfMembers_InContact(members, m, now)) {
            continue;
        }
        uint64_t score = GfName_Hash(subject, GfName_Hash(&m->name, 0));
        if (!found || score > best) {
            best = score;
            *owner = m->name;
            found = true;
        }
    }
    return found;
}
