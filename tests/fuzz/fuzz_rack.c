/* Searches for violations of the protocol by which a rack is owned, with the
 * product's code for holders and simulated workers: two holders, three or five
 * workers, messages that are delayed, lost or reordered, holders that are cut
 * off or paused, releases, fences, and tasks that end. It checks that no
 * worker exceeds its capacity and no team its limit.
 *
 * The environment variable GUAVAFLOW_WITHOUT_RULE names a rule of the protocol
 * to leave out; then a violation must be found: reserve, that a worker without
 * an inventory in this term counts as fully used; majority, that a holder
 * starts tasks only while it has the leases of a majority of the workers;
 * forget, that inventories of workers without a lease are dropped after a
 * term; version, that late grants and older inventories are rejected. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "choice.h"
#include "guavaflow/rack.h"

#define HOLDERS 2
#define MAX_WORKERS 5
#define MAX_MESSAGES 4096
#define MAX_TASKS 32
#define STEPS 220
#define STEP_MS 100
#define TTL_STEPS 8       /* time to live of a lease, in steps */
#define WORKER_CAPACITY 2 /* tasks that a worker has capacity for */
#define TEAM_LIMIT 4      /* tasks that the team's limit allows */
#define NEED 1000         /* mcores of a task */

/* LEASE, START and RELEASE go from a holder to a worker, the others are the
 * replies: GRANT and REFUSAL to LEASE, STARTED and REFUSED to START. */
typedef enum { LEASE, GRANT, REFUSAL, START, STARTED, REFUSED, RELEASE } Kind;

/* A message between a holder and a worker. Times are steps; each kind uses
 * some of the fields after worker. */
typedef struct {
    Kind kind;
    int due;
    int holder;
    int worker;
    int sent_at; /* of the request for the lease */
    int64_t lease;
    int64_t version; /* of the inventory */
    int fence;       /* asks for a new lease although one is in force */
    int task;
    int tasks[MAX_TASKS]; /* the inventory */
    int task_count;
} Message;

/* A simulated worker. */
typedef struct {
    int holder;      /* of the latest lease; -1: none */
    int64_t lease;   /* id of the latest lease */
    int expires;     /* step at which the lease ends */
    int64_t version; /* of the inventory */
    int tasks[MAX_TASKS];
    int task_count;
} Worker;

/* The simulation. */
typedef struct {
    Choice choice;
    int workers;
    Worker w[MAX_WORKERS];
    GfRack *rack[HOLDERS]; /* each holder's view of the rack */
    int paused_until[HOLDERS];
    int cut_until[HOLDERS][MAX_WORKERS];
    Message *messages;
    size_t message_count;
    int next_task;
    int now; /* the current step */
} RackSim;

static GfName team;

/* Returns the time of a step. */
static struct timespec
at(int step)
{
    return GfTime_FromMs(1000 + (int64_t)step * STEP_MS);
}

/* Returns the name of a worker. */
static GfName
worker_name(int worker)
{
    return GfName_Format("w%d", worker);
}

/* Returns the id of a task. */
static GfName
task_name(int task)
{
    return GfName_Format("j000-%d", task);
}

/* Returns the spec of a task. */
static GfTaskSpec
make_spec(int task)
{
    return (GfTaskSpec){
        .id = task_name(task), .team = team, .need = {.mcores = NEED}};
}

/* Queues a message, due in fewer than max_delay steps; dropped if the queue is
 * full. */
static void
send(RackSim *sim, Message message, int max_delay)
{
    if (sim->message_count == MAX_MESSAGES) {
        return;
    }
    message.due =
        sim->now + (int)choice_below(&sim->choice, (uint32_t)max_delay);
    sim->messages[sim->message_count++] = message;
}

/* Delivers a request for a lease to its worker, which refuses it if another
 * holder's lease is in force. */
static void
deliver_lease(RackSim *sim, const Message *m)
{
    Worker *w = &sim->w[m->worker];
    bool held = w->holder >= 0 && w->expires > sim->now;
    Message answer = {
        .holder = m->holder, .worker = m->worker, .sent_at = m->sent_at};
    if (held && w->holder != m->holder) {
        answer.kind = REFUSAL;
        send(sim, answer, 5);
        return;
    }
    if (!held || m->fence) {
        w->lease++;
        w->holder = m->holder;
    }
    w->expires = sim->now + TTL_STEPS;
    answer.kind = GRANT;
    answer.lease = w->lease;
    answer.version = w->version;
    answer.task_count = w->task_count;
    memcpy(answer.tasks, w->tasks, sizeof(answer.tasks));
    send(sim, answer, 5);
}

/* Delivers a start to its worker, which accepts it under the lease in force
 * and doesn't check its capacity: that is up to the holder. */
static void
deliver_start(RackSim *sim, const Message *m)
{
    Worker *w = &sim->w[m->worker];
    Message answer = {.kind = REFUSED,
                      .holder = m->holder,
                      .worker = m->worker,
                      .task = m->task};
    if (w->holder == m->holder && w->lease == m->lease &&
        w->expires > sim->now && w->task_count < MAX_TASKS) {
        w->tasks[w->task_count++] = m->task;
        w->version++;
        answer.kind = STARTED;
        answer.version = w->version;
    }
    send(sim, answer, 5);
}

/* Delivers a lease grant with an inventory to its holder. */
static void
deliver_grant(RackSim *sim, const Message *m)
{
    GfTask tasks[MAX_TASKS];
    memset(tasks, 0, sizeof(tasks));
    for (int i = 0; i < m->task_count; i++) {
        tasks[i].spec = make_spec(m->tasks[i]);
        tasks[i].state = GF_TASK_RUNNING;
    }
    GfName name = worker_name(m->worker);
    GfLeaseGrant grant = {.lease = m->lease,
                          .ttl_ms = TTL_STEPS * STEP_MS,
                          .boot = GfName_Format("b"),
                          .version = m->version,
                          .capacity = {.mcores = WORKER_CAPACITY * NEED},
                          .tasks = tasks,
                          .task_count = (size_t)m->task_count};
    GfRack_ApplyGrant(sim->rack[m->holder], &name, &grant, at(m->sent_at),
                      at(sim->now), NULL, NULL);
}

/* Delivers a message, unless it is lost or the connection is cut. A message to
 * a holder that is paused is delayed until the pause ends. */
static void
deliver(RackSim *sim, Message *m)
{
    bool to_holder = m->kind == GRANT || m->kind == REFUSAL ||
                     m->kind == STARTED || m->kind == REFUSED;
    if (sim->cut_until[m->holder][m->worker] > sim->now ||
        choice_percent(&sim->choice, 5)) {
        return;
    }
    if (to_holder && sim->paused_until[m->holder] > sim->now) {
        m->due = sim->paused_until[m->holder];
        if (sim->message_count < MAX_MESSAGES) {
            sim->messages[sim->message_count++] = *m;
        }
        return;
    }
    GfName name = worker_name(m->worker);
    GfName task = task_name(m->task);
    GfRack *rack = sim->rack[m->holder];
    Worker *w = &sim->w[m->worker];
    switch (m->kind) {
    case LEASE:
        deliver_lease(sim, m);
        break;
    case START:
        deliver_start(sim, m);
        break;
    case GRANT:
        deliver_grant(sim, m);
        break;
    case REFUSAL:
        GfRack_DropLease(rack, &name, at(sim->now));
        break;
    case STARTED:
        GfRack_StartAccepted(rack, &name, &task, m->version);
        break;
    case REFUSED:
        GfRack_StartRefused(rack, &name, &task);
        break;
    case RELEASE:
        if (w->holder == m->holder && w->lease == m->lease) {
            w->expires = sim->now;
        }
        break;
    }
}

/* Delivers the messages that are due, in random order. */
static void
deliver_due(RackSim *sim)
{
    Message *due = malloc(sim->message_count * sizeof(*due) + 1);
    size_t count = 0;
    size_t kept = 0;
    for (size_t i = 0; i < sim->message_count; i++) {
        if (sim->messages[i].due <= sim->now) {
            due[count++] = sim->messages[i];
        }
        else {
            sim->messages[kept++] = sim->messages[i];
        }
    }
    sim->message_count = kept;
    while (count > 0) {
        size_t pick = choice_below(&sim->choice, (uint32_t)count);
        Message m = due[pick];
        due[pick] = due[--count];
        deliver(sim, &m);
    }
    free(due);
}

/* Lets a holder pause, or renew or release a lease and start a task. A renewal
 * asks for a new lease if the holder's view of the rack needs a fence. */
static void
step_holder(RackSim *sim, int holder)
{
    Choice *c = &sim->choice;
    GfRack *rack = sim->rack[holder];
    if (choice_percent(c, 2)) {
        sim->paused_until[holder] = sim->now + 2 + (int)choice_below(c, 23);
        return;
    }
    int worker = (int)choice_below(c, (uint32_t)sim->workers);
    GfName name = worker_name(worker);
    Message m = {.holder = holder, .worker = worker, .sent_at = sim->now};
    if (choice_percent(c, 50)) {
        m.kind = LEASE;
        m.fence = GfRack_NeedsFence(rack, &name);
        send(sim, m, 5);
    }
    if (choice_percent(c, 1) && GfRack_Holds(rack, &name, at(sim->now))) {
        m.kind = RELEASE;
        m.lease = GfRack_Lease(rack, &name);
        GfRack_DropLease(rack, &name, at(sim->now));
        send(sim, m, 5);
    }
    worker = (int)choice_below(c, (uint32_t)sim->workers);
    name = worker_name(worker);
    m.worker = worker;
    GfResourceVector free_capacity =
        GfRack_FreeCapacity(rack, &name, at(sim->now));
    if (!GfRack_InTerm(rack, at(sim->now)) || free_capacity.mcores < NEED ||
        GfRack_TeamUse(rack, &team, at(sim->now)) + NEED > TEAM_LIMIT * NEED ||
        !choice_percent(c, 70)) {
        return;
    }
    GfTaskSpec spec = make_spec(++sim->next_task);
    GfRack_StartSent(rack, &name, &spec);
    m.kind = START;
    m.lease = GfRack_Lease(rack, &name);
    m.task = sim->next_task;
    send(sim, m, 9);
    if (choice_percent(c, 10)) {
        GfRack_StartUnanswered(rack, &name);
    }
}

/* Ends random tasks and aborts if a worker exceeds its capacity or the team
 * its limit. */
static void
end_tasks_and_check(RackSim *sim)
{
    int running = 0;
    for (int i = 0; i < sim->workers; i++) {
        Worker *w = &sim->w[i];
        if (w->task_count > 0 && choice_percent(&sim->choice, 5)) {
            int pick =
                (int)choice_below(&sim->choice, (uint32_t)w->task_count);
            w->tasks[pick] = w->tasks[--w->task_count];
            w->version++;
        }
        running += w->task_count;
        if (w->task_count > WORKER_CAPACITY) {
            fprintf(stderr, "breach: a worker runs %d tasks, room is %d\n",
                    w->task_count, WORKER_CAPACITY);
            abort();
        }
    }
    if (running > TEAM_LIMIT) {
        fprintf(stderr, "breach: %d tasks run at step %d, allowed are %d\n",
                running, sim->now, TEAM_LIMIT);
        abort();
    }
}

/* Returns the rules of the protocol that apply. */
static GfRackRules
rules_in_force(void)
{
    static const struct {
        const char *name;
        GfRackRules rule;
    } RULES[] = {{"reserve", GF_RACK_RESERVE_UNSEEN},
                 {"majority", GF_RACK_NEED_MAJORITY},
                 {"forget", GF_RACK_FORGET_AFTER_TERM},
                 {"version", GF_RACK_ORDER_INVENTORIES}};
    const char *without = getenv("GUAVAFLOW_WITHOUT_RULE");
    GfRackRules all = GF_RACK_ALL_RULES;
    for (size_t i = 0; without != NULL && i < 4; i++) {
        if (strcmp(without, RULES[i].name) == 0) {
            all &= ~RULES[i].rule;
        }
    }
    return all;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Runs a simulation of STEPS steps. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    static Message messages[MAX_MESSAGES];
    RackSim *sim = calloc(1, sizeof(*sim));
    GfName_SetText(&team, "t");
    sim->choice = choice_make(data, len);
    sim->messages = messages;
    sim->workers = choice_percent(&sim->choice, 30) ? 5 : 3;
    for (int h = 0; h < HOLDERS; h++) {
        GfRackConfig config = {.name = GfName_Format("r"),
                               .rules = rules_in_force()};
        sim->rack[h] = GfRack_Create(&config);
        for (int i = 0; i < sim->workers; i++) {
            GfName name = worker_name(i);
            GfRack_AddWorker(sim->rack[h], &name, at(0));
            sim->w[i].holder = -1;
        }
    }
    for (sim->now = 0; sim->now < STEPS; sim->now++) {
        if (choice_percent(&sim->choice, 5)) {
            uint32_t worker =
                choice_below(&sim->choice, (uint32_t)sim->workers);
            sim->cut_until[choice_below(&sim->choice, HOLDERS)][worker] =
                sim->now + 3 + (int)choice_below(&sim->choice, 37);
        }
        for (int h = 0; h < HOLDERS; h++) {
            if (sim->paused_until[h] <= sim->now) {
                step_holder(sim, h);
            }
        }
        deliver_due(sim);
        end_tasks_and_check(sim);
    }
    for (int h = 0; h < HOLDERS; h++) {
        GfRack_Destroy(sim->rack[h]);
    }
    free(sim);
    return 0;
}
