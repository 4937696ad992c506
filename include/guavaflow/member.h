/* Membership of entries: the other entries that are known, which of them are
 * in contact, and which entry is responsible for a subject (a rack, for
 * example) by rendezvous hashing.
 *
 * Only direct contact shows that a member is alive. Being listed in the store
 * adds a member but doesn't count as contact.
 *
 * Times are passed in by the caller and must not go back. Names and addresses
 * passed in are copied. Calls for a member that isn't known change nothing.
 * Memory exhaustion ends the process. */
#ifndef GUAVAFLOW_MEMBER_H
#define GUAVAFLOW_MEMBER_H

#include "guavaflow/clock.h"
#include "guavaflow/name.h"

typedef struct GfMembers GfMembers;

/* Another entry. */
typedef struct {
    GfName name;
    char address[64];
    uint16_t port;        /* for other entries */
    uint16_t caller_port; /* for callers */
    uint64_t incarnation; /* differs after each restart of the member */
    uint64_t control_version;
    bool leaving;                 /* it takes no responsibility any more */
    bool has_store;               /* it can reach the store */
    bool contacted;               /* it has been in contact at least once */
    struct timespec last_contact; /* time of the last direct contact */
    struct timespec listed_at;    /* when a list last named it */
} GfMember;

typedef struct {
    int32_t contact_ms; /* a member is in contact this long after the last
                           direct contact */
    int32_t forget_ms;  /* a member stays known this long after it was last
                           listed or in contact */
} GfMemberConfig;

/* Members. */
GfMembers *GfMembers_Create(const GfName *self, const GfMemberConfig *config);
void GfMembers_Destroy(GfMembers *members);
void GfMembers_Add(GfMembers *members, const GfName *name, const char *address,
                   uint16_t port, uint16_t caller_port, struct timespec now);
void GfMembers_Contact(GfMembers *members, const GfName *name,
                       uint64_t incarnation, uint64_t control_version,
                       struct timespec now);
void GfMembers_SetState(GfMembers *members, const GfName *name, bool leaving,
                        bool has_store);
void GfMembers_RemoveExpired(GfMembers *members, struct timespec now);
void GfMembers_Remove(GfMembers *members, const GfName *name);
void GfMembers_SetSelfLeaving(GfMembers *members);

/* Queries. The members returned belong to the membership and are valid until
 * it next changes. */
size_t GfMembers_Count(const GfMembers *members);
const GfMember *GfMembers_At(const GfMembers *members, size_t index);
const GfMember *GfMembers_Find(const GfMembers *members, const GfName *name);
bool GfMembers_InContact(const GfMembers *members, const GfMember *member,
                         struct timespec now);
bool GfMembers_Owner(const GfMembers *members, const GfName *subject,
                     struct timespec now, GfName *owner);

#endif
