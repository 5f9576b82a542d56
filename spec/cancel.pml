/* Cancelling a job that no entry knows, while a write that creates it may be in flight.
 *
 * Entry 0 creates the job, with attempts for up to GIVE_UP ticks. An attempt may get no answer; it then takes effect within LATE
 * ticks, or never. Entry 1 cancels the job for its caller: it reads the store and, if there is no job, stores a tombstone, whose
 * write may get no answer too. Both may stop at any point. The scheduler learns of jobs and tombstones from the store, or of a
 * job from its entry at once. A new scheduler reads everything. It deletes a tombstone once it has read the store RETENTION ticks
 * after it learned of it, or later.
 *
 * Checked: once a cancelling was acknowledged and the scheduler has read the store since, the job neither runs nor starts.
 *
 * Mutants: NO_TOMBSTONE (an unknown job is acknowledged as such after a read), UNSTORED (the tombstone is told to the scheduler
 * only), ASSUME_STORED (a tombstone without an answer counts as stored), NEW_JOBS_ONLY (a tombstone does not cancel a known job),
 * EXPIRE_EARLY (a tombstone is deleted before the last late write), EXPIRE_UNREAD (a tombstone is deleted by time, before the
 * scheduler has read the last late write).
 */

#define START 1   /* latest tick of the first attempt to create the job */
#define GIVE_UP 1 /* ticks in which attempts are made */
#define LATE 2    /* ticks in which a write without an answer may take effect */
#ifdef EXPIRE_EARLY
#define RETENTION 1
#else
#define RETENTION (START + GIVE_UP + LATE + 1)
#endif
#define END (RETENTION + START + GIVE_UP + LATE + 3)

#define NEVER 255

byte now = 0;

/* The store. */
bool job_stored = false;
bool cancel_stored = false; /* a mark of cancellation of a job that is known */
bool tombstone_stored = false;
bool ended_stored = false; /* the job was stored as cancelled */

/* Writes in flight: tick by which they take effect, if they do. */
byte job_due = NEVER;
byte tombstone_due = NEVER;

/* The scheduler. */
bool knows_job = false;
bool knows_cancel = false;
bool knows_tombstone = false;
byte learned_at = 0;
byte read_at = 0;
bool running = false;
bool ended = false;

bool acknowledged = false;
bool read_since = false; /* the scheduler has read the store since the acknowledgement */

inline create_job() {
  if
  :: !job_stored -> job_stored = true
  :: else
  fi
}

inline apply_cancel() {
  if
  :: knows_job && !ended && (knows_cancel || knows_tombstone) ->
#ifdef NEW_JOBS_ONLY
     if
     :: running && !knows_cancel
     :: else -> running = false; ended = true; ended_stored = true
     fi
#else
     running = false; ended = true; ended_stored = true
#endif
  :: else
  fi
}

inline read_store() {
  read_at = now;
  if
  :: job_stored -> knows_job = true; ended = (ended || ended_stored)
  :: else
  fi;
  knows_cancel = (knows_cancel || cancel_stored);
  if
  :: tombstone_stored && !knows_tombstone -> knows_tombstone = true; learned_at = now
  :: else
  fi;
  apply_cancel();
  if
  :: acknowledged -> read_since = true; assert(!running)
  :: else
  fi
}

proctype Creator() {
  byte give_up_at;
  do
  :: atomic { now <= START -> give_up_at = now + GIVE_UP; break }
  :: goto stop
  od;
  do
  :: atomic { now <= give_up_at -> create_job(); if :: !ended -> knows_job = true :: skip fi; apply_cancel(); break }
  :: atomic { now <= give_up_at -> create_job(); break } /* the answer is lost, or the entry stops */
  :: atomic { now <= give_up_at && job_due == NEVER -> job_due = now + LATE }
  :: break
  od;
stop:
  skip
}

proctype Canceller() {
  bool found;
  atomic { found = job_stored };
  if
  :: found ->
     atomic { cancel_stored = true };
     atomic { acknowledged = true }
  :: else ->
#ifdef NO_TOMBSTONE
     atomic { acknowledged = true }
#else
#ifdef UNSTORED
     atomic { knows_tombstone = true; learned_at = now; apply_cancel() };
     atomic { acknowledged = true }
#else
     if
     :: atomic { tombstone_stored = true }; atomic { acknowledged = true }
     :: atomic { tombstone_stored = true } /* the answer is lost, or the entry stops */
     :: atomic { tombstone_due = now + LATE };
#ifdef ASSUME_STORED
        atomic { acknowledged = true }
#else
        skip
#endif
     fi
#endif
#endif
  fi
}

proctype Scheduler() {
  bool may_be_replaced = true;
  do
  :: atomic { read_store() }
  :: atomic { knows_job && !knows_cancel && !knows_tombstone && !ended && !running ->
       assert(!(acknowledged && read_since));
       running = true }
  :: atomic { may_be_replaced ->
       may_be_replaced = false;
       knows_job = false; knows_cancel = false; knows_tombstone = false; ended = false;
       read_store() }
#ifdef EXPIRE_UNREAD
  :: atomic { knows_tombstone && now >= learned_at + RETENTION ->
#else
  :: atomic { knows_tombstone && read_at >= learned_at + RETENTION ->
#endif
       knows_tombstone = false; tombstone_stored = false }
  :: atomic { now >= END -> break }
  od
}

/* Delivers writes in flight. */
proctype Network() {
  do
  :: atomic { job_due != NEVER -> create_job(); job_due = NEVER }
  :: atomic { job_due != NEVER -> job_due = NEVER }
  :: atomic { tombstone_due != NEVER -> tombstone_stored = true; tombstone_due = NEVER }
  :: atomic { tombstone_due != NEVER -> tombstone_due = NEVER }
  :: atomic { now >= END -> break }
  od
}

proctype Clock() {
  do
  :: atomic { now < END && (job_due == NEVER || now < job_due) && (tombstone_due == NEVER || now < tombstone_due) -> now++ }
  :: now >= END -> break
  od
}

init {
  atomic { run Creator(); run Canceller(); run Scheduler(); run Network(); run Clock() }
}
