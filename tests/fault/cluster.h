/* A small cluster of separate processes on loopback for tests of failures:
 * entries, the stand-ins of platform, workers and targets, and relays. A load
 * generator sends requests and records each answer; afterwards the answers and
 * the stand-ins' histories are checked for violated invariants.
 *
 * Entries are numbered from 1, racks and the hosts in them from 0. All ports
 * are at fixed distances from base_port, so that clusters with the same base
 * port can't run side by side. Times are ms on the boot-time clock, which all
 * processes share. While a function waits, the load goes on. */
#ifndef GUAVAFLOW_TESTS_CLUSTER_H
#define GUAVAFLOW_TESTS_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CLUSTER_MAX_ENTRIES 6
#define CLUSTER_DESK_KEY "gfk_desk_0123456789abcdef"
#define CLUSTER_NESTING_KEY "gfk_nesting_0123456789abcdef"
#define CLUSTER_OPS_KEY "gfk_ops_0123456789abcdef"

/* The size of a cluster and the limits of its teams, desk and nesting. */
typedef struct {
    uint16_t base_port;
    int entries;
    int racks;
    int workers_per_rack;
    int targets_per_rack;
    int desk_cores;
    int nesting_cores;
    int desk_requests; /* at a time */
    bool relays;       /* reach the platform and the peer ports by relays */
} ClusterConfig;

typedef struct Cluster Cluster;

/* One call of the load and its answer. */
typedef struct {
    char tag[64]; /* identifies the work; targets record it */
    char key[64]; /* idempotency key; empty: none */
    int entry;
    int64_t sent_at;
    int64_t answered_at;
    int status;       /* of HTTP; 0: no answer */
    char kind[32];    /* of the answer, such as ok; empty: none yet */
    char ran[16];     /* what the answer says: yes, no or unknown */
    char echo[64];    /* id of the request that the target answered */
    char request[64]; /* id that the entry gave the request */
} ClusterCall;

Cluster *Cluster_Start(const ClusterConfig *config);
void Cluster_Stop(Cluster *cluster);
void Cluster_StartEntry(Cluster *cluster, int entry);
void Cluster_StartDuplicate(Cluster *cluster, int entry);
void Cluster_SignalEntry(Cluster *cluster, int entry, int sig);
pid_t Cluster_EntryPid(const Cluster *cluster, int entry);
bool Cluster_EntryHasExited(Cluster *cluster, int entry);
int64_t Cluster_NowMs(void);

void Cluster_Run(Cluster *cluster, int ms);
bool Cluster_RunUntil(Cluster *cluster, bool (*done)(Cluster *, void *),
                      void *arg, int limit_ms);
bool Cluster_WaitServing(Cluster *cluster, int limit_ms);
void Cluster_SetLoad(Cluster *cluster, int requests_per_s, int keyed_per_s,
                     int work_ms);
void Cluster_SetEntryInLoad(Cluster *cluster, int entry, bool in);
const ClusterCall *Cluster_Calls(const Cluster *cluster, size_t *count);

json_t *Cluster_Call(Cluster *cluster, uint16_t port, const char *method,
                     const char *path, const char *key, json_t *body,
                     int *status);
void Cluster_ChangeConcurrently(Cluster *cluster, const char *path,
                                json_t *first_body, json_t *second_body,
                                json_t **first, json_t **second);
uint16_t Cluster_CallerPort(const Cluster *cluster, int entry);
uint16_t Cluster_PeerPort(const Cluster *cluster, int entry);
uint16_t Cluster_PlatformPort(const Cluster *cluster);
uint16_t Cluster_WorkersPort(const Cluster *cluster, int rack);
uint16_t Cluster_TargetsPort(const Cluster *cluster, int rack);
uint16_t Cluster_PlatformRelayControl(const Cluster *cluster, int entry);
uint16_t Cluster_PeerRelayControl(const Cluster *cluster, int entry);
void Cluster_SetFault(Cluster *cluster, uint16_t port, const char *mode,
                      const char *path, int slow_ms);
void Cluster_SetCut(Cluster *cluster, uint16_t relay_control, bool forward,
                    bool back);
char *Cluster_Submit(Cluster *cluster, int entry, const char *key,
                     json_t *job);
json_t *Cluster_JobStates(Cluster *cluster, int entry, const char *key,
                          const char *job);
json_t *Cluster_Metrics(Cluster *cluster, int entry);
json_t *Cluster_Change(Cluster *cluster, int entry, const char *path,
                       json_t *body);
char *Cluster_MakeBundle(Cluster *cluster, int version, const char *desk_key,
                         int desk_cores, int nesting_cores);
json_t *Cluster_MakeProposal(Cluster *cluster, const char *bundle);

json_t *Cluster_History(Cluster *cluster);
int Cluster_CountViolations(Cluster *cluster);

#endif
