/* Drain permits and moves of VMs between two pools, decided by two planners at once.
 *
 * Each planner reads the document, may be paused for any time, applies one command to its copy and writes the copy
 * by compare-and-swap. VMs fail and recover in between. The truth on the VMs follows each write that a planner
 * believes to have succeeded.
 *
 * Checked: a granted drain leaves each pool the VMs of its budget, a VM is in exactly one pool, and it
 * doesn't serve while it moves.
 *
 * Mutants: NO_CAS (writes ignore the version), NO_BUDGET (apply doesn't check the budget), NO_STATE (apply doesn't
 * check that a VM is drained before it moves).
 */

#ifndef COMMANDS
#define COMMANDS 4 /* commands of each planner */
#endif
#ifndef FAULTS
#define FAULTS 1 /* failures of VMs */
#endif
#define VMS 3
#define BUDGET 1 /* VMs that must serve in each pool */

#define SERVING 0
#define DRAINED 1
#define FAILED 2

/* The document. The version grows with each write, modulo a number that no planner can be behind by. */
byte version;
byte pool[VMS];
byte state[VMS];

/* What VMs do: members of pool p, and whether they serve. */
bool member[6]; /* 2 * vm + pool */
bool serving[VMS];

byte faults;

inline count_serving(p, result) {
  result = 0;
  for (n : 0 .. VMS - 1) {
    if
    :: copy_pool[n] == p && copy_state[n] == SERVING -> result++
    :: else
    fi
  }
}

inline check_truth() {
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
    r_version = version;
    for (n : 0 .. VMS - 1) { copy_pool[n] = pool[n]; copy_state[n] = state[n] }
    n = 0
  }
}

inline write(success) {
#ifdef NO_CAS
  success = true;
#else
  success = (r_version == version);
#endif
  if
  :: success ->
     version++;
     for (n : 0 .. VMS - 1) { pool[n] = copy_pool[n]; state[n] = copy_state[n] }
  :: else
  fi
}

inline clean() { n = 0; available = 0; ok = false; r_version = 0; from = 0;
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
  clean()
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
        check_truth()
     :: else
     fi
  :: else
  fi;
  clean()
}

inline return_vm(vm) {
  ok = (copy_state[vm] != SERVING);
  if
  :: ok ->
     copy_state[vm] = SERVING;
     write(ok);
     if
     :: ok -> serving[vm] = true; check_truth()
     :: else
     fi
  :: else
  fi;
  clean()
}

proctype Planner() {
  byte left = COMMANDS;
  byte r_version, copy_pool[VMS], copy_state[VMS];
  byte n, available, from, vm;
  bool ok;
  do
  :: left == 0 -> break
  :: left > 0 ->
     left--;
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
  :: faults < FAULTS ->
     atomic {
       if
       :: vm = 0
       :: vm = 1
       :: vm = 2
       fi;
       faults++; serving[vm] = false; state[vm] = FAILED; version++;
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
