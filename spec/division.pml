/* Two schedulers in a division, for one job with one task: what an earlier scheduler may do once nothing tells it that
 * no later term has begun, and from when a later one may start the same task.
 *
 * The bounds. A term is confirmed as of a time t if the store renewed its lease in a call sent at t, if an entry that
 * has just heard from the store proves so for t, or if all its successors were asked at t and each answered that it has
 * lost the store and has neither begun a later term nor heard of one. A silent entry confirms nothing. An entry keeps
 * the latest term that it knows, its own included, after it loses the store or its term ends.
 *  - Only the successors of a term may begin the next one at any time. Another entry waits until there has been no
 *    scheduler for LISTED_DELAY, 6 s, unless the last one has recorded that it stopped. The store held the term when it
 *    last confirmed it, so the answers of the successors confirm the term as of at most that time and 6 s; 4 % less are
 *    used, as clocks differ in rate. The listed entries that are no successors relate to those that the scheduler does
 *    not list in the same way, with UNLISTED_DELAY, 60 s. WAIT is either bound, in ticks.
 *  - CONFIRMATION_LIMIT, 1.9 s: a scheduler starts tasks and extends leases for that long after its last confirmation.
 *    A later term begins after t, so 1.9 s after its beginning the earlier scheduler has stopped.
 *  - PREVIOUS_TERM_OVERRUN, 2.0 s: what the later one assumes; 100 ms are for clock rates and the time from the check
 *    to the order.
 *  - Leases of workers end at most 5.61 s after the order that extends them: 4.5 s and 1 s of margin on a clock that
 *    is 2 % slow. A silent worker of the recovery set is given up 2.0 s + 5.61 s = 7.61 s after the term's beginning,
 *    if the term is confirmed as of that time. An unanswered poll of the term itself may have extended the lease too,
 *    and counts as the next point says.
 *  - A scheduler gives up its own run on a silent worker if its last order to that worker was 5.61 s old at its last
 *    confirmation. A run that it adopts counts as ordered when it was listed, because the earlier scheduler may have
 *    extended the lease until then.
 *  - A job that was accepted earlier than 2.0 s after the term began, by revision of the store, starts only when each
 *    worker of the recovery set has answered or been given up. A job that was accepted after that starts at once.
 *
 * Time passes in ticks and is kept as ages with an upper limit, so the search covers runs of any length. LIMIT is both
 * bounds of the overrun, in ticks. Each call may be lost or remain without an answer at any time, which covers each
 * division of the entries and workers, also one that changes. A start may be executed until its deadline; the deadline
 * and the lease are those of the order. What the job store tells an earlier scheduler, it may learn at any time.
 *
 * Checked at each start: no other run of the task exists, and no run of it has ended with an end that is, or still can
 * be, acknowledged (TWICE).
 *
 * Mutants: ONE_ENTRY_CONFIRMS (an entry without the store confirms a term although others are silent), NO_LIMIT (a
 * scheduler goes on without a confirmation), LAPSE_NOW (a run on a silent worker is given up by the present time),
 * NEW_JOB_BY_TIME (a job that was accepted in the term, which the previous scheduler may know, starts after the overrun
 * although a worker is silent), FORGET_TERM (an entry forgets the latest term when it loses the store), ANSWER_TIME (a
 * term is confirmed as of the last answer, not the question), IGNORE_UNANSWERED (a worker of the recovery set is given
 * up although an unanswered poll of this term may have extended its lease), ADOPT_WITHOUT_LEASE (the lease of an
 * adopted run counts from the scheduler's own last order), OUTSIDER_AT_ONCE (an entry that is no successor begins a term
 * without waiting), WORD_WITHOUT_END (the answers of the successors confirm a term for as long as they come).
 *
 * Variants for trials, not run by spec/check: GIVE_UP_NOW (a silent worker of the recovery set is given up by the
 * present time; only a third term could break it), RESTART (an entry loses what it knows and answers that it knows of
 * no term), RESTART_SILENT (the same, but it confirms nothing until it has heard from the store). RESTART violates the
 * invariant.
 */

#ifndef LIMIT
#if defined(NEW_JOB_BY_TIME) || defined(IGNORE_UNANSWERED) || defined(ADOPT_WITHOUT_LEASE)
#define LIMIT 1 /* the violation is found with fewer states */
#else
#define LIMIT 2 /* LAPSE_NOW and ANSWER_TIME are not found with 1 */
#endif
#endif
#ifndef LEASE
#if defined(LAPSE_NOW) || defined(ANSWER_TIME)
#define LEASE 1 /* as above */
#else
#define LEASE 2
#endif
#endif
#ifndef WAIT
#define WAIT 1
#endif
#ifndef TERMS
#define TERMS 2
#endif
#define WORKERS 2
#define ENTRIES 3 /* entry k - 1 hosts the scheduler of term k */

#define UNCONFIRMED LIMIT
#define LONG_AGO (LEASE + LIMIT - 1)
#define TERM_AGE_MAX (LIMIT + LONG_AGO)
#define STORE_AGE_MAX (WAIT + LIMIT)

#define NONE 0
#define RUNNING 1
#define ENDED 2 /* the end is listed and not acknowledged */

/* When the job was accepted, as a term sees it. */
#define BEFORE_TERM 0
#define IN_OVERRUN 1
#define AFTER_OVERRUN 2

#define UNKNOWN 15 /* an entry that has not heard from the store since it started */

/* The store. */
byte newest_term = 1;
bool accepted = false;
bool stored_end = false;

/* Workers. */
byte token[WORKERS];
byte task_run[WORKERS];
byte lease_left[WORKERS];
byte in_flight[WORKERS];      /* token of a start on its way, or 0 */
byte in_flight_left[WORKERS]; /* time until its deadline */

/* Entries. */
byte known_term[ENTRIES];

/* Schedulers, by term - 1. */
bool is_active[TERMS];
byte term_age[TERMS];
byte confirmed_age[TERMS];
byte store_age[TERMS]; /* time since the store last confirmed the term, also once it is over */
byte outsiders[TERMS]; /* bit set of entries that are no successors of the term */
bool is_asking[TERMS];
byte asked_age[TERMS];
byte answers[TERMS]; /* bit set of entries */
byte accepted_when[TERMS];
bool knows_end[TERMS];

typedef PerWorker {
  bool has_answered[WORKERS]; /* or was given up */
  bool has_run[WORKERS];
  byte order_age[WORKERS]
}
PerWorker view[TERMS];

#define CONFIRMED(s) (confirmed_age[s] < LIMIT)
#ifdef NO_LIMIT
#define MAY_ORDER(s) (is_active[s])
#else
#define MAY_ORDER(s) (is_active[s] && CONFIRMED(s))
#endif

#ifdef LAPSE_NOW
#define RUN_LAPSED(s, w) (view[s].order_age[w] >= LEASE)
#else
#define RUN_LAPSED(s, w) (CONFIRMED(s) && view[s].order_age[w] >= LEASE + confirmed_age[s])
#endif

#ifdef GIVE_UP_NOW
#define RECOVERY_LAPSED(s) (term_age[s] >= LIMIT + LEASE)
#else
#define RECOVERY_LAPSED(s) (CONFIRMED(s) && term_age[s] >= LIMIT + LEASE + confirmed_age[s])
#endif

#ifdef IGNORE_UNANSWERED
#define POLLS_LAPSED(s, w) (true)
#else
#define POLLS_LAPSED(s, w) RUN_LAPSED(s, w)
#endif

#define RECONCILED(s) (view[s].has_answered[0] && view[s].has_answered[1])
#ifdef NEW_JOB_BY_TIME
#define MAY_START_JOB(s) \
  (RECONCILED(s) || (accepted_when[s] != BEFORE_TERM && term_age[s] >= LIMIT))
#else
#define MAY_START_JOB(s) (RECONCILED(s) || accepted_when[s] == AFTER_OVERRUN)
#endif

#define OTHERS(s) (7 - (1 << (s)))
#ifdef ONE_ENTRY_CONFIRMS
#define ENOUGH_ANSWERS(s) (answers[s] != 0)
#else
#define ENOUGH_ANSWERS(s) ((answers[s] | outsiders[s]) == OTHERS(s))
#endif

#ifdef WORD_WITHOUT_END
#define PAST_WAIT(s) 0
#else
#define PAST_WAIT(s) (store_age[s] > WAIT -> store_age[s] - WAIT : 0)
#endif

/* Whether entry s may begin term s + 1 after term s, with index s - 1. */
#ifdef OUTSIDER_AT_ONCE
#define MAY_BEGIN(s) (true)
#else
#define MAY_BEGIN(s) \
  (!(outsiders[(s) - 1] & (1 << (s))) || store_age[(s) - 1] >= WAIT || !is_active[(s) - 1])
#endif

inline check_start() {
  assert(task_run[0] == NONE && task_run[1] == NONE);
  assert(!stored_end)
}

inline forget_worker(s, w) {
  view[s].has_answered[w] = false;
  view[s].has_run[w] = false;
  view[s].order_age[w] = LONG_AGO
}

inline end_term(s) {
  is_active[s] = false;
  term_age[s] = TERM_AGE_MAX;
  confirmed_age[s] = UNCONFIRMED;
  is_asking[s] = false; asked_age[s] = 0; answers[s] = 0;
  knows_end[s] = false;
  forget_worker(s, 0);
  forget_worker(s, 1)
}

inline confirm(s, age) {
  if
  :: age < confirmed_age[s] && PAST_WAIT(s) < confirmed_age[s] ->
     confirmed_age[s] = (age > PAST_WAIT(s) -> age : PAST_WAIT(s))
  :: else
  fi
}

inline grow(age, limit) {
  if
  :: age < limit -> age++
  :: else
  fi
}

/* Resets what can't matter any more, so that fewer states differ. Without outsiders, the answers of the successors are
 * the answers of all. An idle worker's lease ends before that of any start
 * sent from now on. The age of the last order matters for a run, or for a worker of the recovery set. */
inline normalize() {
  w = 0;
  do
  :: w < WORKERS ->
     if
     :: task_run[w] == NONE && in_flight[w] == 0 -> lease_left[w] = 0
     :: else
     fi;
     s = 0;
     do
     :: s < TERMS ->
        if
        :: outsiders[s] == 0 || !is_active[s] -> store_age[s] = 0
        :: else
        fi;
        if
        :: !view[s].has_run[w] && (s == 0 || view[s].has_answered[w]) -> view[s].order_age[w] = LONG_AGO
        :: else
        fi;
        if
        :: s == 0 || (RECONCILED(s) && accepted) -> term_age[s] = TERM_AGE_MAX; accepted_when[s] = BEFORE_TERM
        :: else
        fi;
        s++
     :: else -> break
     od;
     w++
  :: else -> break
  od;
  s = 0; w = 0
}

inline pass_tick() {
  w = 0;
  do
  :: w < WORKERS ->
     if
     :: lease_left[w] > 0 -> lease_left[w]--
     :: else
     fi;
     if
     :: lease_left[w] == 0 -> task_run[w] = NONE /* an end that was listed before the lease lapsed doesn't count */
     :: else
     fi;
     if
     :: in_flight_left[w] > 0 -> in_flight_left[w]--
     :: else
     fi;
     if
     :: in_flight_left[w] == 0 -> in_flight[w] = 0
     :: else
     fi;
     s = 0;
     do
     :: s < TERMS ->
        grow(view[s].order_age[w], LONG_AGO);
        s++
     :: else -> break
     od;
     w++
  :: else -> break
  od;
  s = 0;
  do
  :: s < TERMS ->
     if
     :: s < newest_term -> grow(store_age[s], STORE_AGE_MAX)
     :: else
     fi;
     if
     :: is_active[s] ->
        grow(term_age[s], TERM_AGE_MAX);
        grow(confirmed_age[s], UNCONFIRMED);
        if
        :: is_asking[s] -> asked_age[s]++
        :: else
        fi;
        if
        :: asked_age[s] >= LIMIT -> is_asking[s] = false; asked_age[s] = 0; answers[s] = 0
        :: else
        fi
     :: else
     fi;
     s++
  :: else -> break
  od;
  s = 0; w = 0
}

proctype System() {
  byte s = 0;
  byte w = 0;
  byte e = 0;
  bool extends = false;
end:
  do
  :: d_step { true -> pass_tick(); normalize() }

  /* The store. */
  :: d_step { !accepted ->
       accepted = true;
       s = 0;
       do
       :: s < TERMS ->
          if
          :: !is_active[s] -> accepted_when[s] = BEFORE_TERM
          :: is_active[s] && term_age[s] < LIMIT -> accepted_when[s] = IN_OVERRUN
          :: else -> accepted_when[s] = AFTER_OVERRUN
          fi;
          s++
       :: else -> break
       od;
       normalize() }
  :: d_step { newest_term < TERMS && MAY_BEGIN(newest_term) ->
       s = newest_term;
       newest_term++;
       is_active[s] = true; term_age[s] = 0; confirmed_age[s] = 0;
       known_term[s] = newest_term;
       knows_end[s] = stored_end;
       s = 0 }

  /* Entries hear from the store, or lose it. */
  :: atomic {
       if :: e = 0 :: e = 1 :: e = 2 fi;
       if
       :: e == 0 && TERMS == 2 /* nobody asks the entry of the first scheduler */
       :: known_term[e] != newest_term -> known_term[e] = newest_term
#if defined(FORGET_TERM) || defined(RESTART)
       :: !(e < TERMS && is_active[e]) && known_term[e] != 0 -> known_term[e] = 0
#endif
#ifdef RESTART_SILENT
       :: !(e < TERMS && is_active[e]) && known_term[e] != UNKNOWN -> known_term[e] = UNKNOWN
#endif
       :: else
       fi;
       e = 0 }

  /* Workers. */
  :: atomic {
       if :: w = 0 :: w = 1 fi;
       if
       :: in_flight[w] != 0 && in_flight[w] >= token[w] ->
          check_start();
          token[w] = in_flight[w];
          task_run[w] = RUNNING;
          if
          :: in_flight_left[w] > lease_left[w] -> lease_left[w] = in_flight_left[w]
          :: else
          fi;
          in_flight[w] = 0; in_flight_left[w] = 0
       :: in_flight[w] != 0 -> in_flight[w] = 0; in_flight_left[w] = 0 /* lost, or refused */
       :: task_run[w] == RUNNING -> task_run[w] = ENDED
       :: else
       fi;
       d_step { normalize() } }

  /* Schedulers. */
  :: atomic {
       (is_active[0] || is_active[1] || is_active[TERMS - 1]) ->
       if
       :: is_active[0] -> s = 0
       :: is_active[1] -> s = 1
#if TERMS > 2
       :: is_active[2] -> s = 2
#endif
       fi;
       if :: w = 0 :: w = 1 fi;
       if
       /* The term ends, also because the process stops. */
       :: is_active[s] -> end_term(s)
       /* The store, or an entry that has just heard from it, confirms the term. */
       :: is_active[s] && newest_term == s + 1 -> confirmed_age[s] = 0; store_age[s] = 0
       /* All other entries are asked. */
       :: s + 1 < TERMS && !is_asking[s] -> is_asking[s] = true; asked_age[s] = 0; answers[s] = 0
       :: is_asking[s] ->
          if :: e = 0 :: e = 1 :: e = 2 fi;
          if
          :: e != s && !((answers[s] | outsiders[s]) & (1 << e)) && known_term[e] <= s + 1 ->
             answers[s] = answers[s] | (1 << e);
             if
             :: ENOUGH_ANSWERS(s) ->
#ifdef ANSWER_TIME
                confirmed_age[s] = 0;
#else
                confirm(s, asked_age[s]);
#endif
                is_asking[s] = false; asked_age[s] = 0; answers[s] = 0
             :: else
             fi
          :: e != s && known_term[e] != UNKNOWN && known_term[e] > s + 1 -> end_term(s)
          :: else
          fi;
          e = 0
       /* A worker is polled, which extends its lease if the term is confirmed. */
       :: is_active[s] && token[w] > s + 1 -> end_term(s)
       :: is_active[s] && token[w] <= s + 1 ->
          token[w] = s + 1;
          extends = MAY_ORDER(s);
          if
          :: extends -> lease_left[w] = LEASE; view[s].order_age[w] = 0
          :: else
          fi;
          if
          :: true -> /* answered */
             view[s].has_answered[w] = true;
             if
             :: task_run[w] == ENDED -> knows_end[s] = true
             :: else
             fi;
             if
             :: in_flight[w] == s + 1
             :: in_flight[w] != s + 1 && task_run[w] == RUNNING ->
#ifndef ADOPT_WITHOUT_LEASE
                if
                :: !view[s].has_run[w] -> view[s].order_age[w] = 0
                :: else
                fi;
#endif
                view[s].has_run[w] = true
             :: else -> view[s].has_run[w] = false
             fi
          :: true /* executed, and the answer is lost */
          fi;
          extends = false
       /* An end is stored and then acknowledged. */
       :: is_active[s] && knows_end[s] && newest_term == s + 1 && task_run[w] == ENDED && token[w] <= s + 1 ->
          token[w] = s + 1;
          stored_end = true; task_run[w] = NONE
       /* A silent worker is given up. */
       :: is_active[s] && s > 0 && !view[s].has_answered[w] && RECOVERY_LAPSED(s) && POLLS_LAPSED(s, w) ->
          view[s].has_answered[w] = true
       :: is_active[s] && view[s].has_run[w] && RUN_LAPSED(s, w) -> view[s].has_run[w] = false
       /* A start. */
       :: MAY_ORDER(s) && accepted && !knows_end[s] && in_flight[w] == 0 &&
            !view[s].has_run[0] && !view[s].has_run[1] && (s == 0 || MAY_START_JOB(s)) ->
          in_flight[w] = s + 1; in_flight_left[w] = LEASE;
          view[s].has_run[w] = true; view[s].order_age[w] = 0
       :: else
       fi;
       d_step { normalize() } }
  od
}

init {
  atomic {
    is_active[0] = true;
    /* Each entry that begins a term may be no successor of any term before it. The others are successors. */
#if defined(OUTSIDER_AT_ONCE) || defined(WORD_WITHOUT_END)
    outsiders[0] = 2; /* the violation is found with fewer states */
#else
    if :: outsiders[0] = 0 :: outsiders[0] = 2 fi;
#endif
#if TERMS > 2
    if :: true :: outsiders[0] = outsiders[0] | 4 fi;
    if :: outsiders[1] = 0 :: outsiders[1] = 4 fi;
#endif
    byte s = 0;
    do
    :: s < TERMS -> view[s].order_age[0] = LONG_AGO; view[s].order_age[1] = LONG_AGO; s++
    :: else -> break
    od;
    s = 0;
    do
    :: s < TERMS -> term_age[s] = TERM_AGE_MAX; confirmed_age[s] = UNCONFIRMED; s++
    :: else -> break
    od;
    confirmed_age[0] = 0;
    known_term[0] = 1; known_term[1] = 1; known_term[2] = 1;
    run System()
  }
}
