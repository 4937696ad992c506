/* State of an entry for operators: gauges, the owner, the members, the
 * version of the configuration and the failure domains out of service. */
#include <jansson.h>

#include "entry_private.h"
#include "guavaflow/metrics.h"

/* Returns the version of the current configuration; 0 if there is none. */
static json_int_t
config_version(const GfCellEntry *entry)
{
    return entry->config == NULL ? 0 : (json_int_t)entry->config->version;
}

/* Sets the gauges of the entry and, if it owns the cell, of the cell. */
void
GfCellEntry_UpdateMetrics(const GfCellEntry *entry)
{
    size_t in_contact = 0;
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        in_contact += EntryMembers_IsInContact(entry, p);
    }
    GfMetrics_Set(GF_METRIC_MEMBERS_IN_CONTACT, in_contact);
    GfMetrics_Set(GF_METRIC_OWNER_TOKEN, (uint64_t)entry->owner.token);
    uint64_t version = (uint64_t)config_version(entry);
    GfMetrics_Set(GF_METRIC_CONTROL_NEWEST, entry->newer_version > version
                                                ? entry->newer_version
                                                : version);
    GfMetrics_Set(GF_METRIC_CONTROL_WATCH_AGE_MS,
                  (uint64_t)EntryControl_WatchAgeMs(entry));
    GfCell *cell = EntryTerm_Cell(entry);
    if (cell != NULL) {
        GfCell_UpdateMetrics(cell);
    }
}

/* Returns a new JSON object with the state of the entry and, if it owns the
 * cell, of the cell. The caller releases it with json_decref. */
json_t *
GfCellEntry_Describe(const GfCellEntry *entry)
{
    struct timespec now = GfClock_Now(entry->clock);
    json_t *all =
        json_pack("{s:s,s:s,s:I,s:I,s:I,s:b,s:b}", "member", entry->self.data,
                  "owner", entry->owner.name.data, "token",
                  (json_int_t)entry->owner.token, "owner_silent_ms",
                  (json_int_t)GfTime_DiffMs(now, entry->owner.last_contact_at),
                  "config_version", config_version(entry), "store_answers",
                  EntryStore_IsReachable(entry), "stopping", entry->stopping);
    GfCell *cell = EntryTerm_Cell(entry);
    if (cell != NULL) {
        json_object_set_new(all, "owner_for_ms",
                            json_integer(EntryTerm_AgeMs(entry)));
        json_object_set_new(all, "cell", GfCell_Describe(cell));
    }
    return all;
}

/* Returns a new JSON object with the members as this entry sees them; the
 * caller releases it. Only the owner is in contact with all members. */
json_t *
GfCellEntry_DescribeMembers(const GfCellEntry *entry)
{
    json_t *list = json_array();
    json_array_append_new(
        list, json_pack("{s:s,s:b,s:b,s:I}", "name", entry->self.data,
                        "in_contact", 1, "leaving", (int)entry->stopping,
                        "control_version", config_version(entry)));
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:i,s:b,s:b,s:I}", "name", p->name.data,
                      "address", p->address, "port", (int)p->port,
                      "in_contact", (int)EntryMembers_IsInContact(entry, p),
                      "leaving", (int)p->stopping, "control_version",
                      (json_int_t)p->config_version));
    }
    return json_pack("{s:o,s:[{s:s,s:s}]}", "members", list, "racks", "rack",
                     "cell", "holder", entry->owner.name.data);
}

/* Returns a new JSON object with the configuration version and the failure
 * domains out of service; the caller releases it. */
json_t *
GfCellEntry_DescribeControl(const GfCellEntry *entry)
{
    json_t *out = json_array();
    for (size_t i = 0; i < entry->evacuated_count; i++) {
        json_array_append_new(out,
                              json_string(entry->evacuated_domains[i].data));
    }
    return json_pack("{s:I,s:o}", "version", config_version(entry),
                     "domains_out", out);
}
