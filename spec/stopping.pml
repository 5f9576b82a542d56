/* When the scheduler of the last term has stopped, although it gives no answer.
 *
 * One scheduler acts for LIMIT ticks after the time as of which its term was last confirmed. A renewal of its lease, which
 * lasts for LEASE ticks, confirms the term as of the moment at which it was sent. So does an entry, as of the question, if
 * every succession that the store may hold names it. When a write that drops an entry from the succession is sent, the
 * term counts as confirmed only as of the last renewal, and a question to that entry no longer confirms it.
 *
 * The key lapses LEASE ticks after the store applied the last renewal, or another entry ends the lease and records that
 * before. A new scheduler then begins its term. It reads the succession, and asks each entry that it names how long it
 * has confirmed no term. An entry that has answered confirms no earlier term. An entry that was started again counts from
 * its start. Each call may be lost or answered late, and a renewal may be applied late. Entries say nothing to the
 * new scheduler while they are silent; it then assumes nothing.
 *
 * Checked: when the new scheduler takes the last one for stopped, the last one does not act, now or later.
 *
 * Mutants: LEASE_FORGOTTEN (the lease counts as unrenewed for a tick longer than it lasts), RELIEF_FORGOTTEN (a lease that
 * another entry ended counts as lapsed), SKIP_SILENT (the new scheduler does not wait for silent entries), START_FORGOTTEN
 * (an entry that was started again says that it has never confirmed a term), UNSURE_PROOF (an entry that only one of the
 * possible successions names confirms the term), KEEP_DROPPED (a confirmation by an entry that is then dropped counts on),
 * LATE_CONFIRMATION (an entry that has answered the new scheduler confirms the earlier term), ANSWER_TIME (a renewal
 * confirms the term as of its answer).
 */

#ifndef LIMIT
#define LIMIT 2
#endif
#ifndef LEASE
#define LEASE 1
#endif
#define ENTRIES 2
#define ALL ((1 << ENTRIES) - 1)
#define BIT(e) (1 << (e))
#define LONG_AGO LIMIT
#define NONE 255

/* The store. */
bool has_key = true;
byte lease_age = 0;       /* since the store applied the last renewal */
byte stored = ALL;        /* succession, a bit set of entries */
bool is_relieved = false;

/* The last scheduler. */
byte confirmed_age = 0;
byte renewed_age = 0;     /* since it sent the last renewal that was answered */
byte known = ALL;         /* succession that it last knew as stored */
byte written = NONE;      /* succession of a write without an answer */
byte renewal_age = NONE;  /* since a renewal was sent whose answer is not there yet */
bool is_applied = false;  /* whether the store has applied that renewal */
byte asked_age[ENTRIES];  /* since a question was sent; NONE if there is none */
bool has_confirmed[ENTRIES]; /* whether the entry has answered it, and the answer is on its way */

/* Entries. */
byte quiet[ENTRIES];      /* time without a confirmation */
bool knows_new[ENTRIES];

/* The new scheduler. */
byte unanswered = 0;      /* entries of the succession that have not answered */
byte stops_in = 0;        /* ticks until the last scheduler has stopped, by the answers so far */

#define ACTS (confirmed_age < LIMIT)
#ifdef UNSURE_PROOF
#define IS_SURE(e) ((known & BIT(e)) || (written != NONE && (written & BIT(e))))
#else
#define IS_SURE(e) ((known & BIT(e)) && (written == NONE || (written & BIT(e))))
#endif

#ifdef LEASE_FORGOTTEN
#define UNRENEWED (LEASE + 1)
#else
#define UNRENEWED LEASE
#endif

#ifdef SKIP_SILENT
#define IS_SILENCE_IGNORED true
#else
#define IS_SILENCE_IGNORED false
#endif

inline older(age) {
  if
  :: age < LONG_AGO -> age++
  :: else
  fi
}

inline raise_stop(unconfirmed) {
  if
  :: LIMIT > unconfirmed && LIMIT - unconfirmed > stops_in -> stops_in = LIMIT - unconfirmed
  :: else
  fi
}

inline age_entry(e) {
  older(quiet[e]);
  if
  :: asked_age[e] != NONE -> older(asked_age[e])
  :: else
  fi
}

proctype Time() {
end:
  do
  :: atomic {
       /* The key of a lease that is over lapses before time passes on. */
       !has_key || lease_age < LEASE ->
       older(confirmed_age); older(renewed_age); age_entry(0); age_entry(1);
       if
       :: has_key -> lease_age++
       :: else
       fi;
       if
       :: renewal_age != NONE -> older(renewal_age)
       :: else
       fi;
       if
       :: stops_in > 0 -> stops_in--
       :: else
       fi }
  od
}

proctype Store() {
end:
  do
  :: atomic { has_key && lease_age >= LEASE -> has_key = false; lease_age = 0 }
  /* Another entry of the succession records the relief and ends the lease. */
  :: atomic { has_key ->
#ifndef RELIEF_FORGOTTEN
       is_relieved = true;
#endif
       has_key = false; lease_age = 0 }
  :: atomic { has_key && renewal_age != NONE && !is_applied -> is_applied = true; lease_age = 0 }
  /* A write of a succession is applied. */
  :: atomic { has_key && written != NONE && stored != written -> stored = written }
  od
}

inline renew_answered() {
#ifdef ANSWER_TIME
  renewal_age = 0;
#endif
  if
  :: renewal_age < renewed_age -> renewed_age = renewal_age
  :: else
  fi;
  if
  :: renewal_age < confirmed_age -> confirmed_age = renewal_age
  :: else
  fi;
  renewal_age = NONE; is_applied = false
}

inline apply_confirmation(e) {
  if
  :: IS_SURE(e) && asked_age[e] < confirmed_age -> confirmed_age = asked_age[e]
  :: else
  fi;
  asked_age[e] = NONE; has_confirmed[e] = false
}

inline write_succession(next) {
#ifndef KEEP_DROPPED
  if
  :: (known & next) != known && renewed_age > confirmed_age -> confirmed_age = renewed_age
  :: else
  fi;
#endif
  written = next
}

proctype LastScheduler() {
end:
  do
  :: atomic { ACTS && renewal_age == NONE -> renewal_age = 0; is_applied = false }
  :: atomic { renewal_age != NONE && is_applied -> renew_answered() }
  :: atomic { renewal_age != NONE -> renewal_age = NONE; is_applied = false } /* the answer is lost */
  :: atomic { ACTS && asked_age[0] == NONE -> asked_age[0] = 0 }
  :: atomic { ACTS && asked_age[1] == NONE -> asked_age[1] = 0 }
  :: atomic { asked_age[0] != NONE && has_confirmed[0] -> apply_confirmation(0) }
  :: atomic { asked_age[1] != NONE && has_confirmed[1] -> apply_confirmation(1) }
  :: atomic { asked_age[0] != NONE -> asked_age[0] = NONE; has_confirmed[0] = false }
  :: atomic { asked_age[1] != NONE -> asked_age[1] = NONE; has_confirmed[1] = false }
  /* Writes another succession. */
  :: atomic { ACTS && written == NONE && known != 1 -> write_succession(1) }
  :: atomic { ACTS && written == NONE && known != ALL -> write_succession(ALL) }
  :: atomic { written != NONE && stored == written -> known = written; written = NONE }
  od
}

/* Confirms the term to the last scheduler. The entry has heard so from the store, or has lost the store. */
#ifdef LATE_CONFIRMATION
#define MAY_CONFIRM(e) (asked_age[e] != NONE && !has_confirmed[e])
#else
#define MAY_CONFIRM(e) (asked_age[e] != NONE && !has_confirmed[e] && !knows_new[e])
#endif

/* An earlier process of the entry may have confirmed the term until it was started again. */
inline start_again(e) {
#ifdef START_FORGOTTEN
  quiet[e] = LONG_AGO
#else
  quiet[e] = 0
#endif
}

proctype Entries() {
end:
  do
  :: atomic { MAY_CONFIRM(0) -> has_confirmed[0] = true; quiet[0] = 0 }
  :: atomic { MAY_CONFIRM(1) -> has_confirmed[1] = true; quiet[1] = 0 }
  :: atomic { !knows_new[0] && quiet[0] != 0 -> start_again(0) }
  :: atomic { !knows_new[1] && quiet[1] != 0 -> start_again(1) }
  od
}

inline hear(e) {
  knows_new[e] = true; unanswered = unanswered & ~BIT(e); raise_stop(quiet[e])
}

proctype NewScheduler() {
  atomic { !has_key ->
    unanswered = stored;
    if
    :: !is_relieved -> raise_stop(UNRENEWED)
    :: else -> goto waits
    fi };
  do
  :: atomic { (unanswered & 1) -> hear(0) }
  :: atomic { (unanswered & 2) -> hear(1) }
  :: atomic { (unanswered == 0 || IS_SILENCE_IGNORED) && stops_in == 0 -> break }
  od;
  /* From now on, the last scheduler must not act. */
  ACTS -> assert(false);
waits:
end:
  false
}

init {
  atomic {
    asked_age[0] = NONE; asked_age[1] = NONE;
    quiet[0] = LONG_AGO; quiet[1] = LONG_AGO;
    run Time(); run Store(); run LastScheduler(); run Entries(); run NewScheduler()
  }
}
