/* Terms of the scheduler, fencing tokens, runs and late orders, for one job with one task.
 *
 * Schedulers of several terms act at the same time: an earlier one may be paused at any point and has not noticed its
 * end until a worker refuses its token. Each learns of the job at its own time. A start may be executed long after it
 * was sent. A worker that a scheduler can't reach is given up once the leases of earlier terms have passed there.
 *
 * Checked at each start: no other run of the task exists, and no run of it has ended (TWICE, and BUDGET with one
 * attempt), and the job was accepted (UNASKED). Checked at each acknowledgement of an end: it is stored (LOST).
 *
 * Mutants: NO_FENCE (workers ignore tokens), FORGET_RUN (a listed run of an unknown job is stopped and not kept),
 * FORGET_END (a listed end of an unknown job is acknowledged), NO_RECONCILE (a scheduler starts the task before all
 * workers have answered), NO_LEASE_WAIT (an unreachable worker is given up before the leases have passed), ACK_EARLY
 * (an end is acknowledged before it is stored), START_UNKNOWN (a task starts although its job is not known).
 */

#ifndef TERMS
#define TERMS 2
#endif
#define WORKERS 2
#ifndef STARTS
#define STARTS 2 /* maximum number of starts that one scheduler sends */
#endif

#define NONE 0
#define RUNNING 1
#define STOPPING 2

/* The store. */
byte newest_term = 0; /* number of terms that have begun */
bool accepted = false;
bool stored_end = false;

/* Workers. */
byte token[WORKERS];
byte task_run[WORKERS];
bool unacknowledged_end[WORKERS];
byte in_flight[WORKERS]; /* token of a start on its way, or 0 */
byte expired_before[WORKERS]; /* orders with a lower token have passed their deadline */

bool has_ended = false;

inline check_start() {
  assert(accepted);
  assert(task_run[0] == NONE && task_run[1] == NONE);
  assert(!has_ended)
}

/* Delivers starts, ends runs, and passes leases on workers that the newest scheduler has not reached. */
proctype Workers() {
  byte w;
end:
  do
  :: atomic { w = 0 } ; goto act
  :: atomic { w = 1 } ;
act:
     if
     :: atomic { in_flight[w] != 0 ->
#ifdef NO_FENCE
          if
          :: in_flight[w] >= expired_before[w] -> check_start(); task_run[w] = RUNNING
          :: else
          fi;
#else
          if
          :: in_flight[w] >= token[w] && in_flight[w] >= expired_before[w] ->
             token[w] = in_flight[w]; check_start(); task_run[w] = RUNNING
          :: else
          fi;
#endif
          in_flight[w] = 0 }
     :: atomic { task_run[w] == RUNNING -> task_run[w] = NONE; unacknowledged_end[w] = true; has_ended = true }
     :: atomic { task_run[w] == STOPPING -> task_run[w] = NONE }
     :: atomic { newest_term > 1 && token[w] < newest_term && expired_before[w] < newest_term ->
          /* An end that was listed before the lease passed doesn't count. */
          task_run[w] = NONE;
          if
          :: unacknowledged_end[w] && !stored_end -> unacknowledged_end[w] = false; has_ended = false
          :: else
          fi;
          expired_before[w] = newest_term }
     :: skip
     fi
  od
}

proctype Acceptance() {
  accepted = true
}

proctype Scheduler(byte term) {
  bool knows_job, knows_end;
  bool has_answered[WORKERS], has_run[WORKERS], has_orphan[WORKERS], has_orphaned_end[WORKERS];
  byte starts = 0;
  byte w = 0;
  atomic { newest_term == term - 1 -> newest_term = term; knows_job = accepted; knows_end = stored_end };
  do
  :: w = 0
  :: w = 1
  :: atomic { accepted && !knows_job ->
       knows_job = true;
       has_run[0] = has_run[0] || has_orphan[0]; has_run[1] = has_run[1] || has_orphan[1];
       knows_end = knows_end || has_orphaned_end[0] || has_orphaned_end[1];
       has_orphan[0] = false; has_orphan[1] = false }
  :: atomic { /* poll */
#ifdef NO_FENCE
       true ->
#else
       token[w] <= term && expired_before[w] <= term ->
#endif
       if
       :: token[w] < term -> token[w] = term
       :: else
       fi;
       has_answered[w] = true;
       if
       :: in_flight[w] == term
       :: in_flight[w] != term && task_run[w] == NONE -> has_run[w] = false; has_orphan[w] = false
       :: in_flight[w] != term && task_run[w] != NONE && knows_job -> has_run[w] = true
       :: in_flight[w] != term && task_run[w] != NONE && !knows_job ->
#ifdef FORGET_RUN
          task_run[w] = STOPPING
#else
          has_orphan[w] = true
#endif
       fi;
       if
       :: unacknowledged_end[w] && knows_job -> knows_end = true
       :: unacknowledged_end[w] && !knows_job ->
#ifdef FORGET_END
          unacknowledged_end[w] = false
#else
          has_orphaned_end[w] = true
#endif
       :: !unacknowledged_end[w]
       fi }
  :: atomic { token[w] > term -> break }
  :: atomic { knows_end && !stored_end && newest_term == term -> stored_end = true }
  :: atomic { unacknowledged_end[w] && knows_end && token[w] <= term &&
#ifndef ACK_EARLY
       stored_end &&
#endif
       has_answered[w] -> assert(stored_end); unacknowledged_end[w] = false }
  :: atomic { !has_answered[w] &&
#ifndef NO_LEASE_WAIT
       expired_before[w] >= term &&
#endif
       newest_term == term -> has_answered[w] = true }
  :: atomic {
#ifndef START_UNKNOWN
       knows_job &&
#endif
       !knows_end && starts < STARTS && in_flight[w] == 0 &&
       !has_run[0] && !has_run[1] && !has_orphan[0] && !has_orphan[1] &&
#ifndef NO_RECONCILE
       has_answered[0] && has_answered[1] &&
#endif
       true -> in_flight[w] = term; has_run[w] = true; starts++ }
  :: break /* the process stops permanently */
  od
}

init {
  atomic {
    run Workers();
    run Acceptance();
    byte term = 1;
    do
    :: term <= TERMS -> run Scheduler(term); term++
    :: else -> break
    od
  }
}
