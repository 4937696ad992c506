/* Peers, the other entries of the cell: which are known and in contact,
 * heartbeats to them, and the RPCs that they call here. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "peers"
/* A peer counts as in contact for this long after a heartbeat or its
 * answer; several times the heartbeat interval. */
#define CONTACT_TIMEOUT_MS 1200
/* Timeout of a heartbeat. A healthy peer answers within some milliseconds,
 * one on a slowed host within some hundreds. */
#define HEARTBEAT_TIMEOUT_MS 450
/* Pause after a heartbeat to the owner that timed out; the client of a closed
 * connection refuses calls for 100 ms. */
#define RECONNECT_PAUSE_MS 105

/* Returns the peer with a name, or NULL if it is unknown. */
Peer *
EntryMembers_Find(GfCellEntry *entry, const GfName *name)
{
    Peer *peer = NULL;
    HASH_FIND(hh, entry->peers, name->data, name->len, peer);
    return peer;
}

/* Returns the peer with a name, and creates it if it is unknown. A peer
 * with a new address gets a new connection, unless incarnation is older
 * than the one known. incarnation is the wall-clock start of the peer's
 * process in ms; 0 if unknown. Returns NULL if the name is empty or that of
 * this entry. The entry owns the peer. */
Peer *
EntryMembers_FindOrCreate(GfCellEntry *entry, const GfName *name,
                          const char *address, uint16_t port,
                          uint64_t incarnation)
{
    if (GfName_Equal(name, &entry->self) || name->len == 0) {
        return NULL;
    }
    Peer *peer = EntryMembers_Find(entry, name);
    if (peer == NULL) {
        peer = calloc(1, sizeof(*peer));
        if (peer == NULL) {
            abort();
        }
        peer->entry = entry;
        peer->name = *name;
        peer->added_at = GfClock_Now(entry->clock);
        HASH_ADD(hh, entry->peers, name.data, peer->name.len, peer);
        GfLog(GF_LOG_INFO, PART, "peer added member=%s address=%s:%u",
              name->data, address, port);
    }
    bool moved = strcmp(peer->address, address) != 0 || peer->port != port;
    bool newer = incarnation > peer->incarnation;
    if (peer->client == NULL || (moved && incarnation >= peer->incarnation)) {
        if (peer->client != NULL) {
            /* Calls in progress on the old connection still get their
             * outcome. */
            RetiredClient *old = calloc(1, sizeof(*old));
            if (old == NULL) {
                abort();
            }
            old->client = peer->client;
            LL_PREPEND(entry->retired_clients, old);
        }
        snprintf(peer->address, sizeof(peer->address), "%s", address);
        peer->port = port;
        peer->heartbeat_open = false;
        peer->client = GfRpcClient_Create(entry->base, peer->address, port,
                                          &CELL_PEER_PROGRAM, entry->clock);
    }
    if (newer) {
        peer->incarnation = incarnation;
        peer->stopping = false;
    }
    return peer;
}

/* Returns the peer that a message describes, created if it is unknown; NULL
 * if the description is invalid, which is logged, or of this entry itself. */
Peer *
EntryMembers_FromXdr(GfCellEntry *entry, const gfc_peer *xdr)
{
    GfName name;
    if (!GfName_SetText(&name, xdr->member) || xdr->port > UINT16_MAX ||
        strlen(xdr->address) >= sizeof(((Peer *)0)->address)) {
        GfLog(GF_LOG_WARNING, PART, "peer description invalid");
        return NULL;
    }
    Peer *peer = EntryMembers_FindOrCreate(
        entry, &name, xdr->address, (uint16_t)xdr->port, xdr->incarnation);
    if (peer != NULL && xdr->strength > 0) {
        peer->strength = xdr->strength;
    }
    return peer;
}

/* Fills in the description of this entry. Its strings point into the entry. */
void
EntryMembers_DescribeSelf(GfCellEntry *entry, gfc_peer *self)
{
    self->member = entry->self.data;
    self->address = entry->settings->peer_advertised_endpoint.address;
    self->port = entry->settings->peer_advertised_endpoint.port;
    self->incarnation = entry->incarnation;
    self->strength = EntryOwnership_Strength(entry);
}

/* Returns whether the last direct contact with a peer, in either direction,
 * is recent. */
bool
EntryMembers_IsInContact(const GfCellEntry *entry, const Peer *peer)
{
    return peer->contacted &&
           GfTime_DiffMs(GfClock_Now(entry->clock), peer->last_contact_at) <
               CONTACT_TIMEOUT_MS;
}

/* Updates which peers are members by the owner's list. Owners send it only
 * when it has changed; an empty list changes nothing. */
static void
update_members(GfCellEntry *entry, const gfc_beat_reply *reply)
{
    if (reply->members.members_len == 0) {
        return;
    }
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        p->is_member = false;
    }
    for (u_int i = 0; i < reply->members.members_len; i++) {
        Peer *p = EntryMembers_FromXdr(entry, &reply->members.members_val[i]);
        if (p != NULL) {
            p->is_member = true;
        }
    }
}

/* Updates the limits that admission applies here by those of the owner: the
 * largest amount of each resource that a worker of a service has had, and
 * the teams whose backlog is full. */
static void
apply_admission(GfCellEntry *entry, const gfc_beat_reply *reply)
{
    GfAdmission *a = &entry->admission;
    for (u_int i = 0; i < reply->rooms.rooms_len; i++) {
        const gfc_room *capacity = &reply->rooms.rooms_val[i];
        GfName service;
        if (GfName_SetText(&service, capacity->service)) {
            GfAdmission_AddCapacity(a, &service,
                                    (GfResources){capacity->mcores,
                                                  capacity->memory_mb,
                                                  capacity->accelerators});
        }
    }
    a->full_count = 0;
    for (u_int i = 0; i < reply->full.full_len; i++) {
        GfFullTeam *full = &a->full[a->full_count];
        if (GfName_SetText(&full->team, reply->full.full_val[i].team)) {
            full->retry_after_ms = reply->full.full_val[i].retry_after_ms;
            a->full_count++;
        }
    }
}

/* Handles a heartbeat without an answer. */
static void
on_heartbeat_failed(Peer *peer, GfErrorKind kind)
{
    GfCellEntry *entry = peer->entry;
    struct timespec now = GfClock_Now(entry->clock);
    /* Only connections refused or lost in a row show that the process is gone;
     * a timeout does not. */
    if (kind != GF_CONNECTION_LOST) {
        peer->lost_heartbeats = 0;
    }
    else if (peer->lost_heartbeats++ == 0) {
        peer->first_lost_at = now;
    }
    if (kind == GF_TIMEOUT && peer == EntryOwnership_OwnerPeer(entry)) {
        /* Its connection is closed, and cannot be opened again sooner. */
        entry->next_heartbeat_at = GfTime_AddMs(now, RECONNECT_PAUSE_MS);
    }
}

/* Handles the answer to a heartbeat, or its failure. */
static void
on_heartbeat_reply(void *arg, const GfRpcOutcome *outcome)
{
    Peer *peer = arg;
    GfCellEntry *entry = peer->entry;
    peer->heartbeat_open = false;
    if (outcome->kind != GF_OK) {
        on_heartbeat_failed(peer, outcome->kind);
        return;
    }
    peer->lost_heartbeats = 0;
    const gfc_beat_reply *reply = outcome->result;
    struct timespec sent_at = peer->heartbeat_at;
    if (strcmp(reply->from.member, peer->name.data) != 0) {
        /* The address is a seed's, or another entry has it now. */
        Peer *real = EntryMembers_FromXdr(entry, &reply->from);
        if (real == NULL) {
            return;
        }
        peer = real;
    }
    peer->contacted = true;
    peer->last_contact_at = GfClock_Now(entry->clock);
    peer->stopping = reply->stopping;
    update_members(entry, reply);
    if (reply->owns && entry->term == NULL) {
        entry->members_digest = reply->members_digest;
        apply_admission(entry, reply);
        EntryForecast_Apply(entry, peer, sent_at, &reply->forecast);
    }
    EntryControl_SyncWithPeer(entry, peer, reply->config_version);
    EntryStore_HandleReport(entry, peer, reply->has_store);
    EntryTerm_HandleFormerOwner(entry, peer, reply);
    EntryOwnership_HandleReply(entry, peer, reply);
    if (peer != EntryOwnership_OwnerPeer(entry)) {
        GfOwnerSilence_RecordAnswer(&entry->silence, sent_at,
                                    GfClock_Now(entry->clock));
    }
}

/* Sends a heartbeat to a peer, unless one is in progress. */
void
EntryMembers_SendHeartbeat(GfCellEntry *entry, Peer *peer)
{
    if (peer->heartbeat_open) {
        return;
    }
    peer->heartbeat_open = true;
    peer->heartbeat_at = GfClock_Now(entry->clock);
    gfc_beat heartbeat = {
        .token = (uint64_t)entry->owner.token,
        .members_digest = entry->members_digest,
        .forecast_number = EntryForecast_KnownNumber(entry),
        .config_version =
            entry->config == NULL ? 0 : (uint64_t)entry->config->version,
        .owns = entry->term != NULL,
        .stopping = entry->stopping,
        .has_store = EntryStore_IsReachable(entry)};
    EntryMembers_DescribeSelf(entry, &heartbeat.from);
    GfMetrics_Add(GF_METRIC_HEARTBEATS, 1);
    GfRpcClient_Start(peer->client, GFC_BEAT, &heartbeat,
                      sizeof(gfc_beat_reply), HEARTBEAT_TIMEOUT_MS,
                      on_heartbeat_reply, peer);
}

/* Returns a digest of the peers in contact, their incarnation and strength,
 * so that the list is sent only to peers that have another one. */
static uint64_t
members_digest(GfCellEntry *entry)
{
    uint64_t digest = 1;
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (EntryMembers_IsInContact(entry, p)) {
            digest ^= GfName_Hash(&p->name, p->incarnation + p->strength);
        }
    }
    return digest;
}

/* Fills out, of GFC_MAX_MEMBERS elements, with the peers in contact.
 * Returns their number. The strings point into the peers. */
static u_int
list_members(GfCellEntry *entry, gfc_peer *out)
{
    u_int count = 0;
    for (Peer *p = entry->peers; p != NULL && count < GFC_MAX_MEMBERS;
         p = p->hh.next) {
        if (EntryMembers_IsInContact(entry, p)) {
            out[count++] = (gfc_peer){.member = p->name.data,
                                      .address = p->address,
                                      .port = p->port,
                                      .incarnation = p->incarnation,
                                      .strength = p->strength};
        }
    }
    return count;
}

/* Adds the limits of admission to the answer to a heartbeat. capacities and
 * full are storage for them and must live until the answer is sent. */
static void
add_admission(GfAdmission *a, gfc_room *capacities, gfc_full_team *full,
              gfc_beat_reply *reply)
{
    for (size_t i = 0; i < a->service_count; i++) {
        const GfResources *l = &a->services[i].largest;
        capacities[i] = (gfc_room){.service = a->services[i].service.data,
                                   .mcores = l->mcores,
                                   .memory_mb = l->memory_mb,
                                   .accelerators = l->accelerators};
    }
    for (size_t i = 0; i < a->full_count; i++) {
        full[i] = (gfc_full_team){.team = a->full[i].team.data,
                                  .retry_after_ms = a->full[i].retry_after_ms};
    }
    reply->rooms.rooms_val = capacities;
    reply->rooms.rooms_len = (u_int)a->service_count;
    reply->full.full_val = full;
    reply->full.full_len = (u_int)a->full_count;
}

/* Handles a heartbeat from another entry. An owner that learns of a higher
 * token from it gives up ownership after answering. */
static void
handle_heartbeat(void *ctx, GfRpcCall *call, void *args)
{
    GfCellEntry *entry = ctx;
    const gfc_beat *heartbeat = args;
    Peer *peer = EntryMembers_FromXdr(entry, &heartbeat->from);
    if (peer != NULL) {
        peer->contacted = true;
        peer->last_contact_at = GfClock_Now(entry->clock);
        peer->stopping = heartbeat->stopping;
        EntryControl_SyncWithPeer(entry, peer, heartbeat->config_version);
        EntryStore_HandleReport(entry, peer, heartbeat->has_store);
        EntryOwnership_HandleHeartbeat(entry, peer, heartbeat);
    }
    gfc_peer members[GFC_MAX_MEMBERS];
    gfc_beat_reply reply = {
        .owns = entry->term != NULL,
        .claiming = entry->claiming,
        .ready = EntryTerm_IsReady(entry),
        .stopping = EntryOwnership_ShouldYield(entry),
        .has_store =
            EntryStore_IsReachable(entry) && !EntryTerm_CommitIsLate(entry),
        .store_ms = (u_int)EntryTerm_StoreMs(entry),
        .token = (uint64_t)entry->owner.token,
        .config_version =
            entry->config == NULL ? 0 : (uint64_t)entry->config->version};
    EntryMembers_DescribeSelf(entry, &reply.from);
    EntryMembers_DescribeSelf(entry, &reply.owner);
    Peer *owner = EntryMembers_Find(entry, &entry->owner.name);
    if (entry->term == NULL && owner != NULL) {
        reply.owner = (gfc_peer){.member = owner->name.data,
                                 .address = owner->address,
                                 .port = owner->port,
                                 .incarnation = owner->incarnation,
                                 .strength = owner->strength};
        int64_t no_contact_ms = GfTime_DiffMs(GfClock_Now(entry->clock),
                                              entry->owner.last_contact_at);
        reply.owner_silent_ms =
            no_contact_ms > INT32_MAX ? INT32_MAX : (u_int)no_contact_ms;
    }
    reply.members_digest = entry->term != NULL ? members_digest(entry) : 0;
    if (entry->term != NULL &&
        heartbeat->members_digest != reply.members_digest) {
        reply.members.members_val = members;
        reply.members.members_len = list_members(entry, members);
    }
    gfc_room capacities[GFC_MAX_SERVICES];
    gfc_full_team full[GFC_MAX_TEAMS];
    ForecastRows rows;
    if (entry->term != NULL) {
        EntryForecast_Fill(entry, heartbeat->forecast_number, &rows,
                           &reply.forecast);
        add_admission(&entry->admission, capacities, full, &reply);
        if (heartbeat->token > reply.token) {
            GfRpcCall_Reply(call, &reply);
            EntryOwnership_GiveUp(entry, "a peer knows a higher token");
            return;
        }
    }
    GfRpcCall_Reply(call, &reply);
}

/* Handles a job request from another entry. */
static void
handle_job(void *ctx, GfRpcCall *call, void *args)
{
    EntryJobs_HandlePeer(ctx, args, call);
}

/* Sends the advice service's answer to the owner. arg is the GfRpcCall. */
static void
on_advice(void *arg, GfErrorKind kind, const GfTicket *tickets, size_t count,
          int64_t valid_ms)
{
    gfc_advice_reply reply = {.kind = kind, .valid_ms = (u_int)valid_ms};
    gfc_ticket rows[GFC_MAX_WORKERS];
    count = count > GFC_MAX_WORKERS ? GFC_MAX_WORKERS : count;
    for (size_t i = 0; i < count; i++) {
        rows[i] = (gfc_ticket){.worker = (char *)tickets[i].worker.data,
                               .ticket = (char *)tickets[i].ticket.data};
    }
    reply.tickets.tickets_val = rows;
    reply.tickets.tickets_len = (u_int)count;
    GfRpcCall_Reply(arg, &reply);
}

/* Asks the advice service on behalf of the owner. Worker names that are too
 * long are skipped. */
static void
handle_advise(void *ctx, GfRpcCall *call, void *args)
{
    GfCellEntry *entry = ctx;
    const gfc_advice_ask *ask = args;
    GfName workers[GFC_MAX_WORKERS];
    size_t count = 0;
    for (u_int i = 0; i < ask->workers.workers_len; i++) {
        if (GfName_SetText(&workers[count], ask->workers.workers_val[i])) {
            count++;
        }
    }
    entry->commands->ops->advise(entry->commands, ask->step, workers, count,
                                 (int)ask->timeout_ms, on_advice, call);
}

/* Sends the current configuration if it is newer than that of the caller,
 * else an empty document. */
static void
handle_config(void *ctx, GfRpcCall *call, void *args)
{
    GfCellEntry *entry = ctx;
    const gfc_config_ask *ask = args;
    gfc_config_reply reply = {0};
    if (entry->config != NULL &&
        (uint64_t)entry->config->version > ask->known_version) {
        reply.config_version = (uint64_t)entry->config->version;
        reply.document.document_val = entry->config_text.data;
        reply.document.document_len = (u_int)entry->config_text.len;
    }
    GfRpcCall_Reply(call, &reply);
}

static const GfRpcProcedure PROCEDURES[] = {
    GF_RPC_PROCEDURE(GFC_BEAT, gfc_beat, gfc_beat_reply, handle_heartbeat),
    GF_RPC_PROCEDURE(GFC_JOB, gfc_job_call, gfc_job_reply, handle_job),
    GF_RPC_PROCEDURE(GFC_ADVISE, gfc_advice_ask, gfc_advice_reply,
                     handle_advise),
    GF_RPC_PROCEDURE(GFC_CONFIG, gfc_config_ask, gfc_config_reply,
                     handle_config),
};

const GfRpcProgram CELL_PEER_PROGRAM = {
    .program = GFC_CELL,
    .version = GFC_CELL_V1,
    .procedures = PROCEDURES,
    .procedure_count = sizeof(PROCEDURES) / sizeof(PROCEDURES[0])};

/* Closes the connections to all peers, also the replaced ones, and frees
 * the peers. */
void
EntryMembers_Destroy(GfCellEntry *entry)
{
    Peer *peer;
    Peer *tmp;
    HASH_ITER(hh, entry->peers, peer, tmp)
    {
        HASH_DELETE(hh, entry->peers, peer);
        GfRpcClient_Destroy(peer->client);
        free(peer);
    }
    RetiredClient *old;
    RetiredClient *otmp;
    LL_FOREACH_SAFE(entry->retired_clients, old, otmp)
    {
        GfRpcClient_Destroy(old->client);
        free(old);
    }
}
