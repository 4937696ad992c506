/* A small deployment in one process, for the scripts of this review: the
 * platform's store, the minions, the callers, and the control of the entries,
 * which run as separate processes. It follows PROTOCOL.md. Times are
 * milliseconds on the steady clock, from the start of the scenario. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#define MAX_MINIONS 64
#define MAX_ENTRIES 9

/* A task run on a minion. The payload (`spec`) of its job says what it does:
 * "ms=N gang=N saves=1 fails=1", where what is left out is 0; or this for each
 * step, as "0:ms=...;1:ms=...;". */
typedef struct Run {
    char task[96];
    int64_t run;
    int64_t ms; /* work that it needs; 0: lasts */
    int gang;   /* members of its gang; 0: none */
    bool checkpointed;
    bool fails;       /* ends failed when its work is done */
    int64_t came;     /* when its start was carried out */
    int64_t began;    /* when its work began; -1: not yet */
    int64_t base;     /* work done before, from the checkpoint */
    int64_t stops_at; /* -1: no stop was ordered */
    struct Run *next;
} Run;

/* The record of a start that a minion has carried out. */
typedef struct {
    int64_t at;
    int minion;
    char task[96];
    int64_t run;
    char checkpoint[64]; /* "" for none */
} Start;

/* The record of an end that a minion has listed. */
typedef struct {
    int64_t at;
    int minion;
    char task[96];
    int64_t run;
    char how[16];
} End;

/* An answer to a call. status is 0 if there was none. */
typedef struct {
    int status;
    char body[512];
    int64_t after_ms;
} Answer;

extern Start *starts;
extern int start_count;
extern End *ends;
extern int end_count;

/* Begins a scenario: parses the arguments (PROGRAM FOLDER RECORD), opens the
 * record, starts the store, the minions and the entries, and waits until all
 * entries are ready. Exits with 2 if that fails. trouble tells whether the
 * scenario is to be played with its disruption (TROUBLE is not 0). */
void World_Begin(int argc, char **argv, int minions, int entries,
                 const char *config);
extern bool trouble;

/* Ends all processes and exits: 1 if broken, else 0. */
void World_End(bool broken) __attribute__((noreturn));
/* Ends all processes and exits with 2: the scenario could not be played. */
void World_Fail(const char *format, ...)
    __attribute__((noreturn, format(printf, 1, 2)));

void World_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int64_t World_Now(void);
void World_Wait(int ms);

/* Store: writes a row as the operator or the platform does. */
void World_PutConfig(const char *json);

/* Minions. */
void Minion_Crash(int index);
void Minion_Restart(int index);
void Minion_Cut(int index, bool cut); /* no byte passes; it runs on */
void Minion_Drain(int index);         /* it reports that it leaves */
void Minion_Leave(int index);         /* it is taken away for good */
void Minion_Replace(int index);       /* it leaves; another one comes */
Run *Minion_FindRun(int index, const char *task);
int Minion_OfTask(const char *task); /* that runs it, or -1 */
int Minion_Running(void);            /* runs on all minions */
int64_t Run_Progress(const Run *run);

const char *Minion_Id(int index);
/* Called after each start that a minion has carried out, and when it takes
 * note of the end of a run (the cursor has reached it). */
extern void (*on_started)(int minion, const Run *run, const char *checkpoint);
extern void (*on_acked)(const char *task, int64_t run, const char *how);

/* Disruptions, off at first. Shares are 0 to 1. */
extern double late_share;    /* of orders: no answer, carried out 2 to 12 s
                                later */
extern bool late_holds;      /* of holds too */
extern double lost_share;    /* of orders: carried out, the answer is lost */
extern int store_mode;       /* a StoreMode */
extern double store_lost;    /* share of writes: done, the answer is lost */
extern bool store_lost_late; /* they are done 1 to 6 s later */
extern int store_delay_ms;   /* added to each answer */
extern int jitter_ms;        /* orders and their answers take up to so long */
typedef enum { STORE_OK, STORE_BUSY, STORE_SILENT, STORE_RESET } StoreMode;

/* Entries, by index. */
void Entry_Signal(int index, int signal);
void Entry_Start(int index);
bool Entry_IsUp(int index);

/* Sends a call of a client to an entry and waits for its answer, at most
 * deadline_ms. path is PREFIX + ID. key may be NULL. */
Answer Client_Call(int entry, const char *method, const char *path,
                   const char *key, const char *body, int deadline_ms);
/* The same without waiting: done is called once. */
typedef void (*AnswerDone)(void *arg, const Answer *answer);
void Client_Start(int entry, const char *method, const char *path,
                  const char *key, const char *body, int deadline_ms,
                  AnswerDone done, void *arg);
/* Hands a job in until it is accepted, for up to 10 s; fails the scenario
 * otherwise. */
void Client_Submit(const char *path, const char *key, const char *body);
/* Asks all entries in turn until one tells the state, for up to 6 s. Returns
 * the state, or a text for the last answer. */
const char *Client_State(const char *path, const char *key);

#endif
