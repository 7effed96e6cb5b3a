# Faults that overlap, at random from a seed: sourced by scripts/history and
# scripts/relay-soak, whose names it uses. In a round one process may stand still while others are stopped,
# killed or started again; a stop may be asked for twice, or end by a kill. A
# router that stops stays among the callers' targets until its process is gone.

soak_ours=(router-0 router-1 router-2 control-0 control-1 control-2)
if ! declare -p soak_engines >/dev/null 2>&1; then
  soak_engines=()
  for z in 0 1 2; do
    for n in 1 2 3 4 5 6; do soak_engines+=("gpu-$z-$n"); done
  done
fi
frozen="" stopping="" disturbed="" bad_ends=0

# A process that is neither still nor stopping now; one in two is an engine.
pick_name() {
  local name
  while :; do
    name=${soak_ours[RANDOM % ${#soak_ours[@]}]}
    if ((${#soak_engines[@]} > 0 && RANDOM % 2)); then
      name=${soak_engines[RANDOM % ${#soak_engines[@]}]}
    fi
    case " $frozen $stopping " in *" $name "*) ;; *) break ;; esac
  done
  picked=$name
}

freeze_one() {
  pick_name
  frozen=$picked
  note freeze name "$frozen"
  kill -STOP "$(pid "$frozen")"
}

thaw() {
  if [ -n "$frozen" ]; then
    kill -CONT "$(pid "$frozen")"
    note thaw name "$frozen"
  fi
  frozen=""
}

# Asks for a planned stop, now and then twice; ended by end_stops.
ask_to_stop() { # NAME
  note stop name "$1"
  kill -TERM "$(pid "$1")"
  if ((RANDOM % 3 == 0)); then
    kill -TERM "$(pid "$1")" 2>/dev/null || true
  fi
  stopping="$stopping $1"
}

# Whether the newest process of a name has logged its start.
has_started() { # NAME
  local begun started
  begun=$(awk -v n="$1" '$1 == n' "$run/pids" | wc -l)
  started=$(grep -c '"event":"started"' "$run/$1.log" || true)
  [ "$started" -ge "$begun" ]
}

# A planned stop ends with 0. A signal that finds a process before it has logged
# its start finds no handler either; it has done nothing yet.
ended_badly() { # NAME CODE
  if has_started "$1"; then
    echo "$1 ended with $2, last line: $(tail -n 1 "$run/$1.log")"
    bad_ends=$((bad_ends + 1))
  else
    echo "$1 was asked to stop before it had started: $2"
  fi
}

# Counts those that are gone and were not ended here.
count_ended_alone() {
  local name
  for name in "${soak_ours[@]}" "${soak_engines[@]}"; do
    if ! grep -q '^State:[[:space:]]*[^Z[:space:]]' "/proc/$(pid "$name")/status" 2>/dev/null; then
      echo "$name ended by itself, last line: $(tail -n 1 "$run/$name.log")"
      bad_ends=$((bad_ends + 1))
    fi
  done
}

# Waits for those that were asked to stop; one in four is killed meanwhile.
end_stops() {
  local name
  for name in $stopping; do
    if ((RANDOM % 4 == 0)); then
      kill_noted "$name"
    else
      wait "$(pid "$name")" || ended_badly "$name" $?
    fi
    restart "$name"
  done
  stopping=""
}

# Steps the clock of a process by up to 20 s; in this round its disk is slow or
# full.
disturb() { # NAME
  calm
  disturbed=$1 step=$((RANDOM % 40001 - 20000))
  set_shim "$((RANDOM % 2 * (RANDOM % 400)))" "$((RANDOM % 3 == 0))"
}

# The clock stays where it is.
calm() {
  [ -z "$disturbed" ] || set_shim 0 0
  disturbed=""
}

set_shim() { # SYNC_MS FULL
  echo "$step $1 $2" >"$run/shim.new"
  mv "$run/shim.new" "$run/$disturbed.shim"
}

# A control that is gone had begun to write when it was killed: what is not
# synced ends in zeros.
tear() { # NAME
  local log
  for log in "$run/data-$1"/*.log; do
    [ ! -s "$log" ] || head -c $((RANDOM % 200)) /dev/zero >>"$log"
  done
}

# Ends nothing: in one of two, for soaks with such faults; false: not this time.
strike_lightly() {
  case $((RANDOM % 4)) in
  0) has_started "$picked" && kill -HUP "$(pid "$picked")" ;;
  1) disturb "$picked" ;;
  *) false ;;
  esac
}

strike() {
  faults=$((faults + 1))
  pick_name
  if [ -n "${soak_shim:-}" ] && strike_lightly; then
    return
  fi
  case $picked-$((RANDOM % 2)) in
  router-*-0 | control-*-0) ask_to_stop "$picked" ;;
  *)
    kill_noted "$picked"
    [ -z "${soak_shim:-}" ] || tear "$picked"
    restart "$picked"
    ;;
  esac
}

soak_faults() { # END, of SECONDS
  while [ $SECONDS -lt "$1" ]; do
    sleep 0.$((RANDOM % 9 + 1))
    if ((RANDOM % 2)); then freeze_one; fi
    strike
    if ((RANDOM % 2)); then strike; fi
    sleep 0.$((RANDOM % 9 + 1))
    thaw
    calm
    end_stops
  done
  count_ended_alone
}
