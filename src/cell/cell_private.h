/* The state of a cell, shared by the source files of this folder. */
#ifndef GUAVAFLOW_CELL_PRIVATE_H
#define GUAVAFLOW_CELL_PRIVATE_H

#include <uthash.h>

#include "guavaflow/callers.h"
#include "guavaflow/cell.h"
#include "guavaflow/wait_report.h"
#include "guavaflow/worker_speed.h"
#include "guavaflow/run_time.h"
#include "guavaflow/interference.h"

#define CELL_PART "cell"
/* Time from the completion of a job's last task until the result is stored and
 * visible: the worker's report, the commit interval and a transaction. */
#define CELL_REPORT_DELAY_MS 60
/* Work classes that are accounted for separately in a team's use; higher
 * classes count as the last one. */
#define CELL_CLASSES 4
/* Crashes of workers that are remembered to tell single ones from a mass. */
#define CELL_CRASH_TIMES 64
/* Tasks of a step whose progress is stored in one row, in a large job. */
#define CELL_BLOCK_TASKS 32
/* Most rows in a transaction, without the two that each has; the store takes
 * 100 entries. */
#define CELL_COMMIT_ROWS 96
/* How long after it was sent an order without an answer may be carried out. */
#define CELL_LATE_ORDER_MS 12000
/* Most parts of the list of leased workers, a power of two. */
#define CELL_LEASE_PARTS 64

typedef struct Task Task;
typedef struct Step Step;
typedef struct Job Job;
typedef struct Worker Worker;
typedef struct Waiter Waiter;
typedef struct TeamUse TeamUse;
typedef struct OverloadOrder OverloadOrder;
typedef struct Foresight Foresight;
typedef struct TaskSharing TaskSharing; /* of neighbours.c */

/* State of a task on a worker. IDLE: on none. STARTING: the start order has no
 * outcome yet (a pending start). UNCONFIRMED: its outcome is unknown; if the
 * worker does not list the run, a stop order keeps the start from being
 * carried out late. A start that was sent to a worker's former incarnation is
 * UNCONFIRMED too, as either may carry it out. */
typedef enum {
    TASK_IDLE,
    TASK_STARTING,
    TASK_RUNNING,
    TASK_UNCONFIRMED
} TaskState;

/* A task and its current run. Serials are those of workers; 0 is none. */
struct Task {
    Step *step;
    Worker *worker; /* NULL if idle */
    Task *next;     /* in the worker's list */
    Task *prev;
    int64_t run;           /* number of the current or latest run */
    int64_t *failed_runs;  /* run numbers of the counted failures, unordered */
    int64_t *crashed_keys; /* worker incarnations that crashed under it */
    int64_t *doubted_keys; /* those that crashed when a former owner had meant
                              them for its next run */
    char *checkpoint;      /* latest one reported, or NULL */
    GfRunProgress progress; /* of the current run, for speed.c */
    TaskSharing *sharing;   /* NULL if idle, or if separation is off */
    struct timespec started_at;
    struct timespec stop_sent_at;
    struct timespec stop_acked_at;
    struct timespec unconfirmed_since; /* when it became UNCONFIRMED */
    struct timespec start_sent_at;     /* the current run's start, latest */
    struct timespec late_until; /* end of the time in which a start without an
                                   answer may arrive */
    int64_t late_worker;        /* key of the worker that it was sent to */
    int64_t
        start_expires_ms; /* the start is refused after it; worker's clock */
    struct timespec failed_at; /* latest counted failure in this term */
    uint32_t index;            /* in the step's tasks */
    uint32_t failures;         /* counted failures; size of failed_runs */
    uint32_t crashes;          /* size of crashed_keys */
    uint32_t doubts;           /* size of doubted_keys */
    uint32_t silent_runs;      /* of it, that the cell remembers */
    uint32_t inventory_number; /* latest inventory that listed the run */
    uint32_t avoid_serial;     /* worker of the latest failed run or start */
    uint32_t intended_serial;  /* worker named in the row before a start */
    int64_t intended_incarnation; /* of that worker */
    uint64_t intended_seq;        /* the change of the row that names it */
    uint32_t uncertain_serial;    /* closed worker that may run it, or 0 */
    uint8_t state;                /* a TaskState */
    bool done;
    bool moved_off_slow;   /* was stopped once, as its worker was slow */
    bool excused;          /* a crash was put down to another task */
    bool accused;          /* to be judged by crash.c; does not start */
    bool suspect;          /* counted in the cell's suspects */
    bool stopping;         /* to be stopped; orders are repeated */
    bool stop_in_flight;   /* a stop order has no outcome yet */
    bool stop_acked;       /* the worker carried out a stop order */
    bool start_repeated;   /* the current run's start was sent again */
    bool start_final;      /* it must not be sent again */
    bool listed;           /* the run was in an inventory */
    bool former_start;     /* sent to a former incarnation of the worker */
    int64_t pending_crash; /* key of the incarnation that crashed under it,
                              unless the run is in the next one; 0: none */
    bool whole_run;        /* the run began here and without a checkpoint */
};

/* Why the idle tasks of a step are not on a worker. */
typedef enum {
    WAIT_NONE,      /* no placement round has reached the step yet */
    WAIT_DUE,       /* not due yet, or its queue is not in the configuration */
    WAIT_UNCERTAIN, /* a former owner may have started the job, or the idle
                       tasks may still run unseen */
    WAIT_LIMIT,     /* the team is at its limit, or a former run of the gang
                       may go on */
    WAIT_CALLER,    /* no advice caller is free for it */
    WAIT_ADVICE,    /* a request for advice is pending */
    WAIT_CAPACITY,  /* no suitable worker has free capacity */
    WAITS
} WaitCause;

/* A worker that advice allows for a step, with the ticket for start orders. */
typedef struct {
    uint32_t serial;
    GfName ticket;
    struct timespec expires;
} AllowedWorker;

/* A step in one occurrence of a job, and its advice. */
struct Step {
    Job *job;
    const GfStepSpec *spec;
    Task *tasks;       /* NULL: not opened yet, or finished and freed */
    uint32_t assigned; /* tasks on workers, done ones included */
    uint8_t *blocks;   /* state of its blocks, in job_rows.c; NULL without
                          tasks */
    bool has_changed_blocks;
    uint32_t occurrence;
    uint32_t number;      /* index in the job's spec */
    uint32_t blockers;    /* unfinished prerequisites */
    uint32_t unfinished;  /* unfinished tasks */
    uint32_t idle;        /* unfinished tasks without a worker */
    int64_t due_ms;       /* earliest start, wall clock; 0: at once */
    int64_t remaining_ms; /* estimated time from its start to the job's end */
    AllowedWorker *allowed;
    size_t allowed_count;
    uint32_t *denied; /* serials of workers denied by advice */
    size_t denied_count;
    uint32_t *asked; /* serials in the pending request */
    size_t asked_count;
    struct timespec asked_at;
    struct timespec next_ask_at;     /* no request before this time */
    struct timespec denied_at;       /* the latest denial */
    uint32_t unused_answers;         /* answers since a task was placed last */
    struct timespec next_preempt_at; /* no preemption before this time */
    struct timespec next_move_at; /* no move off a worker before this time */
    struct timespec idle_since;   /* when it was listed */
    bool asking;                  /* a request for advice is pending */
    uint8_t wait_cause;           /* a WaitCause */
    int32_t waited_ms[WAITS];     /* by cause, since the step was listed */
    int32_t reported_ms[WAITS];   /* part of waited_ms in the wait report */
    struct timespec wait_updated_at; /* when waited_ms was updated last */
    bool listed;                     /* in the cell's list of waiting steps */
    bool ran_well; /* a task has had the usual speed of its worker */
    bool deferred; /* other work goes first: does not preempt */
    Step *next;
    Step *prev;
};

/* An occurrence of a job. */
typedef struct {
    Step *steps;   /* NULL: not opened yet, or finished and freed */
    uint32_t left; /* unfinished steps */
} Occurrence;

/* State of a block. */
enum {
    CELL_BLOCK_CHANGED = 1,   /* since its row was written */
    CELL_BLOCK_IN_COMMIT = 2, /* its row is in the pending transaction */
    CELL_BLOCK_STORED = 4     /* it has a row */
};

/* A block of tasks, of a step that counts over all occurrences. */
typedef struct {
    size_t at;
    uint32_t block;
} BlockName;

/* A caller that waits until a cancellation is stored. */
struct Waiter {
    GfCellDone done;
    void *arg;
    Waiter *next;
};

/* A job. Finished ones are kept for callers that ask for their state. */
struct Job {
    GfCell *cell;
    GfName id;
    GfName team;
    GfName queue;
    const GfQueue *queue_in_force; /* NULL: not in the configuration */
    const GfCellTeam *team_in_force;
    TeamUse *use;
    GfJobSpec spec;
    Occurrence *occurrences;  /* NULL if it finished in a former term */
    uint32_t next_occurrence; /* those before it were opened */
    int64_t *remaining_ms;    /* of each step in the spec; NULL: unknown */
    uint32_t steps_left;      /* over all occurrences */
    size_t bytes;             /* without its steps and tasks */
    bool loading;             /* no step is opened yet */
    bool review;              /* a step has to be opened or freed */
    bool in_review;           /* in the cell's list of jobs to review */
    Job *next_review;
    Job *prev_review;
    GfJobState state;
    GfJobState stored_state; /* as last committed */
    GfJobState commit_state; /* state in the pending transaction */
    bool counted_waiting;
    uint32_t work_class;
    bool has_failures;    /* a failed run of a task was counted */
    bool uncertain;       /* may run on a worker that has not answered */
    bool former;          /* accepted in an earlier term */
    bool never_accepted;  /* was cancelled before; has no spec */
    bool dirty;           /* the stored row is out of date */
    bool in_commit;       /* its row is in the pending transaction */
    bool in_removal;      /* its row is being removed */
    bool spilled;         /* stored in several rows */
    bool split_stored;    /* the stored main row is that of a spilled job */
    bool split_in_commit; /* it is in the pending transaction */
    bool set_apart;       /* the store refuses its row for good */
    BlockName *obsolete;  /* blocks whose rows are to be removed */
    size_t obsolete_count;
    size_t obsolete_in_commit; /* the first ones, in the transaction */
    uint64_t dirty_seq;        /* first change that is not in a transaction */
    uint64_t commit_first_seq; /* first change in the pending transaction */
    struct timespec accepted_at;
    struct timespec finished_at;
    int64_t objective_ms;   /* from acceptance; 0: none */
    double worth;           /* 1 for a job of its queue's mean work */
    bool counted_set_back;  /* in the count of jobs set back */
    bool foreseen;          /* counted in the forecast's arrivals */
    uint32_t foreseen_at;   /* number of the latest forecast that counted the
                               steps behind its running ones */
    Waiter *waiters;        /* for the next transaction */
    Waiter *commit_waiters; /* for the pending transaction */
    Job *next_dirty;
    Job *prev_dirty;
    UT_hash_handle hh;
};

/* Resources of an orphan run: a run on a worker that no task here accounts
 * for. They stay accounted for until the run has ended. */
typedef struct {
    GfName team;
    GfResources need;
    bool backfill;
} OrphanRun;

/* How the tasks of a worker share it: what neighbours.c knows of the tails of
 * its tasks with a latency target, in relation to their targets. */
typedef struct {
    struct timespec accrued_at;  /* times beside each other counted to here */
    struct timespec reported_at; /* latest inventory, if any */
    struct timespec sampled_at;
    struct timespec over_since;    /* a tail is over its target; 0: none is */
    struct timespec paced_at;      /* latest change of a wanted pace */
    struct timespec raise_at;      /* no pace is raised before */
    struct timespec cut_at;        /* latest cut of a pace */
    struct timespec fill_again_at; /* no backfill task starts here before */
    int64_t raise_pause_ms;        /* the latest pauses; they double */
    int64_t fill_pause_ms;
    double worst_tail; /* largest share of a target in that inventory */
    bool all_tails_known;
} WorkerSharing;

/* A worker and its current incarnation. Its completions are applied, then
 * stored, and only then acknowledged; three fields hold the highest completion
 * number at these stages. */
struct Worker {
    GfWorkerInfo info;
    uint32_t serial;     /* unique in the process, never 0 */
    int64_t key;         /* hash of its id, the same for all owners */
    bool listed;         /* in the platform's table */
    bool described;      /* info has the row of this incarnation */
    bool former_orders;  /* orders that were meant for the incarnation before
                            may have reached this one before it answered */
    bool contacted;      /* has answered in this term */
    bool former_lease;   /* a former owner granted it a lease */
    bool in_lease_list;  /* belongs in the stored lease list */
    bool in_stored_list; /* named in the lease list as stored */
    bool in_commit;      /* named in the list that is being stored */
    bool closed;         /* gets no tasks; the list names those it has */
    bool closed_in_commit;
    GfInheritedTask *inherited; /* tasks that a former owner had there */
    size_t inherited_count;
    int64_t expires_ms;    /* no inherited run goes on after it, shared clock;
                              0: unknown */
    bool expiry_wanted;    /* the stored list should give the lease's end */
    bool lease_frozen;     /* it may do so: the lease must not be extended */
    bool expiry_in_commit; /* the list that is being stored does */
    bool hold_in_flight;
    bool poll_in_flight; /* an inventory request beside the hold call */
    bool poll_wanted;
    struct timespec hold_sent_at;
    int64_t inventory_clock_ms; /* worker's clock in the latest inventory */
    bool has_clock;             /* clock_offset_ms is known */
    uint32_t hold_failures;     /* consecutive failed hold calls */
    int64_t clock_offset_ms;    /* worker's clock minus the local clock */
    struct timespec next_hold_at;
    struct timespec lease_until;          /* no run goes on after it */
    struct timespec incarnation_began_at; /* when it was noticed */
    struct timespec last_contact_at;
    struct timespec listed_at;
    uint32_t unanswered_orders;       /* consecutive starts, stops and paces */
    struct timespec unanswered_since; /* the first of these */
    struct timespec unanswered_at;    /* the latest of these */
    int64_t token;                    /* of the orders to it; only rises */
    bool token_wanted; /* its incarnation has no token of its own yet */
    bool token_unseen; /* its incarnation has not answered a hold with a token
                          of its own: it may carry out orders that were meant
                          for the one before */
    struct timespec token_raised_at;
    int64_t applied_completion;
    int64_t acked_completion;   /* stored; acknowledged by the next calls */
    int64_t pending_completion; /* applied; stored with pending_seq */
    uint64_t pending_seq;       /* latest change of a job that must be stored
                                   before the acknowledgement */
    GfResources used;           /* by tasks and orphan runs */
    GfResources held;           /* until the next round, for tasks that start
                                   here once their rows are stored */
    GfResources reserved;       /* for tasks that are being moved here */
    struct timespec reserved_until;
    OrphanRun *orphans; /* those that have not ended yet */
    size_t orphan_count;
    size_t unidentified_runs; /* runs of unknown size or unresolved job */
    bool has_unseen_ends; /* not all completions in the latest inventory were
                             listed and applied */
    int64_t class_mcores[CELL_CLASSES]; /* parts of used, by timed tasks */
    int64_t long_running_mcores;        /* part of used */
    uint32_t latency_tasks;             /* tasks with a latency target */
    uint32_t backfill_tasks;
    uint32_t consecutive_failures; /* first failures of different tasks */
    bool has_success;              /* last_success_at is set */
    struct timespec last_success_at;
    struct timespec avoid_until; /* other workers are preferred until then */
    bool has_crashed;            /* crashed_at is set */
    struct timespec crashed_at;  /* when its latest crash was noticed */
    uint32_t inventory_number;   /* count of inventories applied */
    GfWorkerSpeed speed;
    uint8_t logged_speed_state; /* a GfSpeedState */
    struct timespec probed_at;  /* latest start while its speed was doubted */
    struct timespec leaves_at;  /* if it leaves: earliest time */
    WorkerSharing sharing;
    Task *tasks;
    UT_hash_handle hh; /* by id */
    UT_hash_handle by_serial;
};

/* Resource use of a team, in total and by class, and its start rate. */
struct TeamUse {
    GfName team;
    uint32_t forecast_number; /* counts from 1; 0: not in the forecast yet */
    GfResources used;
    GfResources by_class[CELL_CLASSES];     /* parts of used */
    GfResources waiting_need[CELL_CLASSES]; /* of the waiting tasks */
    uint32_t starts;                        /* since the last backlog update */
    double starts_per_s;                    /* smoothed */
    GfResources uncertain_use; /* may run on workers that have not answered */
    GfResources peak[CELL_CLASSES]; /* decaying, of by_class + waiting_need */
    uint32_t number;   /* among the teams of a placement round; scratch */
    size_t open_bytes; /* part of the cell's */
    size_t job_bytes;  /* of the team's jobs, without steps and tasks */
    UT_hash_handle hh;
};

/* A task on a worker which fell silent, or that a stored row names there. */
typedef struct SilentRun {
    GfName worker;
    char address[64];
    uint16_t port;
    int64_t incarnation;
    GfTaskId task;
    struct timespec since; /* when the worker's lease had expired */
    bool confirmed;        /* its start was answered, or the run listed */
    bool inherited;        /* known from a former owner's row */
    bool counted;          /* in the task's silent_runs */
    struct SilentRun *next;
    struct SilentRun *prev;
} SilentRun;

/* A task whose job may have to be given up for the workers that crashed. */
typedef struct Accusation {
    GfTaskId task;
    struct timespec at;
    struct Accusation *next;
    struct Accusation *prev;
} Accusation;

/* A job that a worker named and that is not known here; the store is asked for
 * it. */
typedef struct Lookup {
    GfName job;
    bool absent; /* the store has no row of the job */
    UT_hash_handle hh;
} Lookup;

/* A part of the stored list of leased workers. Hashes are 0 if unknown. */
typedef struct {
    uint64_t hash; /* of its text, as encoded last */
    uint64_t stored_hash;
    bool in_commit;
} LeasePart;

/* The rows of a transaction that is being put together. */
typedef struct {
    GfCellRow rows[CELL_COMMIT_ROWS];
    size_t count;
    size_t bytes;
} RowSet;

/* How much of a job's changes was added to a transaction. */
typedef enum { ROWS_NONE, ROWS_PART, ROWS_ALL } RowsAdded;

/* A worker that was removed, to which orders may still arrive. */
typedef struct {
    GfName id;
    int64_t token; /* of the latest orders to it */
    struct timespec removed_at;
    UT_hash_handle hh;
} RemovedWorker;

struct GfCell {
    const GfCellOps *ops;
    void *ctx;
    GfCellSettings settings;
    const GfClock *clock;
    const GfCellConfig *config;
    Job *jobs;
    Lookup *lookups;
    Worker *workers;
    Worker *workers_by_serial;
    RemovedWorker *removed; /* the oldest first */
    size_t worker_count;
    uint32_t next_serial;
    Step *waiting; /* steps with idle tasks and no unfinished prerequisites */
    Step **order;  /* waiting steps in scheduling order; scratch */
    size_t order_capacity;
    GfCallers *callers;      /* of the advice service */
    OverloadOrder *overload; /* state of order.c; NULL: not used yet */
    GfRunTimes *run_times;
    TeamUse *uses;
    GfName *evacuated;
    size_t evacuated_count;
    GfTableClock shared_clock; /* latest reading */
    bool has_shared_clock;
    bool may_grant_leases;      /* ownership was proved recently */
    bool workers_current;       /* the worker table was read recently */
    bool placement_started;     /* GfCell_StartPlacement was called */
    bool in_uncertainty_period; /* a former owner's runs may go on unseen */
    struct timespec created_at;
    struct timespec uncertain_until;
    bool former_settled;      /* the replaced owner was stored as settled */
    bool former_owner_ended;  /* the replaced owner has ended */
    bool former_owners_ended; /* that one and all before it have */
    bool settled_stored;      /* the store names this owner as settled */
    bool settled_in_commit;
    bool dirty;            /* a placement round is due */
    bool lease_list_dirty; /* the stored lease list is out of date */
    Job *reviews;          /* jobs in which steps are to be opened or freed */
    size_t open_bytes;     /* of the steps and tasks that are open */
    Job *dirty_jobs;
    int64_t stored_version; /* of the latest transaction, or of the claim */
    uint64_t seq;           /* number of the latest change to a job */
    uint64_t commit_seq;    /* latest change in the transaction sent last */
    uint64_t stored_seq;    /* all changes up to this one are stored */
    bool committing;
    bool commit_has_lease_list; /* the transaction holds the lease list */
    LeasePart lease_parts[CELL_LEASE_PARTS];
    size_t lease_part_count;
    size_t isolate_left; /* so many jobs get a transaction of their own */
    Job **commit_jobs;
    size_t commit_count;
    struct timespec next_commit_at; /* no transaction before this time */
    size_t running;                 /* tasks on workers */
    size_t suspects;   /* of these, tasks that may have crashed a worker */
    bool unseen_crash; /* a worker crashed with unknown tasks of a former
                          owner, latest at unseen_crash_at */
    struct timespec unseen_crash_at;
    SilentRun *silent_runs;
    Accusation *accusations;
    struct timespec crash_times[CELL_CRASH_TIMES]; /* the latest, as a ring */
    size_t crash_count;
    struct timespec round_at; /* the latest placement round */
    struct timespec wait_logged_at;
    struct timespec unheard_logged_at;
    GfWaitReport *waits; /* since waits_reported_at */
    struct timespec waits_reported_at;
    struct timespec shares_updated_at;
    struct timespec backlogs_updated_at;
    GfSpeedKinds speed_kinds;
    size_t doubted_workers; /* in number, as of speeds_checked_at */
    bool capacity_short;    /* as of speeds_checked_at */
    struct timespec speeds_checked_at;
    struct timespec stragglers_moved_at;
    Foresight *foresight;         /* NULL: none yet */
    GfInterference *interference; /* NULL: separation of neighbours is off */
    struct timespec interference_updated_at;
};

/* order.c */
uint32_t CellOrder_Lateness(const Step *step, int64_t age_ms);
size_t CellOrder_Sort(GfCell *cell, struct timespec now);
void CellOrder_AddJob(Job *job);
void CellOrder_Free(GfCell *cell);

/* share.c */
void CellShare_Update(GfCell *cell, struct timespec now);
bool CellShare_Allows(const Step *step, int64_t count);
bool CellShare_AllowsAgain(const Task *task);
void CellShare_AddTask(const Step *step);
void CellShare_RemoveTask(const Step *step);

/* foresee.c */
void CellForesee_Destroy(Foresight *foresight);

/* preempt.c */
void CellPreempt_FreeCapacity(GfCell *cell, Step *step, uint32_t wanted,
                              bool needs_advice, struct timespec now);

/* fit.c */
bool CellFit_Eligible(const GfCell *cell, const Worker *w, const Step *step);
bool CellFit_IsUncertain(const GfCell *cell, const Task *task,
                         struct timespec now);
bool CellFit_HasCapacity(const Worker *w, const Step *step);
uint32_t CellFit_CountOn(const Worker *w, const Step *step);
bool CellFit_IsCandidate(const GfCell *cell, const Worker *w,
                         const Step *step);
Worker *CellFit_ChooseWorker(GfCell *cell, const Step *step, const Task *task,
                             const GfName *rack, bool needs_advice,
                             struct timespec now);

/* speed.c */
void CellSpeed_Started(Task *task, struct timespec now);
void CellSpeed_BeginInventory(GfCell *cell, Worker *w, struct timespec now);
void CellSpeed_Listed(GfCell *cell, Worker *w, Task *task, int percent,
                      struct timespec now);
void CellSpeed_Completed(GfCell *cell, Worker *w, Task *task);
void CellSpeed_EndInventory(GfCell *cell, Worker *w, struct timespec now);
void CellSpeed_Lost(GfCell *cell, Worker *w, struct timespec now);
void CellSpeed_Restarted(GfCell *cell, Worker *w, struct timespec now);
bool CellSpeed_Allows(const GfCell *cell, const Worker *w, const Step *step,
                      struct timespec now);
double CellSpeed_Cost(const GfCell *cell, const Worker *w, const Step *step,
                      struct timespec now);
bool CellSpeed_IsDoubted(const GfCell *cell, const Worker *w,
                         struct timespec now);
int64_t CellSpeed_LeftMs(const Worker *w, const Task *task,
                         struct timespec now);
void CellSpeed_Tick(GfCell *cell, struct timespec now);

/* place_log.c */
void CellPlaceLog_Placed(const GfCell *cell, const Step *step, uint32_t count);
void CellPlaceLog_RecordWait(Step *step, struct timespec now, WaitCause cause);
void CellPlaceLog_ReportWaits(GfCell *cell, struct timespec now);
void CellPlaceLog_LongestWait(GfCell *cell, struct timespec now);

/* place.c */
bool CellPlace_IsAllowed(const GfCell *cell);
void CellPlace_Round(GfCell *cell, struct timespec now);
void CellPlace_RepeatStart(GfCell *cell, Task *task, struct timespec now);

/* advice.c */
const AllowedWorker *CellAdvice_FindTicket(const Step *step, uint32_t serial,
                                           struct timespec now);
bool CellAdvice_MayAsk(const GfCell *cell, const Step *step,
                       struct timespec now);
void CellAdvice_Ask(GfCell *cell, Step *step, struct timespec now);
void CellAdvice_Clear(Step *step);
void CellAdvice_DropTicket(Step *step, uint32_t serial);

/* job_state.c */
Step *CellJob_Step(Job *job, uint32_t occurrence, uint32_t step);
Task *CellJob_Task(GfCell *cell, const GfTaskId *id);
const GfStepSpec *CellJob_StepSpec(const GfCell *cell, const GfTaskId *id);
Job *CellJob_Find(const GfCell *cell, const GfName *id);
void CellJob_MarkDirty(Job *job);
void CellJob_SetState(Job *job, GfJobState state);
void CellJob_TaskDone(Task *task);
void CellJob_AddToWaiting(Step *step);
void CellJob_RemoveFromWaiting(Step *step);
bool CellJob_Active(const Job *job);
void CellJob_BindConfig(Job *job);
void CellJob_Free(Job *job);
bool CellJob_IsAbsent(GfCell *cell, const GfName *id);
void CellJob_ForgetLookup(GfCell *cell, const GfName *id);

void CellJob_FinishStep(Step *step);
void CellJob_Trim(Job *job);

/* occurrence.c */
void CellOccurrence_Init(Job *job);
void CellOccurrence_Review(Job *job);
Task *CellOccurrence_DemandTask(Job *job, uint32_t occurrence, uint32_t number,
                                uint32_t index);
void CellOccurrence_FinishStep(Job *job, uint32_t occurrence, uint32_t number);
bool CellOccurrence_OpenTasks(Step *step);
void CellOccurrence_Update(Job *job, int64_t wall_ms);
void CellOccurrence_Tick(GfCell *cell, int64_t wall_ms);
void CellOccurrence_Free(Job *job);

/* progress.c */
json_t *CellProgress_Save(const Job *job);
json_t *CellProgress_SaveBlock(const Step *step, size_t at, uint32_t block,
                               bool whole);
void CellProgress_Load(Job *job, const json_t *row);

/* crash.c */
bool CellCrash_Add(Task *task, int64_t key);
bool CellCrash_AddDoubt(Task *task, int64_t key);
uint32_t CellCrash_Suspicion(const Task *task);
bool CellCrash_IsRecorded(const Task *task);
void CellCrash_Remember(GfCell *cell, const GfWorkerInfo *worker,
                        const GfTaskId *task, bool confirmed);
void CellCrash_Unseen(GfCell *cell);
void CellCrash_WorkerSilent(Worker *w);
void CellCrash_WorkerGone(GfCell *cell, Worker *w, bool restarted);
void CellCrash_CountPending(Task *task);
void CellCrash_WorkerSeen(GfCell *cell, const Worker *w, bool answered);
void CellCrash_Forget(GfCell *cell, const struct timespec *now);
void CellCrash_PresumeLost(GfCell *cell, struct timespec now);
void CellCrash_Judge(GfCell *cell, struct timespec now);
bool CellCrash_Awaits(const GfCell *cell, const Task *task,
                      struct timespec now);
bool CellCrash_MayStart(GfCell *cell, Task *task, const Worker *w);
bool CellCrash_IsHeld(const GfCell *cell, const Task *task,
                      struct timespec now);
bool CellCrash_Excludes(const GfCell *cell, const Worker *w, const Task *task);
bool CellCrash_Discourages(const GfCell *cell, const Worker *w,
                           const Task *task);
json_t *CellCrash_SaveKeys(size_t at, uint32_t index, const int64_t *keys,
                           uint32_t count);
void CellCrash_SavePlacements(const Task *task, size_t at, json_t *placements,
                              json_t *intended);
void CellCrash_Check(Task *task);
void CellCrash_LoadPlacement(Task *task, const json_t *entry, bool confirmed);

/* move.c */
void CellMove_Tick(GfCell *cell, struct timespec now);

/* neighbours.c */
void CellNeighbours_Assigned(Task *task);
void CellNeighbours_Released(Task *task);
void CellNeighbours_Completed(Task *task);
void CellNeighbours_Report(Task *task, const GfRunRow *row);
void CellNeighbours_InventoryApplied(Worker *w);
void CellNeighbours_Tick(GfCell *cell, struct timespec now);
bool CellNeighbours_MayShare(const Worker *w, const Step *step);
double CellNeighbours_Cost(const Worker *w, const Step *step);
json_t *CellNeighbours_Describe(const GfCell *cell);

/* commit.c */
void CellCommit_Tick(GfCell *cell, struct timespec now);

/* tasks.c */
void CellTask_Assign(Task *task, Worker *w, int64_t run, TaskState state);
void CellTask_Confirm(Task *task);
void CellTask_Release(Task *task);
void CellTask_Stop(Task *task);
void CellTask_SendStops(Worker *w, struct timespec now);
void CellTask_StopJob(Job *job);
GfTaskId CellTask_Id(const Task *task);
GfOrderTarget CellTask_Target(const Worker *w);
void CellTask_SetCheckpoint(Task *task, const char *checkpoint);
bool CellTask_AddFailure(Task *task, int64_t run);
void CellTask_Clear(Task *task);
void CellTask_StopGang(Step *step);
GfResources CellTask_CapacityTaken(const GfStepSpec *spec);

/* inventory.c */
void CellInventory_Apply(GfCell *cell, Worker *w, struct timespec sent_at,
                         const GfInventory *inventory);
void CellWorker_ClearOrphans(GfCell *cell, Worker *w);

/* removed.c */
void CellRemoved_Add(GfCell *cell, const Worker *w);
void CellRemoved_Restore(GfCell *cell, Worker *w);
void CellRemoved_Forget(GfCell *cell, const struct timespec *now);

/* fence.c */
void CellFence_Restarted(GfCell *cell, Worker *w);
void CellFence_Stored(GfCell *cell, int64_t version);
void CellFence_HoldAnswered(GfCell *cell, Worker *w, struct timespec sent_at);
bool CellFence_HoldEndsTerm(GfCell *cell, const Worker *w,
                            GfOrderResult result, struct timespec sent_at);
bool CellFence_EndsTerm(GfCell *cell, const Worker *w, GfOrderResult *result);

/* former.c */
bool CellFormer_MayStartRuns(const GfCell *cell);
bool CellFormer_MustStoreSettled(const GfCell *cell);
size_t CellFormer_CountUnheard(const GfCell *cell);
void CellFormer_Tick(GfCell *cell, struct timespec now);

/* lease_end.c */
bool CellLeaseEnd_IsKnown(const GfCell *cell, const Worker *w);
int64_t CellLeaseEnd_Shared(const GfCell *cell, const Worker *w);
struct timespec CellLeaseEnd_Inherited(const GfCell *cell, const Worker *w);
struct timespec CellLeaseEnd_Uncertain(const GfCell *cell, const Worker *w);

/* attempts.c */
Task *CellAttempts_CountedTask(Task *task);
bool CellAttempts_Check(Task *task);
void CellAttempts_CheckJob(Job *job);

/* unanswered.c */
void CellUnanswered_Record(Worker *w, GfOrderResult result,
                           struct timespec now);
bool CellUnanswered_MayStart(const GfCell *cell, const Worker *w);
bool CellUnanswered_TakesNone(const Worker *w, struct timespec now);
bool CellUnanswered_MayExtendLease(const Worker *w, struct timespec now);

/* late_start.c */
int64_t CellLateStart_WorkerKey(const GfName *id);
void CellLateStart_Record(Task *task, const Worker *w);
bool CellLateStart_IsPending(const Task *task, struct timespec now);
bool CellLateStart_Binds(const GfCell *cell, const Task *task,
                         struct timespec now);
bool CellLateStart_Allows(const Task *task, const Worker *w);
bool CellLateStart_MayRepeat(const Task *task, struct timespec now);
void CellLateStart_Repeat(GfCell *cell, Worker *w, struct timespec now);
void CellLateStart_Listed(const Task *task, const Worker *w);
void CellLateStart_Save(const Task *task, size_t at, json_t *list);
void CellLateStart_Load(Task *task, const json_t *entry);

/* job_rows.c */
bool CellRows_Add(RowSet *set, bool is_lease_list, const char *key,
                  char *text);
char *CellRows_Dump(json_t *json);
void CellRows_Clear(RowSet *set);
void CellJobRows_Open(Step *step);
void CellJobRows_Close(Step *step);
void CellJobRows_MarkTask(Task *task);
void CellJobRows_Loaded(Job *job, size_t at, uint32_t block);
void CellJobRows_Split(Job *job);
RowsAdded CellJobRows_Add(RowSet *set, Job *job);
void CellJobRows_Done(Job *job, bool stored);

/* lease_list.c */
void CellLeaseList_Add(GfCell *cell, RowSet *set);
void CellLeaseList_Stored(GfCell *cell);

/* workers.c */
void CellWorker_BeginIncarnation(GfCell *cell, Worker *w, int64_t incarnation);
int64_t CellWorker_LongestLeaseMs(const GfCell *cell);
int64_t CellWorker_ForeignLeaseMs(const GfCell *cell);
void CellWorker_AssumeForeignLease(GfCell *cell, Worker *w);
Worker *CellWorker_Find(const GfCell *cell, uint32_t serial);
void CellWorker_ReleaseTasks(Worker *w, const char *cause);
void CellWorker_Poll(GfCell *cell, Worker *w);
int64_t CellWorker_ExtendLease(GfCell *cell, Worker *w, struct timespec now);
void CellWorker_Tick(GfCell *cell, struct timespec now);
void CellWorker_UpdateList(GfCell *cell, struct timespec now);
const GfName *CellWorker_Rack(const Worker *w);

TeamUse *Cell_TeamUse(GfCell *cell, const GfName *team);

#endif
