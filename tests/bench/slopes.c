/* Measures how an entry's processor time, memory and message sizes grow with
 * the number of tasks, teams and racks. Each series is measured on the
 * product's code; the points are printed as size:value, followed by the slope
 * and the intercept of the line that fits them best (least squares). The
 * figures of docs/CAPACITY.md come from here. */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "../../src/rpc/peer_xdr.h"
#include "fake_store.h"
#include "guavaflow/allot.h"
#include "guavaflow/job_tracker.h"
#include "guavaflow/log.h"
#include "guavaflow/selection.h"

#define MAX_POINTS 8
#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define US_PER_S 1e6
#define NS_PER_US 1e3

/* The points of one measurement. */
typedef struct {
    const char *name;
    const char *x_unit;
    const char *y_unit;
    double x[MAX_POINTS];
    double y[MAX_POINTS];
    int count;
} Series;

static GfManualClock manual_clock;

/* Returns the processor time that this process has used, in microseconds. */
static double
cpu_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec * US_PER_S + (double)t.tv_nsec / NS_PER_US;
}

/* Returns how many bytes are allocated on the heap. */
static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)info.uordblks + (double)info.hblkhd;
}

/* Adds a point to a series, which must have fewer than MAX_POINTS. */
static void
add_point(Series *s, double x, double y)
{
    s->x[s->count] = x;
    s->y[s->count] = y;
    s->count++;
}

/* Prints the points of a series and the line that fits them. */
static void
print_series(const Series *s)
{
    double n = s->count;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    printf("%-34s", s->name);
    for (int i = 0; i < s->count; i++) {
        printf(" %g:%.4g", s->x[i], s->y[i]);
        sx += s->x[i];
        sy += s->y[i];
        sxx += s->x[i] * s->x[i];
        sxy += s->x[i] * s->y[i];
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    printf(" | %.4g %s per %s, %.4g at 0\n", slope, s->y_unit, s->x_unit,
           (sy - slope * sx) / n);
}

/* Returns a running task of a job in partition 0. */
static GfTask
make_task(int n)
{
    GfTask task = {.state = GF_TASK_RUNNING};
    task.spec.id = GfName_Format("j000-%016x.0.1", n);
    task.spec.team = GfName_Format("team%d", n % 7);
    task.spec.need = (GfResourceVector){.mcores = 100, .memory_mb = 10};
    return task;
}

/* Measures the processor time of a lease renewal with an inventory and of one
 * without a change, and the memory of a worker's record, by tasks on the
 * worker. */
static void
measure_renewals(void)
{
    enum { ROUNDS = 300 };
    static const int SIZES[] = {1, 5, 20, 50, 100, 200};
    Series full = {
        .name = "renewal with inventory", .x_unit = "task", .y_unit = "us"};
    Series same = {
        .name = "renewal unchanged", .x_unit = "task", .y_unit = "us"};
    Series memory = {
        .name = "rack memory", .x_unit = "task", .y_unit = "bytes"};
    for (size_t i = 0; i < 6; i++) {
        int size = SIZES[i];
        double before = heap_bytes();
        GfRackConfig config = {.name = GfName_Format("r"),
                               .rules = GF_RACK_ALL_RULES};
        GfRack *rack = GfRack_Create(&config);
        GfName worker = GfName_Format("w");
        GfRack_AddWorker(rack, &worker, manual_clock.time);
        GfTask *tasks = calloc((size_t)size, sizeof(*tasks));
        for (int k = 0; k < size; k++) {
            tasks[k] = make_task(k);
        }
        double before_renewals = heap_bytes();
        GfLeaseGrant grant = {.lease = 1,
                              .ttl_ms = 4000,
                              .boot = GfName_Format("b"),
                              .capacity = {.mcores = 64000},
                              .tasks = tasks,
                              .task_count = (size_t)size};
        double start = cpu_us();
        for (int k = 0; k < ROUNDS; k++) {
            GfManualClock_Advance(&manual_clock, 1);
            grant.version++;
            GfRack_ApplyGrant(rack, &worker, &grant, manual_clock.time,
                              manual_clock.time, NULL, NULL);
        }
        add_point(&full, size, (cpu_us() - start) / ROUNDS);
        add_point(&memory, size, heap_bytes() - before_renewals);
        grant.unchanged = true;
        start = cpu_us();
        for (int k = 0; k < ROUNDS; k++) {
            GfManualClock_Advance(&manual_clock, 1);
            GfRack_ApplyGrant(rack, &worker, &grant, manual_clock.time,
                              manual_clock.time, NULL, NULL);
        }
        add_point(&same, size, (cpu_us() - start) / ROUNDS);
        free(tasks);
        GfRack_Destroy(rack);
        (void)before;
    }
    print_series(&full);
    print_series(&same);
    print_series(&memory);
}

/* Returns the YAML of a bundle with this number of teams, which the caller
 * owns. */
static GfStr
make_bundle(int version, int teams)
{
    size_t size = 512 + (size_t)teams * 256;
    char *text = malloc(size);
    int len = snprintf(text, size,
                       "version: %d\nquorum: 1\nmembers: [{name: a, key: " HASH
                       "}]\nservices: [{name: s}]\nteams:\n",
                       version);
    for (int i = 0; i < teams; i++) {
        len += snprintf(text + len, size - (size_t)len,
                        "- {name: team%d, share: 1, limit_cores: 100000, "
                        "limit_requests: 100, keys: [%08x%s]}\n",
                        i, (unsigned)i, HASH + 8);
    }
    return (GfStr){.len = (size_t)len, .data = text};
}

/* Measures the processor time to accept a bundle, the size of the bundle, and
 * the size of an allotment row, by teams. */
static void
measure_teams(void)
{
    static const int SIZES[] = {6, 50, 200, 650};
    Series accept_time = {
        .name = "accept a bundle", .x_unit = "team", .y_unit = "us"};
    Series bytes = {.name = "bundle", .x_unit = "team", .y_unit = "bytes"};
    Series row = {
        .name = "allotment row", .x_unit = "team", .y_unit = "bytes"};
    for (size_t i = 0; i < 4; i++) {
        GfStr text = make_bundle(1, SIZES[i]);
        json_t *document = GfControl_FirstDocument(text.data, NULL);
        GfControl *control = GfControl_Create(3000);
        double start = cpu_us();
        GfControl_Apply(control, document, manual_clock.time, NULL);
        add_point(&accept_time, SIZES[i], cpu_us() - start);
        add_point(&bytes, SIZES[i], (double)text.len);
        GfAllotments *pool = GfAllotments_Create();
        GfPool_Adjust(pool, NULL, control);
        json_t *saved = GfAllotments_Save(pool);
        add_point(&row, SIZES[i],
                  (double)json_dumpb(saved, NULL, 0, JSON_COMPACT));
        json_decref(saved);
        GfAllotments_Destroy(pool);
        GfControl_Destroy(control);
        json_decref(document);
        GfStr_Clear(&text);
    }
    print_series(&accept_time);
    print_series(&bytes);
    print_series(&row);
}

/* Measures the size of a heartbeat and the processor time to encode it, by
 * racks that the entry holds. */
static void
measure_heartbeats(void)
{
    static const int SIZES[] = {3, 30, 300, 1000};
    Series bytes = {.name = "heartbeat", .x_unit = "rack", .y_unit = "bytes"};
    Series encode = {
        .name = "encode a heartbeat", .x_unit = "rack", .y_unit = "us"};
    for (size_t i = 0; i < 4; i++) {
        gfx_beat heartbeat;
        memset(&heartbeat, 0, sizeof(heartbeat));
        heartbeat.member = "entry-000";
        heartbeat.racks.racks_len = (u_int)SIZES[i];
        heartbeat.racks.racks_val = calloc((size_t)SIZES[i], sizeof(gfx_rack));
        gfx_service_room capacity = {.service = "quotes", .free_slots = 5};
        for (int k = 0; k < SIZES[i]; k++) {
            heartbeat.racks.racks_val[k].rack = "region-1/rack-0000";
            heartbeat.racks.racks_val[k].services.services_len = 1;
            heartbeat.racks.racks_val[k].services.services_val = &capacity;
        }
        double start = cpu_us();
        u_long size = 0;
        for (int k = 0; k < 50; k++) {
            size = xdr_sizeof((xdrproc_t)xdr_gfx_beat, &heartbeat);
            char *data = malloc(size);
            XDR out;
            xdrmem_create(&out, data, (u_int)size, XDR_ENCODE);
            xdr_gfx_beat(&out, &heartbeat);
            xdr_destroy(&out);
            free(data);
        }
        add_point(&encode, SIZES[i], (cpu_us() - start) / 50);
        add_point(&bytes, SIZES[i], (double)size);
        free(heartbeat.racks.racks_val);
    }
    print_series(&bytes);
    print_series(&encode);
}

/* A job tracker in a fleet of a given size, and the placements that it has
 * decided on. capacity: how many the array has space for. */
typedef struct {
    GfFleet *fleet;
    GfControl *control;
    GfJobTracker *tracker;
    GfPlacement *placements;
    size_t count;
    size_t capacity;
} Bench;

/* Appends placements to the array. */
static void
on_place(void *ctx, const GfName *holder, const GfPlacement *placements,
         size_t count, bool gang)
{
    (void)holder;
    (void)gang;
    Bench *b = ctx;
    if (b->count + count > b->capacity) {
        b->capacity = (b->count + count) * 2;
        b->placements =
            realloc(b->placements, b->capacity * sizeof(*b->placements));
    }
    memcpy(&b->placements[b->count], placements, count * sizeof(*placements));
    b->count += count;
}

/* Ignores an order to stop a task. */
static void
on_stop(void *ctx, const GfName *rack, const GfName *task, GfStopMode mode)
{
    (void)ctx;
    (void)rack;
    (void)task;
    (void)mode;
}

/* Reports a journal record as durable at once. Takes the reference to it. */
static void
on_append(void *ctx, uint32_t partition, json_t *record,
          GfAppendCallback callback, void *arg)
{
    (void)ctx;
    (void)partition;
    json_decref(record);
    if (callback != NULL) {
        callback(arg, GF_OK);
    }
}

/* Allows all placements. */
static bool
on_may_place(void *ctx, uint32_t partition)
{
    (void)ctx;
    (void)partition;
    return true;
}

static const GfJobTrackerOps OPS = {.place = on_place,
                                    .stop = on_stop,
                                    .append = on_append,
                                    .may_place = on_may_place};

/* Ignores the answer to a submission. */
static void
on_answer(void *arg, const GfAnswer *answer)
{
    (void)arg;
    (void)answer;
}

/* Creates a job tracker in a fleet with these numbers of racks and teams.
 * destroy_bench frees it. */
static void
create_bench(Bench *b, int racks, int teams)
{
    memset(b, 0, sizeof(*b));
    b->fleet = GfFleet_Create(1);
    b->control = GfControl_Create(3000);
    GfStr text = make_bundle(1, teams);
    json_t *document = GfControl_FirstDocument(text.data, NULL);
    GfControl_Apply(b->control, document, manual_clock.time, NULL);
    json_decref(document);
    GfStr_Clear(&text);
    GfName domain = GfName_Format("fd");
    for (int i = 0; i < racks; i++) {
        GfRackView view;
        memset(&view, 0, sizeof(view));
        view.rack = GfName_Format("rack%d", i);
        view.holder = GfName_Format("entry%d", i % 9);
        view.open = true;
        view.free_mcores = 2000000000;
        view.largest_free =
            (GfResourceVector){.mcores = 64000, .memory_mb = 128000};
        view.largest_capacity = view.largest_free;
        GfFleet_AddRack(b->fleet, &view.rack, &domain);
        GfFleet_Update(b->fleet, &view);
    }
    GfJobTrackerConfig config = {
        .partitions = 1, .max_failures = 3, .max_waiting = 1000000};
    b->tracker = GfJobTracker_Create(&config, b->fleet, b->control,
                                     &manual_clock.clock, &OPS, b);
    GfJobTracker_OpenPartition(b->tracker, 0, 1);
}

/* Frees what create_bench created. */
static void
destroy_bench(Bench *b)
{
    GfJobTracker_Destroy(b->tracker);
    GfControl_Destroy(b->control);
    GfFleet_Destroy(b->fleet);
    free(b->placements);
}

/* Submits jobs with about this many tasks in all, evenly over the teams. */
static void
submit(Bench *b, int tasks, int teams)
{
    int per_job = tasks / teams > 0 ? tasks / teams : 1;
    while (per_job > GF_JOB_MAX_TASKS) {
        per_job /= 2;
    }
    for (int i = 0; i * per_job < tasks; i++) {
        GfJobSpec spec = {.id = GfJob_MakeId(0, (uint64_t)i + 1),
                          .team = GfName_Format("team%d", i % teams),
                          .work_class = GF_CLASS_BATCH,
                          .need = {.mcores = 100, .memory_mb = 10},
                          .count = (uint32_t)per_job,
                          .run_ms = 1000,
                          .repeatable = true};
        GfJobTracker_Submit(b->tracker, &spec, on_answer, NULL);
    }
}

/* Runs rounds of decisions; returns the processor time of a placement in
 * microseconds, or 0 if there was none. */
static double
decide(Bench *b, int rounds)
{
    double start = cpu_us();
    size_t before = b->count;
    for (int i = 0; i < rounds; i++) {
        GfJobTracker_Tick(b->tracker);
    }
    size_t decisions = b->count - before;
    return decisions == 0 ? 0 : (cpu_us() - start) / (double)decisions;
}

/* Measures the processor time of a placement decision by racks, by teams and
 * by waiting tasks, and the memory of waiting tasks. */
static void
measure_decisions(void)
{
    static const int RACKS[] = {9, 100, 1000, 4800};
    static const int TEAMS[] = {6, 50, 200, 650};
    static const int TASKS[] = {1000, 4000, 16000, 64000};
    Series by_racks = {.name = "decision", .x_unit = "rack", .y_unit = "us"};
    Series by_teams = {.name = "decision", .x_unit = "team", .y_unit = "us"};
    Series by_tasks = {
        .name = "decision", .x_unit = "waiting task", .y_unit = "us"};
    Series memory = {.name = "job tracker memory",
                     .x_unit = "waiting task",
                     .y_unit = "bytes"};
    Bench b;
    for (size_t i = 0; i < 4; i++) {
        create_bench(&b, RACKS[i], 6);
        submit(&b, 6000, 6);
        add_point(&by_racks, RACKS[i], decide(&b, 10));
        destroy_bench(&b);
        create_bench(&b, 100, TEAMS[i]);
        submit(&b, 13000, TEAMS[i]);
        add_point(&by_teams, TEAMS[i], decide(&b, 10));
        destroy_bench(&b);
        create_bench(&b, 100, 6);
        double before = heap_bytes();
        submit(&b, TASKS[i], 6);
        add_point(&memory, TASKS[i], heap_bytes() - before);
        add_point(&by_tasks, TASKS[i], decide(&b, 3));
        destroy_bench(&b);
    }
    print_series(&by_racks);
    print_series(&by_teams);
    print_series(&by_tasks);
    print_series(&memory);
}

/* Measures the processor time to process the list of a partition's running
 * tasks that a rack's holder returns, by running tasks. */
static void
measure_task_lists(void)
{
    static const int TASKS[] = {250, 500, 1000, 2000};
    Series process = {.name = "process a list of running tasks",
                      .x_unit = "running task",
                      .y_unit = "us"};
    for (size_t i = 0; i < 4; i++) {
        Bench b;
        create_bench(&b, 1, 6);
        submit(&b, TASKS[i], 6);
        decide(&b, 10);
        GfTaskEvent *events = calloc(b.count, sizeof(*events));
        for (size_t k = 0; k < b.count; k++) {
            GfPlacementResult placed = {.ran = GF_RAN_YES};
            GfJobTracker_HandlePlacement(b.tracker, &b.placements[k], &placed);
            events[k].task = b.placements[k].spec.id;
            events[k].rack = b.placements[k].rack;
        }
        double start = cpu_us();
        GfJobTracker_HandleInventory(b.tracker, 0, 1000000,
                                     &b.placements[0].rack, true, events,
                                     b.count);
        add_point(&process, TASKS[i], cpu_us() - start);
        free(events);
        destroy_bench(&b);
    }
    print_series(&process);
}

/* Measures the size of a journal segment by the task completions that it
 * holds. */
static void
measure_journal(void)
{
    static const int SIZES[] = {1, 10, 100, 1000};
    Series bytes = {.name = "journal segment",
                    .x_unit = "task completion",
                    .y_unit = "bytes"};
    for (size_t i = 0; i < 4; i++) {
        GfJobSpec spec = {.id = GfJob_MakeId(0, 1), .count = 1000};
        GfJob *job = GfJob_Create(&spec);
        json_t *segment = json_array();
        for (int k = 0; k < SIZES[i]; k++) {
            job->tasks[k].state = GF_JOB_DONE;
            job->tasks[k].rack = GfName_Format("rack-0000");
            json_array_append_new(segment, GfJobTask_Record(&job->tasks[k]));
        }
        add_point(&bytes, SIZES[i],
                  (double)json_dumpb(segment, NULL, 0, JSON_COMPACT));
        json_decref(segment);
        GfJob_Destroy(job);
    }
    print_series(&bytes);
}

/* Measures the processor time to order waiting steps under overload, by
 * waiting steps of 20 teams and by teams of 10,000 steps. Most steps cannot
 * be in time. */
static void
measure_selection(void)
{
    enum { MOST_STEPS = 10000, MOST_TEAMS = 650 };
    static const int STEPS[] = {100, 1000, 4000, MOST_STEPS};
    static const int TEAMS[] = {6, 50, 200, MOST_TEAMS};
    Series by_steps = {
        .name = "order under overload", .x_unit = "step", .y_unit = "us"};
    Series by_teams = {
        .name = "order under overload", .x_unit = "team", .y_unit = "us"};
    GfSelectionStep *steps = calloc(MOST_STEPS, sizeof(*steps));
    uint32_t *order = calloc(MOST_STEPS, sizeof(*order));
    GfSelectionTeam teams[MOST_TEAMS];
    GfSelectionRoom room = {.mcores = 10000000, .used_mcores = {10000000}};
    srand(1);
    for (size_t i = 0; i < 8; i++) {
        int count = i < 4 ? STEPS[i] : MOST_STEPS;
        int team_count = i < 4 ? 20 : TEAMS[i - 4];
        for (int t = 0; t < team_count; t++) {
            teams[t] = (GfSelectionTeam){.weight = 1 + t % 3,
                                         .used_mcores = rand() % 100000};
        }
        for (int k = 0; k < count; k++) {
            steps[k] =
                (GfSelectionStep){.latest_start_ms = rand() % 1200 - 200,
                                  .latest_value_ms = 3000,
                                  .age_ms = rand() % 1000,
                                  .room_mcores = 45000,
                                  .work = 1000.0 * (rand() % 60000 + 1),
                                  .worth = 1 + rand() % 100 / 100.0,
                                  .team = (uint32_t)(rand() % team_count),
                                  .work_class = rand() % 10 == 0 ? 2 : 0,
                                  .begun = rand() % 10 == 0};
        }
        double start = cpu_us();
        for (int k = 0; k < 20; k++) {
            GfSelection_Order(steps, (size_t)count, teams, (size_t)team_count,
                              &room, order);
        }
        add_point(i < 4 ? &by_steps : &by_teams, i < 4 ? count : team_count,
                  (cpu_us() - start) / 20);
    }
    print_series(&by_steps);
    print_series(&by_teams);
    free(steps);
    free(order);
}

/* Runs all measurements. */
int
main(void)
{
    if (sodium_init() < 0) {
        return 1;
    }
    GfLog_SetLevel(GF_LOG_ERROR);
    GfManualClock_Init(&manual_clock, 100000);
    printf("size of a task's record: job tracker %zu, rack %zu bytes\n",
           sizeof(GfJobTask), sizeof(GfTask));
    measure_selection();
    measure_renewals();
    measure_teams();
    measure_heartbeats();
    measure_decisions();
    measure_task_lists();
    measure_journal();
    return 0;
}
