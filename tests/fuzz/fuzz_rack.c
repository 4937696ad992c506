/* Searches for a breach of the rule by which a rack is owned: two holders,
 * three or five workers, messages that are delayed, lost, crossed and cut,
 * pauses, releases, fences, tasks that end. The variable
 * GUAVAFLOW_WITHOUT_RULE (reserve, majority, forget or version) leaves a part
 * of the rule out; then a breach must be found. */
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
#define TTL_STEPS 8
#define ROOM 2
#define CAP 4
#define NEED 1000

typedef enum { LEASE, GRANT, REFUSAL, START, STARTED, REFUSED, RELEASE } Kind;

typedef struct {
    Kind kind;
    int due;
    int holder;
    int worker;
    int sent_at;
    int64_t lease;
    int64_t version;
    int fence;
    int task;
    int tasks[MAX_TASKS];
    int task_count;
} Message;

typedef struct {
    int holder;
    int64_t lease;
    int expires;
    int64_t version;
    int tasks[MAX_TASKS];
    int task_count;
} Worker;

typedef struct {
    Choice choice;
    int workers;
    Worker w[MAX_WORKERS];
    GfRack *rack[HOLDERS];
    int paused_until[HOLDERS];
    int cut_until[HOLDERS][MAX_WORKERS];
    Message *messages;
    size_t message_count;
    int next_task;
    int now;
} World;

static GfName team;

static struct timespec
at(int step)
{
    return GfTime_FromMs(1000 + (int64_t)step * STEP_MS);
}

static GfName
worker_name(int worker)
{
    return GfName_Format("w%d", worker);
}

static GfName
task_name(int task)
{
    return GfName_Format("j000-%d", task);
}

static GfTaskSpec
spec_of(int task)
{
    return (GfTaskSpec){
        .id = task_name(task), .team = team, .need = {.mcores = NEED}};
}

static void
send(World *world, Message message, int longest)
{
    if (world->message_count == MAX_MESSAGES) {
        return;
    }
    message.due =
        world->now + (int)choice_below(&world->choice, (uint32_t)longest);
    world->messages[world->message_count++] = message;
}

/* Delivers a lease call to its worker. */
static void
deliver_lease(World *world, const Message *m)
{
    Worker *w = &world->w[m->worker];
    bool held = w->holder >= 0 && w->expires > world->now;
    Message answer = {
        .holder = m->holder, .worker = m->worker, .sent_at = m->sent_at};
    if (held && w->holder != m->holder) {
        answer.kind = REFUSAL;
        send(world, answer, 5);
        return;
    }
    if (!held || m->fence) {
        w->lease++;
        w->holder = m->holder;
    }
    w->expires = world->now + TTL_STEPS;
    answer.kind = GRANT;
    answer.lease = w->lease;
    answer.version = w->version;
    answer.task_count = w->task_count;
    memcpy(answer.tasks, w->tasks, sizeof(answer.tasks));
    send(world, answer, 5);
}

/* Delivers a start to its worker, which does not look at its room. */
static void
deliver_start(World *world, const Message *m)
{
    Worker *w = &world->w[m->worker];
    Message answer = {.kind = REFUSED,
                      .holder = m->holder,
                      .worker = m->worker,
                      .task = m->task};
    if (w->holder == m->holder && w->lease == m->lease &&
        w->expires > world->now && w->task_count < MAX_TASKS) {
        w->tasks[w->task_count++] = m->task;
        w->version++;
        answer.kind = STARTED;
        answer.version = w->version;
    }
    send(world, answer, 5);
}

/* Delivers a grant to its holder. */
static void
deliver_grant(World *world, const Message *m)
{
    GfTask tasks[MAX_TASKS];
    memset(tasks, 0, sizeof(tasks));
    for (int i = 0; i < m->task_count; i++) {
        tasks[i].spec = spec_of(m->tasks[i]);
        tasks[i].state = GF_TASK_RUNNING;
    }
    GfName name = worker_name(m->worker);
    GfLeaseGrant grant = {.lease = m->lease,
                          .ttl_ms = TTL_STEPS * STEP_MS,
                          .boot = GfName_Format("b"),
                          .version = m->version,
                          .capacity = {.mcores = ROOM * NEED},
                          .tasks = tasks,
                          .task_count = (size_t)m->task_count};
    GfRack_Granted(world->rack[m->holder], &name, &grant, at(m->sent_at),
                   at(world->now), NULL, NULL);
}

/* Delivers one message, unless it is lost, cut, or its holder is paused. */
static void
deliver(World *world, Message *m)
{
    bool to_holder = m->kind == GRANT || m->kind == REFUSAL ||
                     m->kind == STARTED || m->kind == REFUSED;
    if (world->cut_until[m->holder][m->worker] > world->now ||
        choice_percent(&world->choice, 5)) {
        return;
    }
    if (to_holder && world->paused_until[m->holder] > world->now) {
        m->due = world->paused_until[m->holder];
        if (world->message_count < MAX_MESSAGES) {
            world->messages[world->message_count++] = *m;
        }
        return;
    }
    GfName name = worker_name(m->worker);
    GfName task = task_name(m->task);
    GfRack *rack = world->rack[m->holder];
    Worker *w = &world->w[m->worker];
    switch (m->kind) {
    case LEASE:
        deliver_lease(world, m);
        break;
    case START:
        deliver_start(world, m);
        break;
    case GRANT:
        deliver_grant(world, m);
        break;
    case REFUSAL:
        GfRack_GivenUp(rack, &name, at(world->now));
        break;
    case STARTED:
        GfRack_StartAccepted(rack, &name, &task, m->version);
        break;
    case REFUSED:
        GfRack_StartRefused(rack, &name, &task);
        break;
    case RELEASE:
        if (w->holder == m->holder && w->lease == m->lease) {
            w->expires = world->now;
        }
        break;
    }
}

/* Delivers what is due, in any order. */
static void
deliver_due(World *world)
{
    Message *due = malloc(world->message_count * sizeof(*due) + 1);
    size_t count = 0;
    size_t kept = 0;
    for (size_t i = 0; i < world->message_count; i++) {
        if (world->messages[i].due <= world->now) {
            due[count++] = world->messages[i];
        }
        else {
            world->messages[kept++] = world->messages[i];
        }
    }
    world->message_count = kept;
    while (count > 0) {
        size_t pick = choice_below(&world->choice, (uint32_t)count);
        Message m = due[pick];
        due[pick] = due[--count];
        deliver(world, &m);
    }
    free(due);
}

/* Lets a holder act: renew, fence, release, start. */
static void
act(World *world, int holder)
{
    Choice *c = &world->choice;
    GfRack *rack = world->rack[holder];
    if (choice_percent(c, 2)) {
        world->paused_until[holder] =
            world->now + 2 + (int)choice_below(c, 23);
        return;
    }
    int worker = (int)choice_below(c, (uint32_t)world->workers);
    GfName name = worker_name(worker);
    Message m = {.holder = holder, .worker = worker, .sent_at = world->now};
    if (choice_percent(c, 50)) {
        m.kind = LEASE;
        m.fence = GfRack_NeedsFence(rack, &name);
        send(world, m, 5);
    }
    if (choice_percent(c, 1) && GfRack_Holds(rack, &name, at(world->now))) {
        m.kind = RELEASE;
        m.lease = GfRack_Lease(rack, &name);
        GfRack_GivenUp(rack, &name, at(world->now));
        send(world, m, 5);
    }
    worker = (int)choice_below(c, (uint32_t)world->workers);
    name = worker_name(worker);
    m.worker = worker;
    GfRoom room = GfRack_FreeRoom(rack, &name, at(world->now));
    if (!GfRack_InTerm(rack, at(world->now)) || room.mcores < NEED ||
        GfRack_TeamUse(rack, &team, at(world->now)) + NEED > CAP * NEED ||
        !choice_percent(c, 70)) {
        return;
    }
    GfTaskSpec spec = spec_of(++world->next_task);
    GfRack_StartSent(rack, &name, &spec);
    m.kind = START;
    m.lease = GfRack_Lease(rack, &name);
    m.task = world->next_task;
    send(world, m, 9);
    if (choice_percent(c, 10)) {
        GfRack_StartUnanswered(rack, &name);
    }
}

/* Lets tasks end and checks what runs. */
static void
check(World *world)
{
    int running = 0;
    for (int i = 0; i < world->workers; i++) {
        Worker *w = &world->w[i];
        if (w->task_count > 0 && choice_percent(&world->choice, 5)) {
            int pick =
                (int)choice_below(&world->choice, (uint32_t)w->task_count);
            w->tasks[pick] = w->tasks[--w->task_count];
            w->version++;
        }
        running += w->task_count;
        if (w->task_count > ROOM) {
            fprintf(stderr, "breach: a worker runs %d tasks, room is %d\n",
                    w->task_count, ROOM);
            abort();
        }
    }
    if (running > CAP) {
        fprintf(stderr, "breach: %d tasks run at step %d, allowed are %d\n",
                running, world->now, CAP);
        abort();
    }
}

/* Returns the parts of the rule that are in force. */
static GfRackRules
rules(void)
{
    static const struct {
        const char *name;
        GfRackRules rule;
    } PARTS[] = {{"reserve", GF_RACK_RESERVE_UNSEEN},
                 {"majority", GF_RACK_NEED_MAJORITY},
                 {"forget", GF_RACK_FORGET_AFTER_TERM},
                 {"version", GF_RACK_ORDER_INVENTORIES}};
    const char *without = getenv("GUAVAFLOW_WITHOUT_RULE");
    GfRackRules all = GF_RACK_ALL_RULES;
    for (size_t i = 0; without != NULL && i < 4; i++) {
        if (strcmp(without, PARTS[i].name) == 0) {
            all &= ~PARTS[i].rule;
        }
    }
    return all;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Runs one world. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    static Message messages[MAX_MESSAGES];
    World *world = calloc(1, sizeof(*world));
    GfName_SetText(&team, "t");
    world->choice = choice_make(data, len);
    world->messages = messages;
    world->workers = choice_percent(&world->choice, 30) ? 5 : 3;
    for (int h = 0; h < HOLDERS; h++) {
        GfRackConfig config = {.name = GfName_Format("r"), .rules = rules()};
        world->rack[h] = GfRack_Create(&config);
        for (int i = 0; i < world->workers; i++) {
            GfName name = worker_name(i);
            GfRack_AddWorker(world->rack[h], &name, at(0));
            world->w[i].holder = -1;
        }
    }
    for (world->now = 0; world->now < STEPS; world->now++) {
        if (choice_percent(&world->choice, 5)) {
            uint32_t worker =
                choice_below(&world->choice, (uint32_t)world->workers);
            world->cut_until[choice_below(&world->choice, HOLDERS)][worker] =
                world->now + 3 + (int)choice_below(&world->choice, 37);
        }
        for (int h = 0; h < HOLDERS; h++) {
            if (world->paused_until[h] <= world->now) {
                act(world, h);
            }
        }
        deliver_due(world);
        check(world);
    }
    for (int h = 0; h < HOLDERS; h++) {
        GfRack_Destroy(world->rack[h]);
    }
    free(world);
    return 0;
}
