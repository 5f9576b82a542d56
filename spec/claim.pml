/* Claims of one non-idempotent job in a document written by compare-and-swap.
 *
 * Two entries may own the shard one after the other, or both believe that they own it: an owner can be paused at any
 * point, which the interleavings cover, and can stop permanently. A third entry cancels the job for its caller.
 * Reads may be stale. The answer to a write may be lost. Such a write may have taken effect, may take effect later,
 * or never does.
 *
 * Checked: the job is started at most once, and "not run" is never reported for a job that was or will be started.
 *
 * Mutants: NO_CAS (writes ignore the version), SUCCESSOR_STARTS (a successor sends a start for a claim that it
 * reads), ASSUME_WRITTEN (a lost answer counts as success), NO_CANCEL_WRITE ("not run" is reported after a read,
 * without a write).
 */

#ifndef OPERATIONS
#define OPERATIONS 3 /* maximum number of reads of the document by each entry */
#endif
#ifndef LOSSES
#define LOSSES 2 /* maximum number of writes whose answer is lost */
#endif

#define ACCEPTED 0
#define CLAIMED 1
#define DONE 2
#define UNKNOWN 3
#define NOT_RUN 4

#define NO_WRITER 9
#define CANCELLER 2

/* The document and the state before its last write, which a stale replica may still return. */
byte version = 1;
byte state = ACCEPTED;
byte writer = NO_WRITER; /* claimant, or the entry that set the state */
byte stale_version = 1;
byte stale_state = ACCEPTED;
byte stale_writer = NO_WRITER;

/* Writes in flight after their answer was lost, by entry. */
byte in_flight_version[3];
byte in_flight_state[3];
bool in_flight[3];

byte lost_answers = 0;
byte starts = 0;
bool result_available = false; /* the job was started, so the worker can report its result */
bool reported_not_run = false;

inline compare_and_swap(entry, expected_version, new_state, success) {
#ifdef NO_CAS
  success = true;
#else
  success = (version == expected_version);
#endif
  if
  :: success ->
     stale_version = version; stale_state = state; stale_writer = writer;
     version++; state = new_state; writer = entry
  :: else
  fi
}

inline start() {
  atomic {
    starts++;
    assert(starts <= 1);
    assert(!reported_not_run)
  }
}

inline report_not_run() {
  atomic {
    reported_not_run = true;
    assert(starts == 0)
  }
}

inline read() {
  atomic {
    if
    :: read_version = version; read_state = state; read_writer = writer
    :: read_version = stale_version; read_state = stale_state; read_writer = stale_writer
    fi
  }
}

/* Sends one write. answer: 1 written, 0 conflict, 2 lost. */
inline write(new_state) {
  atomic {
    if
    :: compare_and_swap(me, expected_version, new_state, ok);
       if
       :: ok -> answer = 1
       :: else -> answer = 0
       fi
    :: lost_answers < LOSSES -> lost_answers++; compare_and_swap(me, expected_version, new_state, ok); answer = 2
    :: lost_answers < LOSSES && !in_flight[me] ->
       lost_answers++;
       in_flight[me] = true; in_flight_version[me] = expected_version; in_flight_state[me] = new_state;
       answer = 2
    fi;
    ok = false
  }
}

/* Repeats a write until its outcome is known, as module `commit` does. answer: 1 written, 0 not written, 2 unknown
 * because no reads are left. */
inline commit(new_state) {
  expected_version = read_version;
  write(new_state);
#ifdef ASSUME_WRITTEN
  if
  :: answer == 2 -> answer = 1
  :: else
  fi
#else
  do
  :: answer != 2 && !uncertain -> break
  :: answer == 1 -> break
  :: else ->
     uncertain = true;
     if
     :: reads_left == 0 -> answer = 2; break
     :: else
     fi;
     reads_left--;
     read();
     if
     :: read_version > expected_version && read_state == new_state && read_writer == me -> answer = 1; break
     :: read_version > expected_version && !(read_state == new_state && read_writer == me) -> answer = 0; break
     :: read_version <= expected_version -> write(new_state)
     fi
  od;
  uncertain = false
#endif
}

proctype Owner(byte me) {
  byte reads_left = OPERATIONS;
  byte read_version, read_state, read_writer, expected_version, answer;
  bool ok, uncertain;
  do
  :: reads_left == 0 -> break
  :: reads_left > 0 ->
     reads_left--;
     read();
     if
     :: read_state == ACCEPTED ->
        commit(CLAIMED);
        if
        :: answer == 1 -> start(); result_available = true; break
        :: answer == 2 -> break /* outcome unknown: a claim that was written is left to the successor */
        :: answer == 0
        fi
     :: read_state == CLAIMED && read_writer != me ->
#ifdef SUCCESSOR_STARTS
        start();
#endif
        if
        :: result_available -> commit(DONE)
        :: commit(UNKNOWN)
        fi
     :: else -> break
     fi
  :: break /* the process stops permanently */
  od
}

proctype Canceller() {
  byte me = CANCELLER;
  byte reads_left = OPERATIONS;
  byte read_version, read_state, read_writer, expected_version, answer;
  bool ok, uncertain;
  do
  :: reads_left == 0 -> break
  :: reads_left > 0 ->
     reads_left--;
     read();
     if
     :: read_state == NOT_RUN -> report_not_run(); break
     :: read_state == ACCEPTED ->
#ifdef NO_CANCEL_WRITE
        report_not_run(); break
#else
        commit(NOT_RUN);
        if
        :: answer == 1 -> report_not_run(); break
        :: answer == 2 -> break
        :: answer == 0
        fi
#endif
     :: else -> break
     fi
  od
}

/* Delivers writes in flight, in any order and at any time. */
proctype Network() {
  bool ok;
end:
  do
  :: atomic {
       in_flight[0] -> in_flight[0] = false;
       compare_and_swap(0, in_flight_version[0], in_flight_state[0], ok);
       ok = false
     }
  :: atomic {
       in_flight[1] -> in_flight[1] = false;
       compare_and_swap(1, in_flight_version[1], in_flight_state[1], ok);
       ok = false
     }
  :: atomic {
       in_flight[2] -> in_flight[2] = false;
       compare_and_swap(2, in_flight_version[2], in_flight_state[2], ok);
       ok = false
     }
  od
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Canceller();
    run Network()
  }
}
