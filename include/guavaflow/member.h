/* Membership between entries: who is listed, who is in contact, and who is
 * responsible for a subject by rendezvous hashing. Only direct contact counts
 * as a sign of life; hearsay adds a member but keeps none alive. */
#ifndef GUAVAFLOW_MEMBER_H
#define GUAVAFLOW_MEMBER_H

#include "guavaflow/clock.h"
#include "guavaflow/name.h"

typedef struct GfMembers GfMembers;

typedef struct {
    GfName name;
    char address[64];
    uint16_t port;
    uint16_t caller_port;
    uint64_t incarnation;
    uint64_t control_version;
    bool leaving;
    bool has_store;
    bool heard;
    struct timespec heard_at;
    struct timespec listed_at;
} GfMember;

typedef struct {
    int32_t contact_ms;
    int32_t forget_ms;
} GfMemberConfig;

GfMembers *GfMembers_Create(const GfName *self, const GfMemberConfig *config);
void GfMembers_Destroy(GfMembers *members);
void GfMembers_List(GfMembers *members, const GfName *name,
                    const char *address, uint16_t port, uint16_t caller_port,
                    struct timespec now);
void GfMembers_Contact(GfMembers *members, const GfName *name,
                       uint64_t incarnation, uint64_t control_version,
                       struct timespec now);
void GfMembers_SetState(GfMembers *members, const GfName *name, bool leaving,
                        bool has_store);
void GfMembers_Forget(GfMembers *members, struct timespec now);
void GfMembers_Remove(GfMembers *members, const GfName *name);
void GfMembers_SetSelfLeaving(GfMembers *members);
size_t GfMembers_Count(const GfMembers *members);
const GfMember *GfMembers_At(const GfMembers *members, size_t index);
const GfMember *GfMembers_Find(const GfMembers *members, const GfName *name);
bool GfMembers_InContact(const GfMembers *members, const GfMember *member,
                         struct timespec now);
bool GfMembers_Owner(const GfMembers *members, const GfName *subject,
                     struct timespec now, GfName *owner);

#endif
