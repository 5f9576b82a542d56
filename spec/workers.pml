/* The workers' part of division.pml for several terms: whether a task runs twice if each term acts for at most LIMIT
 * after the next one began. That no term is confirmed as of a later time is what succession.pml checks. A scheduler is
 * confirmed as of any time up to the beginning of the next term; an earlier confirmation allows less, and a poll may
 * extend no lease. Mutants and variants: NO_LIMIT, LAPSE_NOW, NEW_JOB_BY_TIME, IGNORE_UNANSWERED, ADOPT_WITHOUT_LEASE,
 * GIVE_UP_NOW, ANSWER_BEFORE_STOP, ACKNOWLEDGE_BEFORE_STOP,
 * IGNORE_JOB_TERM, IGNORE_EXTENSIONS.
 *
 * A worker may restart once. It then has no runs, ends, lease or token. Calls on their way to it are lost, so a call that
 * the new incarnation executes although it was sent before the restart is not covered.
 */

#ifndef LIMIT
#if defined(NEW_JOB_BY_TIME) || defined(IGNORE_UNANSWERED) || defined(ADOPT_WITHOUT_LEASE)
#define LIMIT 1 /* the violation is found with fewer states */
#elif defined(GIVE_UP_NOW)
#define LIMIT 3 /* not found with 2, as one tick stands for the margin of the overrun */
#else
#define LIMIT 2 /* LAPSE_NOW and ANSWER_TIME are not found with 1 */
#endif
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifndef TERMS
#define TERMS 3
#endif
#define WORKERS 2
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define UNCONFIRMED LIMIT
#define LONG_AGO (LEASE + LIMIT - 1)
#define TERM_AGE_MAX (LIMIT + LONG_AGO)

#define NONE 0
#define RUNNING 1
#define ENDED 2 /* the end is listed and not acknowledged */

/* When the job was accepted, as a term sees it. */
#define BEFORE_TERM 0
#define IN_OVERRUN 1
#define AFTER_OVERRUN 2

/* The store. */
byte newest_term = 1;
bool accepted = false;
byte job_term = 0;            /* term that the accepting entry knew to have begun */
bool stored_end = false;

/* Workers. */
byte restarts = 0;
byte token[WORKERS];
byte task_run[WORKERS];
byte lease_left[WORKERS];
byte in_flight[WORKERS];      /* token of a start on its way, or 0 */
byte in_flight_left[WORKERS]; /* time until its deadline */

/* Schedulers, by term - 1. */
bool is_active[TERMS];
byte term_age[TERMS];
byte confirmed_age[TERMS];
byte accepted_when[TERMS];
bool knows_end[TERMS];

typedef PerWorker {
  bool has_answered[WORKERS]; /* or was given up */
  bool has_token[WORKERS]; /* answered at least once, with the token of the term */
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

/* An earlier scheduler may extend the lease of a worker that has restarted, until it can't order any more. */
#ifdef IGNORE_EXTENSIONS
#define MAY_EXTEND_EARLIER(s) (false)
#else
#define MAY_EXTEND_EARLIER(s) (s > 0 && term_age[s] < LIMIT)
#endif

#ifdef LAPSE_NOW
#define RUN_LAPSED(s, w) (view[s].order_age[w] >= LEASE)
#else
#define RUN_LAPSED(s, w) \
  (CONFIRMED(s) && !MAY_EXTEND_EARLIER(s) && view[s].order_age[w] >= LEASE + confirmed_age[s])
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

/* An answer shows all runs of earlier terms only once these can't order any more, as the worker may restart until then. */
#ifdef ANSWER_BEFORE_STOP
#define SHOWS_ALL(s) (true)
#else
#define SHOWS_ALL(s) (s == 0 || term_age[s] >= LIMIT)
#endif

/* An earlier scheduler may start a task again on a worker that restarts, unless its end is lost with the restart. */
#ifdef ACKNOWLEDGE_BEFORE_STOP
#define MAY_ACKNOWLEDGE(s) (true)
#else
#define MAY_ACKNOWLEDGE(s) (s == 0 || term_age[s] >= LIMIT)
#endif

/* Schedulers of earlier terms start no job that names a later one. */
#ifdef IGNORE_JOB_TERM
#define HEEDS_JOB(s) (true)
#else
#define HEEDS_JOB(s) (job_term <= s + 1)
#endif
/* Such a job starts at once, on workers that refuse the leases of earlier terms, unless they have restarted since. */
#define IS_OF_TERM(s, w) (job_term == s + 1 && view[s].has_token[w])

#define RECONCILED(s) (view[s].has_answered[0] && view[s].has_answered[1])
#ifdef NEW_JOB_BY_TIME
#define MAY_START_JOB(s, w) \
  (RECONCILED(s) || IS_OF_TERM(s, w) || (accepted_when[s] != BEFORE_TERM && term_age[s] >= LIMIT))
#else
#define MAY_START_JOB(s, w) (RECONCILED(s) || IS_OF_TERM(s, w) || accepted_when[s] == AFTER_OVERRUN)
#endif

inline check_start() {
  assert(task_run[0] == NONE && task_run[1] == NONE);
  assert(!stored_end)
}

inline forget_worker(s, w) {
  view[s].has_answered[w] = false;
  view[s].has_token[w] = false;
  view[s].has_run[w] = false;
  view[s].order_age[w] = LONG_AGO
}

inline end_term(s) {
  is_active[s] = false;
  term_age[s] = TERM_AGE_MAX;
  confirmed_age[s] = UNCONFIRMED;
  accepted_when[s] = BEFORE_TERM;
  knows_end[s] = false;
  forget_worker(s, 0);
  forget_worker(s, 1)
}

inline grow(age, limit) {
  if
  :: age < limit -> age++
  :: else
  fi
}

#define IS_LIVE(t) (is_active[(t) - 1] || newest_term < t)

hidden int key0;
hidden int key1;
hidden byte x;

#define KEY(w) (((((token[w] * 3 + task_run[w]) * 8 + lease_left[w]) * 8 + in_flight[w]) * 8) + in_flight_left[w])
#define VIEW(s, w) \
  ((view[s].has_answered[w] * 4 + view[s].has_token[w] * 2 + view[s].has_run[w]) * 16 + view[s].order_age[w])

inline swap(a, b) {
  x = a; a = b; b = x
}

/* Resets what can't matter any more, so that fewer states differ:
 *  - the token of a worker, down to the lowest that refuses the same terms;
 *  - the lease of an idle worker, and the age of the last order if there is no run;
 *  - the reconciliation of a term that may start the job or that knows its end.
 * The workers are alike, so they are sorted. */
inline normalize() {
  s = 0;
  do
  :: s < TERMS ->
     if
     :: accepted_when[s] == AFTER_OVERRUN || knows_end[s] ->
        view[s].has_answered[0] = true; view[s].has_answered[1] = true
     :: else
     fi;
     if
     :: job_term != s + 1 || RECONCILED(s) || !is_active[s] ->
        view[s].has_token[0] = false; view[s].has_token[1] = false
     :: else
     fi;
     if
     :: knows_end[s] -> view[s].has_run[0] = false; view[s].has_run[1] = false
     :: else
     fi;
     if
     :: s == 0 || (RECONCILED(s) && term_age[s] >= LIMIT) -> term_age[s] = TERM_AGE_MAX; accepted_when[s] = BEFORE_TERM
     :: else
     fi;
     s++
  :: else -> break
  od;
  w = 0;
  do
  :: w < WORKERS ->
     if
     :: task_run[w] == NONE && in_flight[w] == 0 -> lease_left[w] = 0
     :: else
     fi;
     do
     :: token[w] > 1 && !IS_LIVE(token[w] - 1) && in_flight[w] != token[w] - 1 -> token[w]--
     :: token[w] == 1 -> token[w] = 0
     :: else -> break
     od;
     s = 0;
     do
     :: s < TERMS ->
        if
        :: !view[s].has_run[w] && (s == 0 || view[s].has_answered[w]) -> view[s].order_age[w] = LONG_AGO
        :: else
        fi;
        s++
     :: else -> break
     od;
     w++
  :: else -> break
  od;
  key0 = KEY(0); key1 = KEY(1);
  s = 0;
  do
  :: s < TERMS && key0 == key1 -> key0 = VIEW(s, 0); key1 = VIEW(s, 1); s++
  :: else -> break
  od;
  if
  :: key0 > key1 ->
     swap(token[0], token[1]); swap(task_run[0], task_run[1]); swap(lease_left[0], lease_left[1]);
     swap(in_flight[0], in_flight[1]); swap(in_flight_left[0], in_flight_left[1]);
     s = 0;
     do
     :: s < TERMS ->
        swap(view[s].has_answered[0], view[s].has_answered[1]);
        swap(view[s].has_token[0], view[s].has_token[1]);
        swap(view[s].has_run[0], view[s].has_run[1]);
        swap(view[s].order_age[0], view[s].order_age[1]);
        s++
     :: else -> break
     od
  :: else
  fi;
  s = 0; w = 0; key0 = 0; key1 = 0; x = 0
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
     :: is_active[s] ->
        if
        :: MAY_EXTEND_EARLIER(s) && view[s].has_run[0] -> view[s].order_age[0] = 0
        :: else
        fi;
        if
        :: MAY_EXTEND_EARLIER(s) && view[s].has_run[1] -> view[s].order_age[1] = 0
        :: else
        fi;
        grow(term_age[s], TERM_AGE_MAX);
        if
        :: newest_term > s + 1 -> grow(confirmed_age[s], UNCONFIRMED)
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
  bool extends = false;
end:
  do
  :: d_step { true -> pass_tick(); normalize() }

  /* The store. */
  :: !accepted && job_term < newest_term -> job_term++
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
  :: d_step { newest_term < TERMS ->
       s = newest_term;
       newest_term++;
       is_active[s] = true; term_age[s] = 0; confirmed_age[s] = 0;
       knows_end[s] = stored_end;
       normalize() }

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
       :: restarts < RESTARTS && (token[w] > 0 || task_run[w] != NONE) ->
          restarts++;
          token[w] = 0; task_run[w] = NONE; lease_left[w] = 0;
          in_flight[w] = 0; in_flight_left[w] = 0
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
#if TERMS > 3
       :: is_active[3] -> s = 3
#endif
       fi;
       if :: w = 0 :: w = 1 fi;
       if
       /* The term ends, also because the process stops. */
       :: is_active[s] -> end_term(s)
       /* A worker is polled, which extends its lease if the term is confirmed. */
       :: is_active[s] && token[w] > s + 1 -> end_term(s)
       :: is_active[s] && token[w] <= s + 1 ->
          token[w] = s + 1;
          if
          :: true -> extends = MAY_ORDER(s)
          :: true -> extends = false
          fi;
          if
          :: extends -> lease_left[w] = LEASE; view[s].order_age[w] = 0
          :: else
          fi;
          if
          :: true -> /* answered */
             view[s].has_token[w] = true;
             if
             :: SHOWS_ALL(s) -> view[s].has_answered[w] = true
             :: else
             fi;
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
       :: is_active[s] && knows_end[s] && newest_term == s + 1 && task_run[w] == ENDED && token[w] <= s + 1 &&
            MAY_ACKNOWLEDGE(s) ->
          token[w] = s + 1;
          stored_end = true; task_run[w] = NONE
       /* A silent worker is given up. */
       :: is_active[s] && s > 0 && !view[s].has_answered[w] && RECOVERY_LAPSED(s) && POLLS_LAPSED(s, w) ->
          view[s].has_answered[w] = true
       :: is_active[s] && view[s].has_run[w] && RUN_LAPSED(s, w) -> view[s].has_run[w] = false
       /* A start. */
       :: MAY_ORDER(s) && accepted && HEEDS_JOB(s) && !knows_end[s] && in_flight[w] == 0 &&
            !view[s].has_run[0] && !view[s].has_run[1] && (s == 0 || MAY_START_JOB(s, w)) ->
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
    run System()
  }
}
