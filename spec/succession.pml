/* Successions: whether a term is ever confirmed as of a time at which a later one had begun.
 *
 * Each term stores which entries are its successors, which others it lists, and leaves out the rest. Once there is no
 * scheduler, a successor may begin the next term at once, a listed entry after WAIT ticks, an unlisted one after
 * WAIT_UNLISTED. An entry waits not if the last scheduler recorded its release or was the same entry, or once it has fenced
 * the last term: all workers that the stored recovery set of the ended term names have answered it with a token that is
 * higher than the term's. A scheduler may replace the succession while the store holds its term; until the write is
 * answered, the old one and the new one count.
 * The model doesn't tell by which entry a worker was fenced, as it refuses lower tokens whoever sent the higher one.
 *
 * A scheduler acts only on workers that its stored recovery set names in their present incarnation, and that have seen no
 * later token. It can name a worker that has restarted only while the store holds its term.
 *
 * The answers of the successors that they know of no later term confirm a term as of the question, and at most as of the
 * last time at which the store is known to have held the term and WAIT; those of all listed entries, WAIT_UNLISTED.
 *
 * Any entry may begin any term, the key of a term may end at any time, and each call may be lost. Each entry may restart
 * and then answers "unknown" until it has heard from the store. The store may apply the beginning of a term although the
 * entry never learns of it; that entry answers "unknown" too. A confirmation that is older than LIMIT has no effect.
 *
 * Checked at each confirmation by answers: no later term had begun at the time that is confirmed, or the scheduler can act
 * on no worker any more.
 *
 * By default each entry is a successor or listed. With UNLISTED and FIXED_SUCCESSION entries may be neither.
 *
 * Mutants: UNLISTED_AT_ONCE (an unlisted entry does not wait, with UNLISTED), FENCE_SOME (an entry begins a term once one of
 * the workers has answered), FENCE_BEFORE_END (an entry fences a term that has not ended), UNNAMED_RESTART (a scheduler acts
 * on workers that have restarted although its stored recovery set names their earlier incarnations), OUTSIDER_AT_ONCE,
 * WORD_WITHOUT_END, ASK_NEW_ONLY, ASK_OLD_ONLY, ANSWER_TIME, FORGET_TERM (as in division.pml), WAIT_BEFORE_END (an entry counts its wait from the moment at which it has read the number of terms, also if the last
 * one has not ended), LOST_BEGINNING (an entry whose beginning of a term got no answer confirms earlier terms),
 * RESTART_TOLD (an entry that has restarted confirms a term of which its scheduler has told it).
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LIMIT
#define LIMIT 1
#endif
#ifndef WAIT
#define WAIT 1
#endif
#ifndef WAIT_UNLISTED
#define WAIT_UNLISTED (WAIT + 1)
#endif

#ifndef WORKERS
#define WORKERS 1
#endif

#define ALL ((1 << ENTRIES) - 1)
#define ALL_WORKERS ((1 << WORKERS) - 1)
#ifdef UNLISTED
#define LONGEST_WAIT WAIT_UNLISTED
#else
#define LONGEST_WAIT WAIT
#endif
#define STORE_AGE_MAX (LONGEST_WAIT + LIMIT)
#define NOT_WAITING 255
#define NONE 255
#define UNKNOWN 255

byte newest_term = 1;
bool has_key = true;
bool is_released = false;

byte known_term[ENTRIES];
byte waited[ENTRIES];
byte fenced = 0;              /* workers that have answered the token of an entry since the last term ended */

/* By term - 1. Sets of entries are bit sets. */
byte host[TERMS];
bool is_active[TERMS];
byte outsiders[TERMS];        /* stored: no successors */
byte unlisted[TERMS];         /* stored: neither successors nor listed */
byte written_outsiders[TERMS]; /* of a write without an answer, or NONE */
byte written_unlisted[TERMS];
#ifdef ASK_OLD_ONLY
byte answered_outsiders[TERMS];
byte answered_unlisted[TERMS];
#endif
byte reach[TERMS];            /* workers on which the scheduler can act */
byte store_age[TERMS];        /* time since the store is known to have held the term */
byte next_age[TERMS];         /* time since the next term began, up to LIMIT */
bool is_asking[TERMS];
byte asked_age[TERMS];
byte answers[TERMS];
byte asked_outsiders[TERMS];  /* no successors for sure, when the others were asked */
byte asked_unlisted[TERMS];

#define BIT(e) (1 << (e))
#define IS_SCHEDULING(e) ((is_active[0] && host[0] == e) || (is_active[1] && host[1] == e) || \
  (is_active[TERMS - 1] && host[TERMS - 1] == e) || (is_active[TERMS - 2] && host[TERMS - 2] == e))
#define LAST (newest_term - 1)

#ifdef FENCE_SOME
#define IS_FENCED (fenced != 0)
#else
#define IS_FENCED (fenced == ALL_WORKERS)
#endif

#ifdef OUTSIDER_AT_ONCE
#define MAY_BEGIN(e) true
#elif defined(UNLISTED_AT_ONCE)
#define MAY_BEGIN(e) (!(outsiders[LAST] & BIT(e)) || is_released || host[LAST] == e || IS_FENCED || \
  (unlisted[LAST] & BIT(e)) || (waited[e] != NOT_WAITING && waited[e] >= WAIT))
#else
#define MAY_BEGIN(e) (!(outsiders[LAST] & BIT(e)) || is_released || host[LAST] == e || IS_FENCED || \
  (waited[e] != NOT_WAITING && waited[e] >= ((unlisted[LAST] & BIT(e)) -> WAIT_UNLISTED : WAIT)))
#endif

#ifdef ASK_NEW_ONLY
#define SURE_OUTSIDERS(s) (written_outsiders[s] != NONE -> written_outsiders[s] : outsiders[s])
#define SURE_UNLISTED(s) (written_outsiders[s] != NONE -> written_unlisted[s] : unlisted[s])
#elif defined(ASK_OLD_ONLY)
#define SURE_OUTSIDERS(s) (answered_outsiders[s])
#define SURE_UNLISTED(s) (answered_unlisted[s])
#else
#define SURE_OUTSIDERS(s) (written_outsiders[s] != NONE -> outsiders[s] & written_outsiders[s] : outsiders[s])
#define SURE_UNLISTED(s) (written_outsiders[s] != NONE -> unlisted[s] & written_unlisted[s] : unlisted[s])
#endif

inline end_questions(s) {
  is_asking[s] = false; asked_age[s] = 0; answers[s] = 0; asked_outsiders[s] = 0; asked_unlisted[s] = 0
}

inline end_term(s) {
  is_active[s] = false;
  end_questions(s);
  store_age[s] = 0; next_age[s] = 0;
  written_outsiders[s] = NONE; written_unlisted[s] = NONE;
  if
  :: newest_term != s + 1 -> outsiders[s] = 0; unlisted[s] = 0; host[s] = 0
  :: else
  fi
}

/* Chooses a place in the succession for each entry but the host. */
inline choose_succession(h, o, u) {
  o = 0; u = 0; i = 0;
  do
  :: i < ENTRIES ->
     if
     :: true
     :: i != h -> o = o | BIT(i)
#ifdef UNLISTED
     :: i != h -> o = o | BIT(i); u = u | BIT(i)
#endif
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* Confirms a term as of the question, and at most as of the last time at which the store is known to have held it and
 * `bound`; 0 if nobody else may begin a term. */
inline confirm(s, bound) {
#ifndef WORD_WITHOUT_END
  if
  :: bound != 0 && store_age[s] > bound -> age = store_age[s] - bound
  :: else
  fi;
#endif
#ifndef ANSWER_TIME
  if
  :: asked_age[s] > age -> age = asked_age[s]
  :: else
  fi;
#endif
  assert(newest_term == s + 1 || age >= next_age[s] || reach[s] == 0);
  age = 0;
  end_questions(s)
}

/* Whether a scheduler may still ask what an entry knows of a term. */
#define IS_ASKED(t) ((t) >= 1 && (t) < TERMS && ((t) > newest_term || is_active[(t) - 1]))

/* Resets what can't matter any more, so that fewer states differ: what entries know beyond what a scheduler may ask, the
 * waits of entries that need not wait, the reach of schedulers that have ended, and the write of a succession of
 * a term that is over. */
inline normalize() {
  e = 0;
  do
  :: e < ENTRIES ->
     do
     :: known_term[e] != UNKNOWN && known_term[e] > 0 && !IS_ASKED(known_term[e] - 1) -> known_term[e]--
     :: else -> break
     od;
     if
     :: !(outsiders[LAST] & BIT(e)) || is_released || host[LAST] == e || newest_term == TERMS -> waited[e] = NOT_WAITING
     :: else
     fi;
     e++
  :: else -> break
  od;
  if
  :: newest_term == TERMS || outsiders[LAST] == 0 -> fenced = 0
  :: else
  fi;
  e = 0; s = 0;
  do
  :: s < TERMS ->
     if
#ifndef UNNAMED_RESTART
     :: is_active[s] && reach[s] == 0 && (newest_term > s + 1 || !has_key) -> end_term(s)
#endif
     :: !is_active[s] -> reach[s] = 0
     /* It can name each worker that has restarted. */
     :: is_active[s] && newest_term == s + 1 && has_key -> reach[s] = ALL_WORKERS
     :: else
     fi;
     if
     :: is_active[s] && newest_term > s + 1 ->
        if
        :: written_outsiders[s] != NONE ->
           outsiders[s] = SURE_OUTSIDERS(s); unlisted[s] = SURE_UNLISTED(s);
           written_outsiders[s] = NONE; written_unlisted[s] = NONE
        :: else
        fi;
        if
        :: outsiders[s] == 0 && asked_outsiders[s] == 0 -> store_age[s] = 0
        :: else
        fi
     :: else
     fi;
     s++
  :: else -> break
  od;
  s = 0
}

inline pass_tick() {
  e = 0;
  do
  :: e < ENTRIES ->
     if
     :: waited[e] < LONGEST_WAIT -> waited[e]++
     :: else
     fi;
     e++
  :: else -> break
  od;
  e = 0; s = 0;
  do
  :: s < TERMS ->
     if
     :: is_active[s] ->
        if
        :: store_age[s] < STORE_AGE_MAX -> store_age[s]++
        :: else
        fi;
        if
        :: newest_term > s + 1 && next_age[s] < LIMIT -> next_age[s]++
        :: else
        fi;
        if
        :: is_asking[s] -> asked_age[s]++
        :: else
        fi;
        if
        :: asked_age[s] >= LIMIT -> end_questions(s)
        :: else
        fi
     :: else
     fi;
     s++
  :: else -> break
  od;
  s = 0
}

proctype System() {
  byte s = 0;
  byte e = 0;
  byte i = 0;
  byte o = 0;
  byte u = 0;
  byte age = 0;
end:
  do
  :: d_step { true -> pass_tick(); normalize() }

  /* The key of a term ends, also by relief or because the entry was replaced. */
  :: d_step { has_key -> has_key = false; normalize() }

  /* An entry begins a term. */
  :: atomic {
       !has_key && newest_term < TERMS ->
       do
       :: e < ENTRIES - 1 -> e++
       :: break
       od;
       if
       :: !IS_SCHEDULING(e) && MAY_BEGIN(e) ->
          if
          :: !is_active[LAST] -> outsiders[LAST] = 0; unlisted[LAST] = 0; host[LAST] = 0
          :: else
          fi;
          if
          :: newest_term + 1 < TERMS -> choose_succession(e, o, u)
          :: else /* nobody asks for the last term */
          fi;
#ifdef ASK_OLD_ONLY
          answered_outsiders[newest_term] = o; answered_unlisted[newest_term] = u;
#endif
          host[newest_term] = e; outsiders[newest_term] = o; unlisted[newest_term] = u;
          o = 0; u = 0;
          newest_term++;
          has_key = true; is_released = false;
          i = 0;
          do
          :: i < ENTRIES -> waited[i] = NOT_WAITING; i++
          :: else -> break
          od;
          i = 0; fenced = 0;
          if
          :: is_active[LAST] = (newest_term < TERMS); known_term[e] = newest_term
          :: true ->
#ifdef LOST_BEGINNING
             skip
#else
             known_term[e] = UNKNOWN
#endif
          fi
       :: else
       fi;
       if
       :: newest_term == TERMS -> has_key = false; host[LAST] = 0
       :: else
       fi;
       d_step { normalize() } }

  /* An entry hears from the store, restarts, or learns that there is no scheduler. */
  :: atomic {
       do
       :: e < ENTRIES - 1 -> e++
       :: break
       od;
       if
       :: known_term[e] != newest_term -> known_term[e] = newest_term
       :: !IS_SCHEDULING(e) -> known_term[e] = UNKNOWN; waited[e] = NOT_WAITING
#ifdef FORGET_TERM
       :: !IS_SCHEDULING(e) -> known_term[e] = 0
#endif
#ifdef WAIT_BEFORE_END
       :: waited[e] == NOT_WAITING -> waited[e] = 0
#else
       :: !has_key && newest_term < TERMS && waited[e] == NOT_WAITING -> waited[e] = 0
#endif
#ifdef RESTART_TOLD
       :: known_term[e] == UNKNOWN && is_active[0] -> known_term[e] = 1
       :: known_term[e] == UNKNOWN && is_active[1] -> known_term[e] = 2
#endif
       :: else
       fi;
       d_step { normalize() } }

  /* A worker answers the token of an entry that waits. Workers do not differ, so they answer in turn. */
  :: atomic {
#ifdef FENCE_BEFORE_END
       newest_term < TERMS && fenced != ALL_WORKERS ->
#else
       !has_key && newest_term < TERMS && fenced != ALL_WORKERS ->
#endif
       do
       :: fenced & BIT(i) -> i++
       :: else -> break
       od;
       fenced = fenced | BIT(i);
       do
       :: s < TERMS -> reach[s] = reach[s] & (ALL_WORKERS - BIT(i)); s++
       :: else -> break
       od;
       s = 0; i = 0;
       d_step { normalize() } }

#ifdef UNNAMED_RESTART
  /* A worker restarts, and has seen no token. With the rule, schedulers can act on fewer workers then, which violates
   * nothing, so the model leaves restarts out. */
  :: atomic {
       do
       :: i < WORKERS - 1 -> i++
       :: break
       od;
       do
       :: s < TERMS -> reach[s] = reach[s] | BIT(i); s++
       :: else -> break
       od;
       s = 0; i = 0;
       d_step { normalize() } }
#endif

  /* Schedulers. */
  :: atomic {
       do
       :: s < TERMS - 1 -> s++
       :: break
       od;
       if
       :: is_active[s] -> end_term(s)
       :: is_active[s] && newest_term == s + 1 && has_key -> end_term(s); is_released = true
       :: is_active[s] && newest_term == s + 1 && has_key -> store_age[s] = 0
       /* The succession is replaced; the write may be applied late, or never. */
#ifndef FIXED_SUCCESSION
       :: is_active[s] && newest_term == s + 1 && has_key && written_outsiders[s] == NONE && s + 1 < TERMS ->
          choose_succession(host[s], o, u);
          written_outsiders[s] = o; written_unlisted[s] = u;
          o = 0; u = 0
#endif
       :: is_active[s] && newest_term == s + 1 && has_key && written_outsiders[s] != NONE ->
          outsiders[s] = written_outsiders[s]; unlisted[s] = written_unlisted[s]
       :: is_active[s] && written_outsiders[s] != NONE &&
            outsiders[s] == written_outsiders[s] && unlisted[s] == written_unlisted[s] ->
          written_outsiders[s] = NONE; written_unlisted[s] = NONE
#ifdef ASK_OLD_ONLY
          ; answered_outsiders[s] = outsiders[s]; answered_unlisted[s] = unlisted[s]
#endif
       /* Questions and answers. */
       :: is_active[s] && s + 1 < TERMS && !is_asking[s] ->
          is_asking[s] = true;
          asked_outsiders[s] = SURE_OUTSIDERS(s); asked_unlisted[s] = SURE_UNLISTED(s)
       :: is_asking[s] ->
          do
          :: e < ENTRIES - 1 -> e++
          :: break
          od;
          if
          :: e != host[s] && !((answers[s] | asked_unlisted[s]) & BIT(e)) && known_term[e] <= s + 1 ->
             answers[s] = answers[s] | BIT(e)
          :: else
          fi;
          e = 0
       :: is_asking[s] && (answers[s] | asked_outsiders[s] | BIT(host[s])) == ALL ->
          if
          :: asked_outsiders[s] == 0 -> confirm(s, 0)
          :: else -> confirm(s, WAIT)
          fi
       :: is_asking[s] && (answers[s] | asked_unlisted[s] | BIT(host[s])) == ALL ->
          if
          :: asked_unlisted[s] == 0 -> confirm(s, 0)
          :: else -> confirm(s, WAIT_UNLISTED)
          fi
       :: else
       fi;
       d_step { normalize() } }
  od
}

init {
  atomic {
    byte i = 0;
    byte o = 0;
    byte u = 0;
    do
    :: i < TERMS -> written_outsiders[i] = NONE; written_unlisted[i] = NONE; i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < ENTRIES -> known_term[i] = 1; waited[i] = NOT_WAITING; i++
    :: else -> break
    od;
    i = 0;
    is_active[0] = true;
    reach[0] = ALL_WORKERS;
    choose_succession(0, o, u);
    outsiders[0] = o; unlisted[0] = u;
#ifdef ASK_OLD_ONLY
    answered_outsiders[0] = o; answered_unlisted[0] = u;
#endif
    o = 0; u = 0;
    run System()
  }
}
