#include "guavaflow/member.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct GfMembers {
    GfName self;
    GfMemberConfig config;
    bool self_leaving;
    GfMember *list;
    size_t count;
};

/* Creates a membership that knows this entry alone. */
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

/* Frees the membership. */
void
GfMembers_Destroy(GfMembers *members)
{
    if (members != NULL) {
        free(members->list);
        free(members);
    }
}

/* Finds a member's record, or NULL. */
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

/* Adds a member or its new address. Being listed is no sign of life. */
void
GfMembers_List(GfMembers *members, const GfName *name, const char *address,
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

/* Notes direct contact with a member: it answered, or it called. */
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
    m->heard = true;
    m->heard_at = now;
}

/* Notes what a member says of itself. */
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

/* Removes one member. */
void
GfMembers_Remove(GfMembers *members, const GfName *name)
{
    GfMember *m = find(members, name);
    if (m != NULL) {
        *m = members->list[--members->count];
    }
}

/* Forgets the members that neither the store lists nor anyone hears from. */
void
GfMembers_Forget(GfMembers *members, struct timespec now)
{
    for (size_t i = members->count; i > 0; i--) {
        GfMember *m = &members->list[i - 1];
        bool listed =
            GfTime_DiffMs(now, m->listed_at) < members->config.forget_ms;
        bool heard = m->heard && GfTime_DiffMs(now, m->heard_at) <
                                     members->config.forget_ms;
        if (!listed && !heard) {
            *m = members->list[--members->count];
        }
    }
}

/* Takes this entry out of ownership. */
void
GfMembers_SetSelfLeaving(GfMembers *members)
{
    members->self_leaving = true;
}

/* Returns how many other members are known. */
size_t
GfMembers_Count(const GfMembers *members)
{
    return members->count;
}

/* Returns another member by index. */
const GfMember *
GfMembers_At(const GfMembers *members, size_t index)
{
    assert(index < members->count);
    return &members->list[index];
}

/* Finds another member by name, or returns NULL. */
const GfMember *
GfMembers_Find(const GfMembers *members, const GfName *name)
{
    return find(members, name);
}

/* Tells whether a member was heard directly a short while ago. */
bool
GfMembers_InContact(const GfMembers *members, const GfMember *member,
                    struct timespec now)
{
    return member->heard &&
           GfTime_DiffMs(now, member->heard_at) < members->config.contact_ms;
}

/* Finds the member responsible for a subject: the highest hash among those
 * in contact that do not leave (rendezvous hashing, Thaler and Ravishankar
 * 1998). Returns false if there is none. */
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
