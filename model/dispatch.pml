/* Models the dispatch of one task of one submission: two callers that submit it
   through any entry, the home that gave out the id, the next incarnation of that
   home at the same address, and two executors.

   The network is the set of all messages ever sent. Each message may be delivered
   at any later time, any number of times and in any order, or never, so loss,
   repetition and reordering are unbounded. A paused process is a process that is
   not scheduled. A process that crashes loses its memory and is replaced by a new
   incarnation.

   Compiling with -DNO_<RULE> removes a rule that the protocol depends on. The file
   `mutants` lists these flags, and spin must find a violated property with each.

   Bounds: MAX_ATTEMPTS attempts, CRASHES crashes of executors, one crash of the
   home. */

#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define EXECUTORS 2
#define GRANTS (MAX_ATTEMPTS + 1)    /* Grant number 0 is unused. */
#define AT(e, g) ((e) * GRANTS + (g))
#define CELLS (EXECUTORS * GRANTS)

mtype = { NO_ANSWER, COMPLETE, NOT_RUN, UNKNOWN };
mtype = { ABSENT, QUEUED, STARTED, ENDED, TOMBSTONE };

/* The messages sent so far, by executor and grant number. Messages to an executor
   carry the incarnation that they are meant for. */
bool sent_grant[CELLS];
bool sent_ask[CELLS];
bool sent_withdraw[CELLS];
byte meant_for[CELLS];
bool sent_not_run[CELLS];
bool sent_done[CELLS];
bool sent_lost[CELLS];
bool sent_put = true;                /* A submission, by any caller through any entry. */

/* Events that the checked properties refer to: starts of the task, and answers
   that a caller received. */
byte starts = 0;
bool told_not_run = false;
bool told_complete = false;

byte home_incarnation = 1;
byte executor_incarnation[EXECUTORS];
byte crashes_left = CRASHES;

/* The state of the home, lost in a crash. */
bool accepted = false;
mtype final = NO_ANSWER;
byte next_grant = 1;
byte open_grant = 0;
byte open_executor = 0;
byte attempts = 0;
bool cancelled = false;

/* The state of the executors, lost in a crash. */
mtype record[CELLS];

inline tell(what) {
  if
  :: what == NOT_RUN -> told_not_run = true
  :: what == COMPLETE -> told_complete = true
  :: else -> skip
  fi
}

inline finish(what) {
  final = what;
  open_grant = 0;
  tell(what)
}

/* A submission arrives at the home address that its id contains. */
inline receive_put() {
  if
#ifndef NO_HOME_INCARNATION
  :: home_incarnation != 1 ->
     /* The id was given out by the previous incarnation, whose grants may still be
        delivered. */
#ifndef NO_UNKNOWN_FOR_LOST_HOME
     tell(UNKNOWN)
#else
     tell(NOT_RUN)
#endif
#endif
  :: else ->
     if
     :: final != NO_ANSWER -> tell(final)
#ifndef NO_IDEMPOTENT_PUT
     :: final == NO_ANSWER && accepted -> skip    /* The caller waits. */
     :: final == NO_ANSWER && !accepted ->
#else
     :: final == NO_ANSWER ->
#endif
        if
        :: accepted = true;
           open_grant = 0
        :: /* Refused, for overload or a quota. The refusal is final for this id. */
#ifndef NO_FINAL_REFUSAL
           final = NOT_RUN;
#endif
           tell(NOT_RUN)
        fi
     fi
  fi
}

inline grant_task(e) {
#ifndef NO_NEW_ATTEMPT_NUMBER
  open_grant = next_grant;
  next_grant++;
#else
  open_grant = 1;
#endif
  attempts++;
  open_executor = e;
  sent_grant[AT(e, open_grant)] = true;
  meant_for[AT(e, open_grant)] = executor_incarnation[e]
}

#define IS_OPEN (accepted && final == NO_ANSWER)
#ifndef NO_OPEN_ATTEMPT_CHECK
#define IS_FOR_OPEN(e, g) (IS_OPEN && open_grant == (g) && open_executor == (e))
#else
#define IS_FOR_OPEN(e, g) (IS_OPEN && open_grant != 0)
#endif

#define CURRENT_CELL AT(open_executor, open_grant)

active proctype Home() {
  byte e, g;
end:
  do
  :: atomic { sent_put -> receive_put() }
  :: atomic {
       IS_OPEN && open_grant == 0 && !cancelled && attempts < MAX_ATTEMPTS ->
       if :: grant_task(0) :: grant_task(1) fi
     }
  :: atomic {
       IS_OPEN && open_grant == 0 && (cancelled || attempts == MAX_ATTEMPTS) ->
       finish(NOT_RUN)
     }
  :: atomic { IS_OPEN && open_grant != 0 -> sent_ask[CURRENT_CELL] = true }
  :: atomic {
       IS_OPEN && open_grant != 0 && cancelled ->
       sent_withdraw[CURRENT_CELL] = true
     }
  :: atomic { IS_OPEN && !cancelled -> cancelled = true }
  /* The deadline passed, or the incarnation of the executor is known to have
     terminated. */
#ifndef NO_UNKNOWN_FOR_LOST_EXECUTOR
  :: atomic { IS_OPEN && open_grant != 0 -> finish(UNKNOWN) }
#else
  :: atomic {
       IS_OPEN && open_grant != 0 &&
       executor_incarnation[open_executor] != meant_for[CURRENT_CELL] ->
       finish(NOT_RUN)
     }
#endif
  :: atomic {
       select(e : 0 .. 1);
       select(g : 1 .. MAX_ATTEMPTS);
       if
       :: sent_not_run[AT(e, g)] && IS_FOR_OPEN(e, g) -> open_grant = 0
       :: sent_done[AT(e, g)] && IS_FOR_OPEN(e, g) -> finish(COMPLETE)
       :: sent_lost[AT(e, g)] && IS_FOR_OPEN(e, g) -> finish(UNKNOWN)
       :: else -> skip
       fi;
       e = 0;
       g = 0
     }
  :: atomic {
       home_incarnation == 1 ->
       home_incarnation = 2;
       accepted = false;
       final = NO_ANSWER;
       next_grant = 1;
       open_grant = 0;
       open_executor = 0;
       attempts = 0;
       cancelled = false
     }
  od
}

#ifndef NO_EXECUTOR_INCARNATION
#define IS_FOR_ME(e, c) (meant_for[c] == executor_incarnation[e])
#else
#define IS_FOR_ME(e, c) true
#endif

inline receive_grant(e, c) {
  if
  :: !IS_FOR_ME(e, c) -> sent_lost[c] = true
  :: else ->
     if
     :: record[c] == ABSENT ->
        if
        :: record[c] = QUEUED
        :: /* Refused: draining, or the queue is full. */
#ifndef NO_TOMBSTONE
           record[c] = TOMBSTONE;
#endif
           sent_not_run[c] = true
        fi
     :: record[c] == TOMBSTONE -> sent_not_run[c] = true
     :: record[c] == ENDED ->
#ifdef NO_DUPLICATE_GRANT_CHECK
        record[c] = QUEUED;
#endif
        sent_done[c] = true
     :: else -> skip
     fi
  fi
}

inline receive_ask(e, c, withdraws) {
  if
  :: !IS_FOR_ME(e, c) -> sent_lost[c] = true
  :: else ->
     if
     :: record[c] == ABSENT ->
#ifndef NO_ASK_TOMBSTONE
        record[c] = TOMBSTONE;
#endif
        sent_not_run[c] = true
     :: record[c] == QUEUED && withdraws ->
#ifndef NO_WITHDRAW_REMOVES
        record[c] = TOMBSTONE;
#endif
        sent_not_run[c] = true
     :: record[c] == TOMBSTONE -> sent_not_run[c] = true
     :: record[c] == ENDED -> sent_done[c] = true
     :: else -> skip                              /* Queued or running. */
     fi
  fi
}

proctype Executor(byte e) {
  byte g;
end:
  do
  :: atomic {
       select(g : 1 .. MAX_ATTEMPTS);
       if
       :: sent_grant[AT(e, g)] -> receive_grant(e, AT(e, g))
       :: sent_ask[AT(e, g)] -> receive_ask(e, AT(e, g), false)
       :: sent_withdraw[AT(e, g)] -> receive_ask(e, AT(e, g), true)
       :: record[AT(e, g)] == QUEUED ->
          record[AT(e, g)] = STARTED;
          if :: starts < 2 -> starts++ :: else -> skip fi
       :: record[AT(e, g)] == STARTED ->
          record[AT(e, g)] = ENDED;
          sent_done[AT(e, g)] = true
       :: else -> skip
       fi;
       g = 0
     }
  :: atomic {
       crashes_left > 0 ->
       crashes_left--;
       executor_incarnation[e]++;
       for (g : 1 .. MAX_ATTEMPTS) { record[AT(e, g)] = ABSENT }
       g = 0
     }
  od
}

#define NO_DOUBLE_START (starts <= 1)
/* This also excludes a start after the answer. */
#define NOT_RUN_IS_TRUE (!(told_not_run && starts > 0))
#define COMPLETE_IS_TRUE (!(told_complete && starts == 0))

active proctype Monitor() {
end:
  atomic {
    !(NO_DOUBLE_START && NOT_RUN_IS_TRUE && COMPLETE_IS_TRUE) ->
    assert(NO_DOUBLE_START);
    assert(NOT_RUN_IS_TRUE);
    assert(COMPLETE_IS_TRUE)
  }
}

init {
  atomic {
    byte c;
    for (c : 0 .. CELLS - 1) { record[c] = ABSENT }
    executor_incarnation[0] = 1;
    executor_incarnation[1] = 1;
    run Executor(0);
    run Executor(1)
  }
}
