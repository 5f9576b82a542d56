/* Drain permits and moves of VMs between two pools, decided by two planners concurrently.
 *
 * Each planner reads the document, may be paused for any time, applies one command to its copy and writes the copy
 * by compare-and-swap. VMs fail and recover in between. The actual state of the VMs changes with each write that a
 * planner believes to have succeeded.
 *
 * Checked: a granted drain leaves at least BUDGET serving VMs in the pool, a VM is in exactly one pool, and it
 * doesn't serve while it moves.
 *
 * Mutants: NO_CAS (writes ignore the version), NO_BUDGET (apply doesn't check the budget), NO_STATE (apply doesn't
 * check that a VM is drained before it moves).
 */

#ifndef COMMANDS
#define COMMANDS 4 /* number of commands of each planner */
#endif
#ifndef FAULTS
#define FAULTS 1 /* maximum number of failures of VMs */
#endif
#define VMS 3
#define BUDGET 1 /* VMs that must serve in each pool */

#define SERVING 0
#define DRAINED 1
#define FAILED 2

/* The document. The version increases with each write. It wraps at 256, more writes than a planner can be behind by. */
byte version;
byte pool[VMS];
byte state[VMS];

/* Actual state of the VMs: membership in each pool, and whether they serve. */
bool member[6]; /* index: 2 * vm + pool */
bool serving[VMS];

byte failures;

inline count_serving(p, result) {
  result = 0;
  for (n : 0 .. VMS - 1) {
    if
    :: copy_pool[n] == p && copy_state[n] == SERVING -> result++
    :: else
    fi
  }
}

inline check_pools() {
  for (n : 0 .. VMS - 1) {
    assert(member[2 * n] + member[2 * n + 1] == 1)
  }
}

inline check_budget(p) {
  available = 0;
  for (n : 0 .. VMS - 1) {
    if
    :: member[2 * n + p] && serving[n] -> available++
    :: else
    fi
  }
  assert(available >= BUDGET)
}

inline read() {
  d_step {
    read_version = version;
    for (n : 0 .. VMS - 1) { copy_pool[n] = pool[n]; copy_state[n] = state[n] }
    n = 0
  }
}

inline write(success) {
#ifdef NO_CAS
  success = true;
#else
  success = (read_version == version);
#endif
  if
  :: success ->
     version++;
     for (n : 0 .. VMS - 1) { pool[n] = copy_pool[n]; state[n] = copy_state[n] }
  :: else
  fi
}

/* Resets local variables after a command, which merges equivalent states. */
inline reset_locals() { n = 0; available = 0; ok = false; read_version = 0; from = 0;
  for (n : 0 .. VMS - 1) { copy_pool[n] = 0; copy_state[n] = 0 }
  n = 0
}

inline grant_drain(vm) {
  count_serving(copy_pool[vm], available);
  ok = (copy_state[vm] == SERVING);
#ifndef NO_BUDGET
  ok = ok && (available > BUDGET);
#endif
  if
  :: ok ->
     from = copy_pool[vm];
     copy_state[vm] = DRAINED;
     write(ok);
     if
     :: ok -> serving[vm] = false; check_budget(from)
     :: else
     fi
  :: else
  fi;
  reset_locals()
}

inline move(vm) {
#ifdef NO_STATE
  ok = true;
#else
  ok = (copy_state[vm] == DRAINED);
#endif
  if
  :: ok ->
     from = copy_pool[vm];
     copy_pool[vm] = 1 - from;
     write(ok);
     if
     :: ok ->
        member[2 * vm + from] = false;
        member[2 * vm + 1 - from] = true;
        assert(!serving[vm]);
        check_pools()
     :: else
     fi
  :: else
  fi;
  reset_locals()
}

inline return_vm(vm) {
  ok = (copy_state[vm] != SERVING);
  if
  :: ok ->
     copy_state[vm] = SERVING;
     write(ok);
     if
     :: ok -> serving[vm] = true; check_pools()
     :: else
     fi
  :: else
  fi;
  reset_locals()
}

proctype Planner() {
  byte commands_left = COMMANDS;
  byte read_version, copy_pool[VMS], copy_state[VMS];
  byte n, available, from, vm;
  bool ok;
  do
  :: commands_left == 0 -> break
  :: commands_left > 0 ->
     commands_left--;
     read();
     atomic {
       if
       :: vm = 0
       :: vm = 1
       :: vm = 2
       fi;
       if
       :: grant_drain(vm)
       :: move(vm)
       :: return_vm(vm)
       fi;
       vm = 0
     }
  od
}

/* A VM fails, and an entry records it at once. */
proctype Failures() {
  byte vm;
  do
  :: failures < FAULTS ->
     atomic {
       if
       :: vm = 0
       :: vm = 1
       :: vm = 2
       fi;
       failures++; serving[vm] = false; state[vm] = FAILED; version++;
       vm = 0
     }
  :: break
  od
}

init {
  d_step {
    pool[2] = 1;
    member[0] = true; member[2] = true; member[5] = true;
    serving[0] = true; serving[1] = true; serving[2] = true
  }
  atomic {
    run Planner();
    run Planner();
    run Failures()
  }
}
