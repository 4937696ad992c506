# Functions that start and stop a small cluster on loopback. Scripts source
# this file after setting BUILD (the build folder) and DIR (a folder for
# temporary files). Process ids are kept in PIDS and in PID_<name>.
# Ports: BASE platform, from BASE+10 callers, from BASE+20 peers, from BASE+100
# workers (20 for each rack), from BASE+300 targets (20 for each rack).
# shellcheck shell=sh

BASE=${BASE:-18000}
ENTRIES=${ENTRIES:-3}
RACKS=${RACKS:-3}
WORKERS_PER_RACK=${WORKERS_PER_RACK:-4}
TARGETS_PER_RACK=${TARGETS_PER_RACK:-2}
PIDS=""
GF="$BUILD/guavaflow"
ADDRESS=127.0.0.1

post() { curl -s -m 5 -X POST -H 'Content-Type: application/json' -d "$2" "$1"; }
caller_port() { echo $((BASE + 10 + $1)); }
key_hash() { "$GF" key hash "$1"; }

start_standin() { # NAME ARGS...
    name=$1
    shift
    "$BUILD/standin" "$@" 2>"$DIR/$name.log" &
    eval "PID_$name=$!"
    PIDS="$PIDS $!"
}

write_bundle() { # FILE
    cat >"$1" <<EOF
version: 1
quorum: 1
members:
  - name: alice
    key: $MEMBER_PUBLIC
operators:
  - name: ops
    keys: [$(key_hash "$OPS_KEY")]
teams:
  - name: desk
    share: 60
    limit_cores: 40
    limit_requests: 200
    keys: [$(key_hash "$DESK_KEY")]
  - name: nesting
    share: 40
    limit_cores: 24
    limit_requests: 50
    keys: [$(key_hash "$NESTING_KEY")]
services:
  - name: quotes
    slots: 8
    request_limit_ms: 1500
EOF
}

write_settings() { # NUMBER
    cat >"$DIR/entry$1.yaml" <<EOF
member: entry$1
region: r1
failure_domain: fd$(($1 % 3))
caller: {address: $ADDRESS, port: $(caller_port "$1")}
peer: {address: $ADDRESS, port: $((BASE + 20 + $1))}
platform: {address: $ADDRESS, port: ${PLATFORM_PORT:-$BASE}}
first_bundle: $DIR/bundle.yaml
log_level: ${LOG_LEVEL:-info}
EOF
}

start_entry() { # NUMBER
    write_settings "$1"
    "$GF" entry --config "$DIR/entry$1.yaml" 2>>"$DIR/entry$1.log" &
    eval "PID_entry$1=$!"
    PIDS="$PIDS $!"
}

host() { # NAME KIND PORT RACK DOMAIN STATE
    printf '{"name":"%s","kind":"%s","address":"%s","port":%d,"rack":"%s","domain":"%s","state":"%s","service":"quotes","slots":8}' \
        "$1" "$2" "$ADDRESS" "$3" "$4" "$5" "$6"
}

list_hosts() {
    hosts=""
    r=0
    while [ "$r" -lt "$RACKS" ]; do
        i=0
        while [ "$i" -lt "$WORKERS_PER_RACK" ]; do
            hosts="$hosts,$(host "w$r-$i" worker $((BASE + 100 + r * 20 + i)) "rack$r" "fd$((r % 3))" live)"
            i=$((i + 1))
        done
        i=0
        while [ "$i" -lt "$TARGETS_PER_RACK" ]; do
            hosts="$hosts,$(host "t$r-$i" target $((BASE + 300 + r * 20 + i)) "rack$r" "fd$((r % 3))" live)"
            i=$((i + 1))
        done
        r=$((r + 1))
    done
    post "http://$ADDRESS:$BASE/test/hosts" "{\"hosts\":[${hosts#,}]}" >/dev/null
}

make_keys() {
    DESK_KEY=gfk_desk_0123456789abcdef
    NESTING_KEY=gfk_nesting_0123456789abcdef
    OPS_KEY=gfk_ops_0123456789abcdef
    "$GF" key member >"$DIR/member"
    MEMBER_PUBLIC=$(sed -n 's/^public: //p' "$DIR/member")
    sed -n 's/^secret: //p' "$DIR/member" >"$DIR/member.secret"
}

wait_ready() { # NUMBER
    n=0
    until curl -s -m 1 -o /dev/null -f "http://$ADDRESS:$(caller_port "$1")/health"; do
        n=$((n + 1))
        [ "$n" -lt 200 ] || { echo "entry$1 is not ready"; return 1; }
        sleep 0.1
    done
}

start_cluster() {
    make_keys
    write_bundle "$DIR/bundle.yaml"
    start_standin platform platform "$ADDRESS" "$BASE"
    r=0
    while [ "$r" -lt "$RACKS" ]; do
        start_standin "workers$r" workers "$ADDRESS" $((BASE + 100 + r * 20)) "$WORKERS_PER_RACK" "w$r-" 8000 16384 1
        start_standin "targets$r" targets "$ADDRESS" $((BASE + 300 + r * 20)) "$TARGETS_PER_RACK" "t$r-" 8
        r=$((r + 1))
    done
    sleep 0.3
    list_hosts
    i=1
    while [ "$i" -le "$ENTRIES" ]; do
        start_entry "$i"
        i=$((i + 1))
    done
    i=1
    while [ "$i" -le "$ENTRIES" ]; do
        wait_ready "$i"
        i=$((i + 1))
    done
}

stop_cluster() {
    for p in $PIDS; do
        kill -9 "$p" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    PIDS=""
}
