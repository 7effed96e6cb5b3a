# Injects overlapping faults, chosen at random from a seed. Sourced by
# scripts/history and scripts/relay-soak; uses their functions and variables. In
# a round, one process may be suspended while others are stopped, killed or
# restarted; a stop may be requested twice, or be cut short by a kill. Callers go
# on using a router that is stopping until its process has ended.

soak_processes=(router-0 router-1 router-2 control-0 control-1 control-2)
if ! declare -p soak_engines >/dev/null 2>&1; then
  soak_engines=()
  for z in 0 1 2; do
    for n in 1 2 3 4 5 6; do soak_engines+=("gpu-$z-$n"); done
  done
fi
suspended="" stopping="" shimmed="" bad_ends=0

# Picks a process that is neither suspended nor stopping. If there are engines,
# about half of the picks are engines.
pick_name() {
  local name
  while :; do
    name=${soak_processes[RANDOM % ${#soak_processes[@]}]}
    if ((${#soak_engines[@]} > 0 && RANDOM % 2)); then
      name=${soak_engines[RANDOM % ${#soak_engines[@]}]}
    fi
    case " $suspended $stopping " in *" $name "*) ;; *) break ;; esac
  done
  picked=$name
}

suspend_one() {
  pick_name
  suspended=$picked
  note freeze name "$suspended"
  kill -STOP "$(pid "$suspended")"
}

resume_suspended() {
  if [ -n "$suspended" ]; then
    kill -CONT "$(pid "$suspended")"
    note thaw name "$suspended"
  fi
  suspended=""
}

# Requests a planned stop, in one of three cases twice; end_stops waits for it.
request_stop() { # NAME
  note stop name "$1"
  kill -TERM "$(pid "$1")"
  if ((RANDOM % 3 == 0)); then
    kill -TERM "$(pid "$1")" 2>/dev/null || true
  fi
  stopping="$stopping $1"
}

# Succeeds if the latest process of that name has logged its start.
has_started() { # NAME
  local starts started
  starts=$(awk -v n="$1" '$1 == n' "$run/pids" | wc -l)
  started=$(grep -c '"event":"started"' "$run/$1.log" || true)
  [ "$started" -ge "$starts" ]
}

# Counts a planned stop whose exit code isn't 0. Before a process has logged its
# start, it has no signal handler and has done no work, so that isn't counted.
count_failed_stop() { # NAME CODE
  if has_started "$1"; then
    echo "$1 ended with exit code $2, last line: $(tail -n 1 "$run/$1.log")"
    bad_ends=$((bad_ends + 1))
  else
    echo "$1 was asked to stop before it had logged its start: exit code $2"
  fi
}

# Counts processes that have ended without being stopped or killed here.
count_unexpected_ends() {
  local name
  for name in "${soak_processes[@]}" "${soak_engines[@]}"; do
    if ! grep -q '^State:[[:space:]]*[^Z[:space:]]' "/proc/$(pid "$name")/status" 2>/dev/null; then
      echo "$name ended unexpectedly, last line: $(tail -n 1 "$run/$name.log")"
      bad_ends=$((bad_ends + 1))
    fi
  done
}

# Waits for the processes that are stopping; kills one in four of them instead.
end_stops() {
  local name
  for name in $stopping; do
    if ((RANDOM % 4 == 0)); then
      kill_noted "$name"
    else
      wait "$(pid "$name")" || count_failed_stop "$name" $?
    fi
    restart "$name"
  done
  stopping=""
}

# Shifts the wall clock of a process by up to 20 s in either direction; until the
# end of the round its disk may also be slow or full.
shift_clock() { # NAME
  end_disk_faults
  shimmed=$1 clock_offset_ms=$((RANDOM % 40001 - 20000))
  set_shim "$((RANDOM % 2 * (RANDOM % 400)))" "$((RANDOM % 3 == 0))"
}

# Ends the disk faults; the shift of the clock stays.
end_disk_faults() {
  [ -z "$shimmed" ] || set_shim 0 0
  shimmed=""
}

set_shim() { # SYNC_MS FULL
  echo "$clock_offset_ms $1 $2" >"$run/shim.new"
  mv "$run/shim.new" "$run/$shimmed.shim"
}

# Appends zeros to the logs of a killed control, as after a crash during a write
# that wasn't synced.
append_zeros() { # NAME
  local log
  for log in "$run/data-$1"/*.log; do
    [ ! -s "$log" ] || head -c $((RANDOM % 200)) /dev/zero >>"$log"
  done
}

# Injects a fault that ends no process (a reload, or clock and disk faults), in
# half of the calls; fails if it injected none.
inject_light_fault() {
  case $((RANDOM % 4)) in
  0) has_started "$picked" && kill -HUP "$(pid "$picked")" ;;
  1) shift_clock "$picked" ;;
  *) false ;;
  esac
}

inject_fault() {
  faults=$((faults + 1))
  pick_name
  if [ -n "${soak_shim:-}" ] && inject_light_fault; then
    return
  fi
  case $picked-$((RANDOM % 2)) in
  router-*-0 | control-*-0) request_stop "$picked" ;;
  *)
    kill_noted "$picked"
    [ -z "${soak_shim:-}" ] || append_zeros "$picked"
    restart "$picked"
    ;;
  esac
}

soak_faults() { # END, of SECONDS
  while [ $SECONDS -lt "$1" ]; do
    sleep 0.$((RANDOM % 9 + 1))
    if ((RANDOM % 2)); then suspend_one; fi
    inject_fault
    if ((RANDOM % 2)); then inject_fault; fi
    sleep 0.$((RANDOM % 9 + 1))
    resume_suspended
    end_disk_faults
    end_stops
  done
  count_unexpected_ends
}

# Replaces the VM of a control, or takes its disk away.
replace_control() { # NAME
  local old=$1 new=control-$((${1##*-} + 3)) pause
  pause=$((RANDOM % 2)).$((RANDOM % 10))
  faults=$((faults + 1))
  case $((RANDOM % 4)) in
  0)
    echo "$old is killed, then $new starts"
    kill_noted "$old"
    sleep "$pause"
    ;;
  1)
    echo "$old is stopped, then $new starts"
    stop_control "$old"
    sleep "$pause"
    ;;
  2)
    echo "$old is killed and loses its disk"
    kill_noted "$old"
    rm -rf "$run/data-$old"
    sleep "$pause"
    restart "$old"
    return
    ;;
  3)
    echo "$new starts, then $old is stopped"
    start_one "$new" false
    sleep "$((RANDOM % 5)).$((RANDOM % 10))"
    stop_control "$old"
    soak_processes=("${soak_processes[@]/%$old/$new}")
    return
    ;;
  esac
  start_one "$new" false
  soak_processes=("${soak_processes[@]/%$old/$new}")
}

stop_control() { # NAME
  note stop name "$1"
  kill -TERM "$(pid "$1")"
  wait "$(pid "$1")" || count_failed_stop "$1" $?
}

# Replaces one control after the other, each once the one before has had its
# time; routers are stopped and killed meanwhile. Last, all processes are killed
# and one control loses its disk.
replace_in_series() { # END, of SECONDS
  local controls lost name routers=(router-0 router-1 router-2)
  while [ $SECONDS -lt "$1" ]; do
    mapfile -t controls < <(printf '%s\n' "${soak_processes[@]}" | grep control-)
    replace_control "${controls[RANDOM % 3]}"
    list_controls
    name=${routers[RANDOM % 3]}
    kill_noted "$name"
    restart "$name"
    sleep 4.1 # The catch-up time of the settings, in which they follow too.
    for name in "${soak_processes[@]}"; do settings "$name" false; done
  done
  mapfile -t controls < <(printf '%s\n' "${soak_processes[@]}" | grep control-)
  lost=${controls[RANDOM % 3]}
  echo "all killed, disk of $lost lost"
  for name in "${soak_processes[@]}"; do kill_noted "$name"; done
  rm -rf "$run/data-$lost"
  for name in "${soak_processes[@]}"; do restart "$name"; done
  count_unexpected_ends
}

# Kills and restarts all routers at once, or the controls in turn, again and
# again; one process is suspended in half of the rounds.
kill_in_turn() { # END, of SECONDS
  local name kind
  while [ $SECONDS -lt "$1" ]; do
    sleep "$((RANDOM % 2 + 1)).$((RANDOM % 10))"
    if ((RANDOM % 2)); then suspend_one; fi
    kind=router
    if ((RANDOM % 3 == 0)); then kind=control; fi
    for name in "${soak_processes[@]}"; do
      if [[ $name == $kind-* && $name != "$suspended" ]]; then
        faults=$((faults + 1))
        kill_noted "$name"
        restart "$name"
        [ $kind = router ] || sleep 0.$((RANDOM % 5 + 5))
      fi
    done
    resume_suspended
  done
  count_unexpected_ends
}
