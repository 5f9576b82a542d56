/* Claims of one non-idempotent job in a document written by compare-and-swap.
 *
 * Two entries may own the shard one after the other, or both believe that they do: an owner can be paused at any
 * point, which is covered by the interleavings, and can stop for good. A third entry cancels the job for its caller.
 * Reads may be stale. Answers to writes may be lost after or before the effect, and a write without an answer may
 * take effect later.
 *
 * Checked: the job is started at most once, and "not run" is never said of a job that was or will be started.
 *
 * Mutants: NO_CAS (writes ignore the version), SUCCESSOR_STARTS (a successor sends a start for a claim that it
 * finds), ASSUME_WRITTEN (a lost answer counts as success), NO_CANCEL_WRITE ("not run" is said after a read).
 */

#ifndef OPERATIONS
#define OPERATIONS 3 /* reads of the document by each entry */
#endif
#ifndef LOSSES
#define LOSSES 2 /* writes whose answer is lost */
#endif

#define ACCEPTED 0
#define CLAIMED 1
#define DONE 2
#define UNKNOWN 3
#define NOT_RUN 4

#define NOBODY 9
#define CANCELLER 2

/* The document and the state before its last write, which a stale replica may still show. */
byte version = 1;
byte state = ACCEPTED;
byte writer = NOBODY; /* claimant, or who set the state */
byte old_version = 1;
byte old_state = ACCEPTED;
byte old_writer = NOBODY;

/* Writes on their way, by entry. */
byte late_expect[3];
byte late_state[3];
bool late[3];

byte losses = 0;
byte starts = 0;
bool finished = false; /* the worker can report the result */
bool said_not_run = false;

inline put(who, expect, new_state, success) {
#ifdef NO_CAS
  success = true;
#else
  success = (version == expect);
#endif
  if
  :: success ->
     old_version = version; old_state = state; old_writer = writer;
     version++; state = new_state; writer = who
  :: else
  fi
}

inline start() {
  atomic {
    starts++;
    assert(starts <= 1);
    assert(!said_not_run)
  }
}

inline say_not_run() {
  atomic {
    said_not_run = true;
    assert(starts == 0)
  }
}

inline read() {
  atomic {
    if
    :: r_version = version; r_state = state; r_writer = writer
    :: r_version = old_version; r_state = old_state; r_writer = old_writer
    fi
  }
}

/* One write with its answer: 1 written, 0 conflict, 2 lost. */
inline write(new_state) {
  atomic {
    if
    :: put(me, expect, new_state, ok);
       if
       :: ok -> answer = 1
       :: else -> answer = 0
       fi
    :: losses < LOSSES -> losses++; put(me, expect, new_state, ok); answer = 2
    :: losses < LOSSES && !late[me] ->
       losses++; late[me] = true; late_expect[me] = expect; late_state[me] = new_state; answer = 2
    fi;
    ok = false
  }
}

/* A write until its outcome is known, as in module `commit`: 1 written, 0 not written, 2 unknown. */
inline commit(new_state) {
  expect = r_version;
  write(new_state);
#ifdef ASSUME_WRITTEN
  if
  :: answer == 2 -> answer = 1
  :: else
  fi
#else
  do
  :: answer != 2 && !in_doubt -> break
  :: answer == 1 -> break
  :: else ->
     in_doubt = true;
     if
     :: left == 0 -> answer = 2; break
     :: else
     fi;
     left--;
     read();
     if
     :: r_version > expect && r_state == new_state && r_writer == me -> answer = 1; break
     :: r_version > expect && !(r_state == new_state && r_writer == me) -> answer = 0; break
     :: r_version <= expect -> write(new_state)
     fi
  od;
  in_doubt = false
#endif
}

proctype Owner(byte me) {
  byte left = OPERATIONS;
  byte r_version, r_state, r_writer, expect, answer;
  bool ok, in_doubt;
  do
  :: left == 0 -> break
  :: left > 0 ->
     left--;
     read();
     if
     :: r_state == ACCEPTED ->
        commit(CLAIMED);
        if
        :: answer == 1 -> start(); finished = true; break
        :: answer == 2 -> break /* the process gives up; the claim stays for a successor */
        :: answer == 0
        fi
     :: r_state == CLAIMED && r_writer != me ->
#ifdef SUCCESSOR_STARTS
        start();
#endif
        if
        :: finished -> commit(DONE)
        :: commit(UNKNOWN)
        fi
     :: else -> break
     fi
  :: break /* the process stops */
  od
}

proctype Canceller() {
  byte me = CANCELLER;
  byte left = OPERATIONS;
  byte r_version, r_state, r_writer, expect, answer;
  bool ok, in_doubt;
  do
  :: left == 0 -> break
  :: left > 0 ->
     left--;
     read();
     if
     :: r_state == NOT_RUN -> say_not_run(); break
     :: r_state == ACCEPTED ->
#ifdef NO_CANCEL_WRITE
        say_not_run(); break
#else
        commit(NOT_RUN);
        if
        :: answer == 1 -> say_not_run(); break
        :: answer == 2 -> break
        :: answer == 0
        fi
#endif
     :: else -> break
     fi
  od
}

/* Delivers late writes, in any order and at any time. */
proctype Network() {
  bool ok;
end:
  do
  :: atomic { late[0] -> late[0] = false; put(0, late_expect[0], late_state[0], ok); ok = false }
  :: atomic { late[1] -> late[1] = false; put(1, late_expect[1], late_state[1], ok); ok = false }
  :: atomic { late[2] -> late[2] = false; put(2, late_expect[2], late_state[2], ok); ok = false }
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
