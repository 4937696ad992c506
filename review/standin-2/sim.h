/* Stand-ins for the cases of the second review: the platform's store, its
 * workers and the callers, in one process that also starts the entries, with
 * the command of the deploy file, as processes of their own. A case is a
 * function that goes through its steps with these calls and judges what the
 * workers and the callers saw. Every event is written to record.txt.
 *
 * The stand-ins follow PROTOCOL.md. Times are ms on the steady clock since the
 * start of the program, unless said otherwise. */
#ifndef REVIEW_SIM_H
#define REVIEW_SIM_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#define SIM_MAX_WORKERS 16
#define SIM_MAX_ENTRIES 4
#define SIM_HOLD_MAX_MS 10000  /* bounds.holdMaxMs */
#define SIM_STOP_MS 200        /* bounds.stopMs */
#define SIM_BEAT_MS 1500       /* heartbeatMs */
#define SIM_CHECKPOINT_MS 1000 /* checkpointS */
#define SIM_STORE_MS 4         /* time of an answer of the store */
#define SIM_KEY "key-desk"
#define SIM_HOST "jobs.example"

/* A run of a task on a worker. */
typedef struct SimRun {
    char task[80];
    int64_t run;
    int64_t started_at;
    int64_t ends_at; /* of its own accord, or by a stop */
    bool stopping;
    bool fails;
    bool saves; /* reports a checkpoint after SIM_CHECKPOINT_MS of work */
    int64_t mcores;
    struct SimRun *next;
} SimRun;

/* An end that a worker lists until it is acknowledged. */
typedef struct SimEnd {
    int64_t number;
    char task[80];
    int64_t run;
    const char *how;
    struct SimEnd *next;
} SimEnd;

/* The highest run of a task that was stopped or has ended on a worker. */
typedef struct SimStopped {
    char task[80];
    int64_t run;
    struct SimStopped *next;
} SimStopped;

typedef struct SimHold SimHold;

/* A worker. Its clock begins anew in each life. */
typedef struct {
    int index;
    char id[16];
    uint16_t port;
    void *server; /* NULL: down */
    int64_t mcores;
    int64_t memory_mb;
    const char *kind;
    int64_t born;    /* Unix ms */
    int64_t born_at; /* start of its clock */
    int64_t next_beat_at;
    int64_t seq;
    bool cut; /* what is sent to it is lost */
    SimRun *runs;
    SimEnd *ends;
    SimStopped *stopped;
    SimHold *holds;
    int64_t last_end;
    int64_t acked;   /* highest ackCursor in this life */
    int64_t hold_at; /* its latest hold */
    int64_t fence;
    int64_t until; /* end of the lease, worker's clock */
} SimWorker;

/* What a case may watch. Callbacks may be NULL. on_start is called after a run
 * was added. hold_tx returns for how long in ms a transaction is put off, then
 * carried out if its condition still holds, and not answered; 0: none. */
typedef struct {
    void (*on_start)(SimWorker *w, SimRun *run);
    void (*on_end)(SimWorker *w, const SimRun *run, const char *how);
    /* an end reached by ackCursor */
    void (*on_acked)(SimWorker *w, const SimEnd *end);
    /* how long in ms a task runs, by its index; 0: as its text says */
    int64_t (*task_ms)(int index);
    int64_t (*hold_tx)(const json_t *body);
    /* called after a transaction was carried out */
    void (*on_tx)(const json_t *body);
} SimHooks;

extern SimWorker sim_workers[SIM_MAX_WORKERS];
extern int sim_worker_count;
extern SimHooks sim_hooks;
extern int sim_store_ms;    /* time of an answer of the store */
extern bool sim_store_down; /* it closes the connection of each call */

int64_t Sim_Now(void);
void Sim_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void Sim_Run(int ms);

void Sim_StartPlatform(int workers, int64_t mcores, int64_t memory_mb);
void Sim_Config(json_t *config);
json_t *Sim_Tenant(const char *name, const char *key, int64_t max_mcores);
json_t *Sim_Route(const char *name, const char *prefix, int priority,
                  int max_attempts);
void Sim_StartEntries(int count);
bool Sim_WaitReady(int ms);
void Sim_KillEntry(int entry);
void Sim_RestartEntry(int entry);
int Sim_Owner(void);
/* Returns the value of a row that an entry stored, which the caller releases;
 * NULL without one. */
json_t *Sim_StoredRow(const char *table, const char *part, const char *key);

void Sim_CrashWorker(SimWorker *w);
void Sim_BootWorker(SimWorker *w, int64_t mcores, const char *kind);
void Sim_CutWorker(SimWorker *w, bool cut);

/* Sends a call to an entry and waits for the answer. Returns the HTTP status,
 * or 0 without one within timeout_ms; then the caller has closed the
 * connection. *reply may be NULL; else the caller releases it. */
int Sim_Call(int entry, const char *method, const char *path, const char *key,
             const char *body, int timeout_ms, json_t **reply);
/* Hands in a job of one step; returns as Sim_Call. ms is how long a task
 * takes. */
int Sim_SubmitBody(int entry, const char *prefix, const char *id,
                   const char *key, const char *body, int timeout_ms);
int Sim_Submit(int entry, const char *prefix, const char *id, const char *key,
               int count, int64_t mcores, int64_t ms, int timeout_ms);
/* Hands in a job whose steps follow each other, each of count tasks. */
int Sim_SubmitChain(int entry, const char *prefix, const char *id,
                    const char *key, int steps, int count, int64_t mcores,
                    int64_t ms);
/* The same without waiting for the answer. */
void Sim_SubmitLater(int entry, const char *prefix, const char *id,
                     const char *key, int count, int64_t mcores, int64_t ms);
/* Returns the state of a job, or "" without one; valid until the next call. */
const char *Sim_State(int entry, const char *prefix, const char *id,
                      const char *key);

/* The case: returns 0 if the rule held, 1 if it was broken, 2 if the case
 * could not run. */
int Case_Run(bool trouble);

#endif
