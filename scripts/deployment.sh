# Functions that start a small deployment on loopback, with stand-ins for what
# is outside. To be sourced. Every port is chosen by the system.
#
#   bin        folder of the programs
#   run        folder for settings, logs, data and records of this run
#   pids       the processes started, "name pid" a line, in $run/pids

operator_key="demo-operator-key"
cluster_key="demo-cluster-key"

# start NAME PROGRAM [FLAG...]: starts a process; its log is $run/NAME.log.
start() {
  local name=$1 program=$2
  shift 2
  local -a before=()
  if [ -n "${soak_shim:-}" ]; then
    before=(env "LD_PRELOAD=$soak_shim" "SOAK_SHIM=$run/$name.shim")
  fi
  "${before[@]}" "$bin/$program" --port_file="$run/$name.port" "$@" \
    >>"$run/$name.log" 2>&1 &
  echo "$name $!" >>"$run/pids"
}

# pid NAME: the process id of the last start of that name.
pid() { awk -v n="$1" '$1 == n { p = $2 } END { print p }' "$run/pids"; }

# await SECONDS COMMAND...: waits until the command succeeds.
await() {
  local seconds=$1 tries
  shift
  for ((tries = 0; tries < seconds * 20; tries++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "waited $seconds s in vain for: $*" >&2
  return 1
}

# field FILE KEY: a string of a flat JSON file.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$run/$1"; }

port_known() { [ -s "$run/$1.port" ]; }

# address NAME [KEY]: an address that a process listens on.
address() {
  await 10 port_known "$1" || return 1
  field "$1.port" "${2:-listen}"
}

start_engine() { # NAME ZONE ACCELERATOR MEMORY_LAYERS LAYER_US
  start "$1" spindleweir-standin --kind=engine --vm="$1" --zone="$2" \
    --accelerator="$3" --memory_layers="$4" --layer_us="$5" --batch=8 \
    --load_ms="${load_ms:-200}" --record="$run/$1.record"
}

start_service() { # NAME
  start "$1" spindleweir-standin --kind=service --vm="$1" \
    --record="$run/$1.record"
}

start_platform() {
  start platform spindleweir-standin --kind=platform --file="$run/vms.json"
}

# write_platform_list "NAME ZONE SERVICE LEAVING" lines on standard input.
write_platform_list() {
  local name zone service leaving rows=()
  while read -r name zone service leaving; do
    [ "$service" = - ] && service=""
    rows+=("{\"vm\":\"$name\",\"zone\":\"$zone\",\"service\":\"$service\",\"address\":\"$(address "$name")\",\"leaving\":${leaving:-false}}")
  done
  (
    IFS=,
    echo "{\"vms\":[${rows[*]}]}"
  ) >"$run/vms.json.new"
  mv "$run/vms.json.new" "$run/vms.json"
}

start_control() { # NAME ZONE [FLAG...]
  local name=$1 zone=$2
  shift 2
  start "$name" spindleweir-control --id="$name" --zone="$zone" \
    --operator_key="$operator_key" --cluster_key="$cluster_key" \
    --entry_vms="$run/entry_vms.json" --data="$run/data-$name" \
    --platform="$(address platform)" "$@"
}

start_router() { # NAME ZONE [FLAG...]
  local name=$1 zone=$2
  shift 2
  start "$name" spindleweir-router --id="$name" --zone="$zone" \
    --cluster_key="$cluster_key" --entry_vms="$run/entry_vms.json" \
    --platform="$(address platform)" "$@"
}

# write_entry_vms "NAME ROLE ZONE" lines on standard input.
write_entry_vms() {
  local name role zone extra rows=()
  while read -r name role zone; do
    extra=""
    [ "$role" = control ] &&
      extra=",\"operator\":\"$(address "$name" operator)\""
    rows+=("{\"id\":\"$name\",\"role\":\"$role\",\"zone\":\"$zone\",\"address\":\"$(address "$name" rpc)\"$extra}")
  done
  (
    IFS=,
    echo "[${rows[*]}]"
  ) >"$run/entry_vms.json.new"
  mv "$run/entry_vms.json.new" "$run/entry_vms.json"
}

# ctl [FLAG...] COMMAND...: the operators' command line.
ctl() {
  "$bin/spindleweirctl" --control="$controls" --operator_key="$operator_key" "$@"
}

ready() { curl -fsS "http://$(address "$1")/readyz"; }

# stop_all: a planned stop of everything, routers first, so that they hand
# over their receipts; fails where a process does not end with 0.
stop_all() {
  local name process bad=0 group
  for group in router- ""; do
    while read -r name process; do
      [[ $name == "$group"* ]] && kill -TERM "$process" 2>/dev/null || true
    done <"$run/pids"
    while read -r name process; do
      [[ $name == "$group"* ]] || continue
      case " ${killed:-} " in *" $name "*) continue ;; esac
      wait "$process" || bad=1
    done <"$run/pids"
  done
  [ $bad = 0 ] || echo "a process did not end with 0" >&2
  : >"$run/pids"
  return $bad
}
