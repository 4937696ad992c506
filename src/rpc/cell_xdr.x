/* Calls between the entries of a cell. */
const GFC_NAME_BYTES = 63;
const GFC_BODY_BYTES = 1048576;
const GFC_MAX_MEMBERS = 512;
const GFC_MAX_WORKERS = 128;
const GFC_MAX_SERVICES = 16;
const GFC_MAX_TEAMS = 64;
const GFC_MAX_QUEUES = 16;
const GFC_MAX_WAITS = 256;

typedef string gfc_name<GFC_NAME_BYTES>;

struct gfc_peer {
    gfc_name member;
    gfc_name address;
    unsigned int port;
    unsigned hyper incarnation;
    unsigned int strength;
};

struct gfc_beat {
    gfc_peer from;
    unsigned hyper token;
    unsigned hyper config_version;
    unsigned hyper members_digest;
    unsigned hyper forecast_number;
    bool owns;
    bool stopping;
    bool has_store;
};

struct gfc_room {
    gfc_name service;
    hyper mcores;
    hyper memory_mb;
    hyper accelerators;
};

struct gfc_full_team {
    gfc_name team;
    unsigned int retry_after_ms;
};

struct gfc_queue_forecast {
    gfc_name queue;
    unsigned int spare_mcores;
    unsigned int growth_ms;
};

struct gfc_team_wait {
    unsigned int queue;
    gfc_name team;
    unsigned int wait_ms;
    unsigned int late_wait_ms;
    unsigned int doubt_ms;
    bool at_limit;
};

struct gfc_forecast {
    unsigned hyper number;
    unsigned int age_ms;
    gfc_queue_forecast queues<GFC_MAX_QUEUES>;
    gfc_team_wait waits<GFC_MAX_WAITS>;
};

struct gfc_beat_reply {
    gfc_peer from;
    bool owns;
    bool claiming;
    bool ready;
    bool stopping;
    bool has_store;
    unsigned int store_ms;
    unsigned hyper token;
    gfc_peer owner;
    unsigned int owner_silent_ms;
    unsigned hyper config_version;
    unsigned hyper members_digest;
    gfc_peer members<GFC_MAX_MEMBERS>;
    gfc_room rooms<GFC_MAX_SERVICES>;
    gfc_full_team full<GFC_MAX_TEAMS>;
    gfc_forecast forecast;
};

struct gfc_job_call {
    int verb;
    unsigned int hops;
    gfc_name job;
    gfc_name queue;
    unsigned hyper forecast_number;
    opaque body<GFC_BODY_BYTES>;
};

struct gfc_job_reply {
    int kind;
    int state;
    unsigned int waiting;
    unsigned int retry_after_ms;
    gfc_forecast forecast;
};

struct gfc_advice_ask {
    gfc_name step;
    unsigned int timeout_ms;
    gfc_name workers<GFC_MAX_WORKERS>;
};

struct gfc_ticket {
    gfc_name worker;
    gfc_name ticket;
};

struct gfc_advice_reply {
    int kind;
    unsigned int valid_ms;
    gfc_ticket tickets<GFC_MAX_WORKERS>;
};

struct gfc_config_ask {
    unsigned hyper known_version;
};

struct gfc_config_reply {
    unsigned hyper config_version;
    opaque document<GFC_BODY_BYTES>;
};

program GFC_CELL {
    version GFC_CELL_V1 {
        gfc_beat_reply GFC_BEAT(gfc_beat) = 1;
        gfc_job_reply GFC_JOB(gfc_job_call) = 2;
        gfc_advice_reply GFC_ADVISE(gfc_advice_ask) = 3;
        gfc_config_reply GFC_CONFIG(gfc_config_ask) = 4;
    } = 1;
} = 0x20004747;
