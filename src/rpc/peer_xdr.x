/* Calls between entries. */
const GFX_NAME_BYTES = 63;
const GFX_TEXT_BYTES = 383;
const GFX_BODY_BYTES = 1048576;
const GFX_MAX_RACKS = 8192;
const GFX_MAX_SERVICES = 1024;
const GFX_MAX_TEAMS = 4096;
const GFX_MAX_PARTITIONS = 256;
const GFX_MAX_TASKS = 65536;
const GFX_MAX_BATCH = 512;

typedef string gfx_name<GFX_NAME_BYTES>;

struct gfx_service_room {
    gfx_name service;
    unsigned int free_slots;
    unsigned int queued;
};

struct gfx_rack {
    gfx_name rack;
    unsigned hyper term;
    bool open;
    unsigned int free_mcores;
    unsigned int widest_mcores;
    unsigned int widest_memory_mb;
    unsigned int widest_accelerators;
    unsigned int largest_mcores;
    unsigned int largest_memory_mb;
    unsigned int largest_accelerators;
    gfx_service_room services<GFX_MAX_SERVICES>;
};

struct gfx_use {
    gfx_name team;
    unsigned int mcores;
    unsigned int requests;
    unsigned int waiting;
};

struct gfx_part {
    unsigned int partition;
    unsigned hyper epoch;
};

struct gfx_clean {
    gfx_name rack;
    unsigned hyper lease_sum;
};

struct gfx_beat {
    gfx_name member;
    unsigned hyper incarnation;
    unsigned hyper control_version;
    bool leaving;
    bool has_store;
    gfx_rack racks<GFX_MAX_RACKS>;
    gfx_use uses<GFX_MAX_TEAMS>;
    gfx_part parts<GFX_MAX_PARTITIONS>;
    gfx_clean clean_racks<GFX_MAX_RACKS>;
};

struct gfx_beat_reply {
    gfx_name member;
    unsigned hyper incarnation;
    unsigned hyper control_version;
};

struct gfx_answer {
    int kind;
    int ran;
    string text<GFX_TEXT_BYTES>;
    opaque body<GFX_BODY_BYTES>;
};

struct gfx_request {
    gfx_name id;
    gfx_name service;
    gfx_name team;
    gfx_name key;
    gfx_name rack;
    unsigned int time_ms;
    bool repeatable;
    opaque body<GFX_BODY_BYTES>;
};

struct gfx_task {
    gfx_name id;
    gfx_name team;
    unsigned int mcores;
    unsigned int memory_mb;
    unsigned int accelerators;
    unsigned int run_ms;
    int work_class;
    bool repeatable;
    bool fails;
};

struct gfx_place {
    gfx_name rack;
    unsigned hyper term;
    unsigned int partition;
    unsigned hyper epoch;
    unsigned hyper seq;
    gfx_task task;
};

struct gfx_place_args {
    bool gang;
    gfx_place places<GFX_MAX_BATCH>;
};

struct gfx_placed {
    int kind;
    int ran;
    gfx_name worker;
};

struct gfx_place_result {
    gfx_placed placed<GFX_MAX_BATCH>;
};

struct gfx_event {
    gfx_name task;
    gfx_name rack;
    gfx_name worker;
    int state;
    int exit_code;
};

struct gfx_events {
    gfx_event events<GFX_MAX_BATCH>;
};

struct gfx_acked {
    gfx_name tasks<GFX_MAX_BATCH>;
};

struct gfx_find {
    unsigned int partition;
    unsigned hyper epoch;
    unsigned hyper seq;
};

struct gfx_found_rack {
    gfx_name rack;
    unsigned hyper term;
    bool complete;
    gfx_event tasks<GFX_MAX_TASKS>;
};

struct gfx_found {
    gfx_found_rack racks<GFX_MAX_RACKS>;
};

struct gfx_stop {
    gfx_name rack;
    gfx_name task;
    int mode;
};

struct gfx_job_call {
    int verb;
    gfx_name job;
    gfx_name team;
    opaque body<GFX_BODY_BYTES>;
};

struct gfx_control_ask {
    unsigned hyper known_version;
};

struct gfx_control {
    unsigned hyper document_version;
    opaque document<GFX_BODY_BYTES>;
};

program GFX_PEER {
    version GFX_PEER_V1 {
        gfx_beat_reply GFX_BEAT(gfx_beat) = 1;
        gfx_answer GFX_REQUEST(gfx_request) = 2;
        gfx_answer GFX_EXECUTE(gfx_request) = 3;
        gfx_place_result GFX_PLACE(gfx_place_args) = 4;
        gfx_acked GFX_EVENTS(gfx_events) = 5;
        gfx_found GFX_FIND(gfx_find) = 6;
        gfx_answer GFX_STOP(gfx_stop) = 7;
        gfx_answer GFX_JOB(gfx_job_call) = 8;
        gfx_control GFX_CONTROL(gfx_control_ask) = 9;
    } = 1;
} = 0x20004746;
