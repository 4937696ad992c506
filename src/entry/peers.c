#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define HEARTBEAT_TIMEOUT_MS 1000

/* The connection to another entry at one address. */
struct EntryPeer {
    GfEntry *entry;
    GfName member;
    char address[64];
    uint16_t port;
    GfRpcClient *client;
    bool heartbeat_pending;
    EntryPeer *next;
};

/* A heartbeat that waits for its reply. */
typedef struct {
    EntryPeer *peer;
    struct timespec sent_at;
} HeartbeatCall;

/* Sets up an empty list of connections. A connection is made with the first
 * call to a member. */
void
EntryPeers_Create(GfEntry *entry)
{
    entry->peers = NULL;
}

/* Closes all connections to peers and frees them. */
void
EntryPeers_Destroy(GfEntry *entry)
{
    EntryPeer *p;
    EntryPeer *tmp;
    LL_FOREACH_SAFE(entry->peers, p, tmp)
    {
        LL_DELETE(entry->peers, p);
        GfRpcClient_Destroy(p->client);
        free(p);
    }
}

/* Returns the connection to a member, creating it if needed. A member at a new
 * address gets a new connection; the old one is kept until the entry is
 * destroyed. */
static EntryPeer *
get_peer(GfEntry *entry, const GfMember *member)
{
    EntryPeer *p;
    LL_FOREACH(entry->peers, p)
    {
        if (GfName_Equal(&p->member, &member->name) &&
            p->port == member->port &&
            strcmp(p->address, member->address) == 0) {
            return p;
        }
    }
    p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    p->entry = entry;
    p->member = member->name;
    memcpy(p->address, member->address, sizeof(p->address));
    p->port = member->port;
    p->client = GfRpcClient_Create(entry->base, p->address, p->port,
                                   &ENTRY_PEER_PROGRAM, entry->clock);
    LL_PREPEND(entry->peers, p);
    return p;
}

/* Calls a procedure of another entry. args is encoded before this returns;
 * result_bytes is the size of the decoded result. The callback is called once,
 * with the result or an error after timeout_ms at the latest. Returns false,
 * without calling it, if the member is unknown. */
bool
EntryPeers_Call(GfEntry *entry, const GfName *member, uint32_t procedure,
                void *args, size_t result_bytes, int timeout_ms,
                GfRpcCallback callback, void *arg)
{
    const GfMember *m = GfMembers_Find(entry->members, member);
    if (m == NULL) {
        return false;
    }
    EntryPeer *p = get_peer(entry, m);
    GfRpcClient_Start(p->client, procedure, args, result_bytes, timeout_ms,
                      callback, arg);
    return true;
}

/* Returns whether more than half of the known members, this one included, are
 * in contact. */
static bool
has_majority(const GfEntry *entry, struct timespec now)
{
    size_t all = GfMembers_Count(entry->members) + 1;
    size_t contact = 1;
    for (size_t i = 0; i < all - 1; i++) {
        contact += GfMembers_InContact(entry->members,
                                       GfMembers_At(entry->members, i), now);
    }
    return contact * 2 > all;
}

/* Handles the reply to a heartbeat: the peer is in contact. If it has a higher
 * control version, the control state is fetched from it. If it has the same
 * one, that confirms the state as of the time when the heartbeat was sent,
 * provided that a majority of the members is in contact. */
static void
on_heartbeat_reply(void *arg, const GfRpcOutcome *outcome)
{
    HeartbeatCall *call = arg;
    EntryPeer *p = call->peer;
    GfEntry *entry = p->entry;
    p->heartbeat_pending = false;
    GfName member;
    if (outcome->kind == GF_OK) {
        const gfx_beat_reply *reply = outcome->result;
        struct timespec now = Entry_Now(entry);
        if (GfName_SetText(&member, reply->member)) {
            GfMembers_Contact(entry->members, &member, reply->incarnation,
                              reply->control_version, now);
            uint64_t version = GfControl_Version(entry->control);
            if (reply->control_version > version) {
                EntryControl_FetchFrom(entry, &member);
            }
            else if (reply->control_version == version &&
                     has_majority(entry, now)) {
                GfControl_Confirm(entry->control, version, call->sent_at);
            }
        }
    }
    free(call);
}

/* Fills the wire form of a rack's view. Its strings point into view. */
static void
fill_rack(gfx_rack *out, const GfRackView *view)
{
    out->rack = (char *)view->rack.data;
    out->term = view->term;
    out->open = view->open;
    out->free_mcores = view->free_mcores;
    out->widest_mcores = view->largest_free.mcores;
    out->widest_memory_mb = view->largest_free.memory_mb;
    out->widest_accelerators = view->largest_free.accelerators;
    out->largest_mcores = view->largest_capacity.mcores;
    out->largest_memory_mb = view->largest_capacity.memory_mb;
    out->largest_accelerators = view->largest_capacity.accelerators;
    out->services.services_len = (u_int)view->service_count;
    gfx_service_room *slots = calloc(view->service_count + 1, sizeof(*slots));
    if (slots == NULL) {
        abort();
    }
    out->services.services_val = slots;
    for (size_t i = 0; i < view->service_count; i++) {
        slots[i].service = (char *)view->services[i].service.data;
        slots[i].free_slots = view->services[i].free_slots;
        slots[i].queued = view->services[i].queued;
    }
}

/* Fills in the racks held here, and those that were released with no request
 * running, so that their next holder can use all slots at once. */
static void
fill_racks(GfEntry *entry, gfx_beat *heartbeat)
{
    size_t count = entry->rack_count + 1;
    heartbeat->racks.racks_val = calloc(count, sizeof(gfx_rack));
    heartbeat->clean_racks.clean_racks_val = calloc(count, sizeof(gfx_clean));
    if (heartbeat->racks.racks_val == NULL ||
        heartbeat->clean_racks.clean_racks_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < entry->rack_count; i++) {
        GfRackAgent *agent = entry->racks[i];
        const GfName *name = GfRackAgent_Name(agent);
        uint64_t lease_sum = 0;
        if (GfRackAgent_IsHeld(agent)) {
            const GfRackView *view = GfFleet_Find(entry->fleet, name);
            if (view != NULL && Entry_IsSelf(entry, &view->holder)) {
                fill_rack(
                    &heartbeat->racks.racks_val[heartbeat->racks.racks_len++],
                    view);
            }
        }
        else if (GfRackAgent_WasReleasedClean(agent, &lease_sum)) {
            gfx_clean *out = &heartbeat->clean_racks.clean_racks_val
                                  [heartbeat->clean_racks.clean_racks_len++];
            out->rack = (char *)name->data;
            out->lease_sum = lease_sum;
        }
    }
}

/* Fills in what each team uses on the racks held here, and how many of its
 * tasks wait. Teams with nothing are left out. */
static void
fill_uses(GfEntry *entry, gfx_beat *heartbeat)
{
    const GfBundle *bundle = GfControl_Bundle(entry->control);
    size_t count = bundle == NULL ? 0 : GfBundle_TeamCount(bundle);
    heartbeat->uses.uses_val = calloc(count + 1, sizeof(gfx_use));
    if (heartbeat->uses.uses_val == NULL) {
        abort();
    }
    for (size_t t = 0; t < count; t++) {
        const GfTeam *team = GfBundle_TeamAt(bundle, t);
        GfQuota use = {0};
        for (size_t i = 0; i < entry->rack_count; i++) {
            if (GfRackAgent_IsHeld(entry->racks[i])) {
                GfQuota rack_use =
                    GfRackAgent_TeamUse(entry->racks[i], &team->name);
                use.mcores += rack_use.mcores;
                use.requests += rack_use.requests;
            }
        }
        uint32_t waiting =
            GfJobTracker_CountWaiting(entry->job_tracker, &team->name);
        if (use.mcores + use.requests + waiting > 0) {
            gfx_use *out =
                &heartbeat->uses.uses_val[heartbeat->uses.uses_len++];
            out->team = (char *)team->name.data;
            out->mcores = (u_int)use.mcores;
            out->requests = (u_int)use.requests;
            out->waiting = waiting;
        }
    }
}

/* Fills in the partitions that are owned here, with their epochs. */
static void
fill_partitions(GfEntry *entry, gfx_beat *heartbeat)
{
    uint32_t count = entry->settings->partitions;
    heartbeat->parts.parts_val = calloc(count, sizeof(gfx_part));
    if (heartbeat->parts.parts_val == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < count; i++) {
        GfJournal *journal = entry->partitions[i].journal;
        if (GfJournal_State(journal) == GF_JOURNAL_OWNED) {
            gfx_part *out =
                &heartbeat->parts.parts_val[heartbeat->parts.parts_len++];
            out->partition = i;
            out->epoch = GfJournal_Epoch(journal);
        }
    }
}

/* Frees the arrays of a heartbeat. The strings belong to others. */
static void
free_heartbeat(gfx_beat *heartbeat)
{
    for (u_int i = 0; i < heartbeat->racks.racks_len; i++) {
        free(heartbeat->racks.racks_val[i].services.services_val);
    }
    free(heartbeat->racks.racks_val);
    free(heartbeat->clean_racks.clean_racks_val);
    free(heartbeat->uses.uses_val);
    free(heartbeat->parts.parts_val);
}

/* Sends a heartbeat to every known member. */
void
EntryPeers_SendHeartbeats(GfEntry *entry)
{
    gfx_beat heartbeat;
    memset(&heartbeat, 0, sizeof(heartbeat));
    heartbeat.member = entry->member.data;
    heartbeat.incarnation = entry->incarnation;
    heartbeat.control_version = GfControl_Version(entry->control);
    heartbeat.leaving = entry->stopping;
    heartbeat.has_store = Entry_StoreIsReachable(entry);
    fill_racks(entry, &heartbeat);
    fill_uses(entry, &heartbeat);
    fill_partitions(entry, &heartbeat);
    u_long bytes = xdr_sizeof((xdrproc_t)xdr_gfx_beat, &heartbeat);
    for (size_t i = 0; i < GfMembers_Count(entry->members); i++) {
        EntryPeer *p = get_peer(entry, GfMembers_At(entry->members, i));
        HeartbeatCall *call = calloc(1, sizeof(*call));
        if (call == NULL) {
            abort();
        }
        *call = (HeartbeatCall){.peer = p, .sent_at = Entry_Now(entry)};
        p->heartbeat_pending = true;
        GfMetrics_Add(GF_METRIC_HEARTBEATS, 1);
        GfMetrics_Add(GF_METRIC_HEARTBEAT_BYTES, bytes);
        GfRpcClient_Start(p->client, GFX_BEAT, &heartbeat,
                          sizeof(gfx_beat_reply), HEARTBEAT_TIMEOUT_MS,
                          on_heartbeat_reply, call);
    }
    free_heartbeat(&heartbeat);
}

/* Applies a heartbeat's report of one rack to the view of the fleet. A
 * malformed name is ignored. */
static void
update_rack_view(GfEntry *entry, const GfName *member, const gfx_rack *rack,
                 struct timespec now)
{
    GfRackView view;
    memset(&view, 0, sizeof(view));
    if (!GfName_SetText(&view.rack, rack->rack)) {
        return;
    }
    view.holder = *member;
    view.term = rack->term;
    view.open = rack->open;
    view.free_mcores = rack->free_mcores;
    view.largest_free =
        (GfResourceVector){.mcores = rack->widest_mcores,
                           .memory_mb = rack->widest_memory_mb,
                           .accelerators = rack->widest_accelerators};
    view.largest_capacity =
        (GfResourceVector){.mcores = rack->largest_mcores,
                           .memory_mb = rack->largest_memory_mb,
                           .accelerators = rack->largest_accelerators};
    view.reported_at = now;
    for (u_int i = 0; i < rack->services.services_len &&
                      view.service_count < GF_RACK_MAX_SERVICES;
         i++) {
        const gfx_service_room *in = &rack->services.services_val[i];
        GfServiceSlots *slots = &view.services[view.service_count];
        if (GfName_SetText(&slots->service, in->service)) {
            slots->free_slots = in->free_slots;
            slots->queued = in->queued;
            view.service_count++;
        }
    }
    GfFleet_Update(entry->fleet, &view);
}

/* Applies a heartbeat: contact with the member, its racks, the use of its
 * teams, its partitions and its cleanly released racks. Racks that the member
 * no longer reports have no holder. A higher control version is fetched. */
void
EntryPeers_HandleHeartbeat(GfEntry *entry, const gfx_beat *heartbeat)
{
    GfName member;
    GfName name;
    struct timespec now = Entry_Now(entry);
    if (!GfName_SetText(&member, heartbeat->member) ||
        Entry_IsSelf(entry, &member)) {
        return;
    }
    GfMembers_Contact(entry->members, &member, heartbeat->incarnation,
                      heartbeat->control_version, now);
    GfMembers_SetState(entry->members, &member, heartbeat->leaving,
                       heartbeat->has_store);
    for (u_int i = 0; i < heartbeat->racks.racks_len; i++) {
        update_rack_view(entry, &member, &heartbeat->racks.racks_val[i], now);
    }
    GfFleet_CloseStale(entry->fleet, &member, now);
    GfFleet_ClearUse(entry->fleet, &member);
    for (u_int i = 0; i < heartbeat->uses.uses_len; i++) {
        const gfx_use *use = &heartbeat->uses.uses_val[i];
        if (GfName_SetText(&name, use->team)) {
            GfFleet_SetUse(
                entry->fleet, &member, &name,
                (GfQuota){.mcores = use->mcores, .requests = use->requests},
                use->waiting);
        }
    }
    for (u_int i = 0; i < heartbeat->parts.parts_len; i++) {
        EntryPartitions_NoteOwner(
            entry, heartbeat->parts.parts_val[i].partition,
            heartbeat->parts.parts_val[i].epoch, &member);
    }
    for (u_int i = 0; i < heartbeat->clean_racks.clean_racks_len; i++) {
        const gfx_clean *clean = &heartbeat->clean_racks.clean_racks_val[i];
        GfRackAgent *agent = NULL;
        if (GfName_SetText(&name, clean->rack)) {
            agent = Entry_FindRack(entry, &name);
        }
        if (agent != NULL) {
            GfRackAgent_NoteCleanRelease(agent, clean->lease_sum);
        }
    }
    if (heartbeat->control_version > GfControl_Version(entry->control)) {
        EntryControl_FetchFrom(entry, &member);
    }
}
