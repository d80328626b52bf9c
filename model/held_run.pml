/* Models the runs of one task of a held job: the entry that holds the job (the
   home), one guard with its worker, a second home to which the caller sends the
   job again, and the rest of the fleet. The property is that the task never has
   two runs at the same time on workers that are up.

   The rest of the fleet is a worker on which a run starts as soon as it is ordered
   and lasts for any time. A run at the modelled guard is therefore never up from
   the moment at which the home, or the second home, orders one elsewhere.

   Time passes in ticks between any two events. No process has to act within any
   time, so that a late, paused or frozen process is one that is not scheduled; only
   the worker ends its runs in time, when their lease ends. The lengths keep the
   order that held/lease_terms.h checks, and are as tight as it allows:
     HOME_LEASE < RUN_LIMIT
     RUN_LIMIT + SLOW <= CALLER_RESEND
     RUN_LIMIT + SLOW, HOME_LEASE + WORKER_LEASE + SLOW <= RELEASE
   SLOW is the time by which a worker may end a lease late. The deadline of a call
   is absolute, so that what is left of it shrinks while the call is on its way.

   Calls to the worker may be lost, be carried out at any later time, and get no
   answer. A worker that crashes starts again under its id; connections end with it,
   and a call with a deadline is bound to its connection. A guard that is killed
   starts again at its address. Frames between the home and the guard are held up
   for any time, and are lost with their connection.

   Compiling with -DNO_<RULE> removes a rule that the design depends on. The file
   `mutants` lists those flags with which spin finds a violated property. The others
   were not searched to an end.

   The first order is on its way at the beginning, to a guard that is settled.

   Bounds: ATTEMPTS attempts of the home at this guard, CRASHES crashes of the
   worker, KILLS kills of the guard, SESSIONS connections of the home to the guard,
   COPIES copies of a start. With RESEND=1 the caller may leave the home and send
   the job again, whereupon the second home orders a run elsewhere. With RESEND_HERE=1
   the second home's order comes to this guard, earlier than callers promise. */

#ifndef ATTEMPTS
#define ATTEMPTS 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef KILLS
#define KILLS 1
#endif
#ifndef SESSIONS
#define SESSIONS 2
#endif
#ifndef COPIES
#define COPIES 1
#endif
#ifndef RESEND
#define RESEND 0
#endif
#ifndef RESEND_HERE
#define RESEND_HERE 0
#endif

/* Lengths in ticks. */
#define HOME_LEASE 1
#define WORKER_LEASE 2
#define RUN_LIMIT 2
#define SLOW 1
#define CALLER_RESEND (RUN_LIMIT + SLOW)
#ifndef NO_WAIT_FOR_LEASES
#define RELEASE (HOME_LEASE + WORKER_LEASE + SLOW)
#else
#define RELEASE HOME_LEASE
#endif
#define LEASE_DURATION (WORKER_LEASE + SLOW)
#define OLD 4                        /* Ages are not counted beyond this. */
#define NO_LIMIT 8
#define NEVER 9                      /* A deadline on the clock of another incarnation. */

/* Runs are numbered in the order in which they are ordered; the last number is
   that of the second home's run. */
#define RUNS (ATTEMPTS + RESEND_HERE)
#define IS_OF_HOME(a) ((a) < ATTEMPTS)
#define B(a) (1 << (a))

/* Phases of a run at the guard. */
#define NONE 0
#define QUEUED 1
#define STARTING 2
#define RUNNING 3
#define STOPPING 4

/* Kinds of frames from the home. */
#define ORDER 1
#define STOP 2

/* The worker: the runs that are up, those that this incarnation has ended, the
   attempts below which it refuses starts, and the time left of its lease. */
byte incarnation = 1;
byte up = 0;
byte ended = 0;
byte refused_below = 0;
byte lease = 0;

/* A run has started on the rest of the fleet. */
bool elsewhere = false;

/* Calls on their way to the worker. `start_left` is the time until the deadline of
   the copies of a start. Fencing tokens are known by their order only: a start may
   have a lower token than the guard has now, and the worker may have seen a higher
   one than it has. */
byte copies[RUNS];
byte start_left[RUNS];
byte has_old_fence = 0;
byte is_fenced = 0;
byte stops = 0;

/* The guard. `known` is the incarnation of the worker that it knows, 0 if none. */
byte process = 1;
byte known = 1;
bool has_answered = true;
bool is_settled = true;
byte process_age = 0;
byte renewal_age = 0;
byte asked_lease = 0;                /* Time left of the longest lease asked for. */
byte phase[RUNS];
byte session_of[RUNS];
byte calls[RUNS];
byte open_calls[RUNS];
byte limit[RUNS];                    /* Time until the run must have ended. */
byte awaits_reply = 0;
byte may_have_started = 0;
byte stop_confirmed = 0;
byte is_stale = 0;
byte lacks_deadline = 0;
byte session = 1;
byte newest_session = 1;
byte echo_age = 0;                   /* Of the newest stamp that the home echoed. */
byte ends = 0;                       /* For the next report. */

/* The answer to a poll, on its way to the guard. */
bool has_answer = false;
byte poll_after_start = 0;           /* Runs that were confirmed when it was sent. */
byte poll_after_stop = 0;            /* The same for stops and stale starts. */
byte listed = 0;
byte listed_ends = 0;
byte over_deadline = 0;
byte answering = 0;

/* An order or a stop from the home, and a report to it; kind or session 0 if there
   is none. A stop echoes the newest report from before the caller left. */
byte frame_kind = ORDER;
byte frame_session = 1;
byte frame_run = 0;
byte frame_age = 0;                  /* Of the stamp that an order echoes. */
byte report_session = 0;
byte report_age = 0;
bool report_settled = false;
bool report_earlier_runs = false;
byte report_ends = 0;

/* The home: its connection and the guard process at its other end, and the run that
   it has open at the guard. */
byte connection = 1;
byte connections = 1;
byte peer = 1;
byte stamp_age = 0;                  /* Of the newest report, since it was sent. */
byte silence = 0;                    /* Age of the newest report, since its arrival. */
byte next_run = 1;
bool is_open = true;
bool is_orphan = false;
bool is_stopped = false;
byte open_run = 0;
byte run_connection = 1;
byte run_peer = 1;
byte release_left = 0;

/* The caller. */
bool has_left = false;
byte left_age = 0;
bool has_noticed = false;            /* The home knows that the caller left. */
bool has_resent = false;

bool is_over = false;

byte i, left;
bool knows_all;

/* The least age of a stamp that the home may echo: that of a report which had
   arrived before the events that the home has not handled yet. */
#ifndef NO_ECHO_BEFORE_EVENTS
#define STAMP_AGE \
  (has_left && !has_noticed && left_age > stamp_age -> left_age : stamp_age)
#else
#define STAMP_AGE stamp_age
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define REST(length, age) ((age) < (length) -> (length) - (age) : 0)

inline grow(age) { age = MIN(age + 1, OLD) }
inline shrink(time) {
  time = (time == 0 || time >= NO_LIMIT -> time : time - 1)
}

#ifndef NO_START_DEADLINE
#define IS_IN_TIME(a) (start_left[a] > 0)
#else
#define IS_IN_TIME(a) (start_left[a] > 0 || lease > 0)
#endif

#define HAS_RUNS (phase[0] != NONE || phase[RUNS / 2] != NONE || phase[RUNS - 1] != NONE)

/* Whether no run can be up any more. What follows is not searched. */
#define CAN_START(a) (copies[a] > 0 || phase[a] == QUEUED || phase[a] == STARTING)
#define IS_OVER \
  (up == 0 && !CAN_START(0) && !CAN_START(RUNS / 2) && !CAN_START(RUNS - 1) && \
   frame_kind != ORDER && (next_run == ATTEMPTS || elsewhere || has_noticed) && \
   (RESEND + RESEND_HERE == 0 || has_resent || elsewhere))

/* A run starts only if no lease was asked for that lasts longer than the run may. */
#ifndef NO_START_WITHIN_LEASE
#define IS_WITHIN_LEASE (asked_lease <= REST(RUN_LIMIT, echo_age) + SLOW)
#else
#define IS_WITHIN_LEASE true
#endif

/* The worker. */

/* The guard hears of the end of a run that it knows, and of no other. */
inline end_at_worker(a) {
  ended = (phase[a] != NONE -> ended | B(a) : ended);
  up = up & ~B(a);
  refused_below = MAX(refused_below, a + 1)
}

/* The worker carries out a call with the guard's newest fencing token. */
inline see_fence() { is_fenced = is_fenced | has_old_fence }

inline raise_fence() {
  i = 0;
  do
  :: i < RUNS ->
     has_old_fence = (copies[i] > 0 -> has_old_fence | B(i) : has_old_fence);
     i++
  :: else -> break
  od
}

inline forget_fence(a) {
  has_old_fence = (copies[a] == 0 -> has_old_fence & ~B(a) : has_old_fence);
  is_fenced = (copies[a] == 0 -> is_fenced & ~B(a) : is_fenced)
}

inline check_start() {
  assert(up == 0 && !elsewhere)
}

/* The guard. */

inline end_run(a) {
  if
  :: IS_OF_HOME(a) && session != 0 -> ends = ends | B(a)
  :: else
  fi;
  phase[a] = NONE;
  session_of[a] = 0;
  calls[a] = 0;
  open_calls[a] = 0;
  limit[a] = NO_LIMIT;
  awaits_reply = awaits_reply & ~B(a);
  may_have_started = may_have_started & ~B(a);
  stop_confirmed = stop_confirmed & ~B(a);
  is_stale = is_stale & ~B(a);
  lacks_deadline = lacks_deadline & ~B(a);
  stops = stops & ~B(a);
  ended = ended & ~B(a);
  poll_after_start = poll_after_start & ~B(a);
  poll_after_stop = poll_after_stop & ~B(a);
  listed_ends = listed_ends & ~B(a);
  over_deadline = over_deadline & ~B(a);
  start_left[a] = (copies[a] == 0 -> 0 : start_left[a])
}

inline stop_run(a) {
  if
  :: phase[a] == QUEUED -> end_run(a)
  :: phase[a] == STARTING || phase[a] == RUNNING ->
     phase[a] = STOPPING;
     stops = stops | B(a)
  :: else
  fi
}

inline limit_run(a, age) { limit[a] = MIN(limit[a], REST(RUN_LIMIT, age)) }

/* Limits the runs of the home's session and stops all runs of the home. */
inline stop_runs_of_home() {
  i = 0;
  do
  :: i < ATTEMPTS ->
     if
     :: phase[i] != NONE ->
#ifndef NO_SESSION_LIMIT
        if
        :: session_of[i] == session -> limit_run(i, echo_age)
        :: else
        fi;
#endif
        stop_run(i)
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* Sets `left` to the time by which the worker's lease may be extended. */
inline find_lease_limit() {
  left = WORKER_LEASE;
#ifndef NO_LEASE_LIMIT
  i = 0;
  do
  :: i < RUNS ->
     if
     :: phase[i] > QUEUED ->
        left = MIN(left, limit[i]);
        if
        :: IS_OF_HOME(i) && session_of[i] == session ->
           left = MIN(left, REST(RUN_LIMIT, echo_age))
        :: else
        fi
     :: else
     fi;
     i++
  :: else -> break
  od
#endif
}

#define IS_SERVING (is_settled && known != 0 && has_answered && left > 0)

inline ask_lease() {
#ifndef NO_START_WITHIN_LEASE
  asked_lease = MAX(asked_lease, left + SLOW)
#else
  skip
#endif
}

inline call_start(a) {
  find_lease_limit();
  ask_lease();
  over_deadline = over_deadline & ~B(a);   /* The new copy has a later deadline. */
  calls[a]++;
  open_calls[a]++;
  awaits_reply = awaits_reply | B(a);
  renewal_age = 0;
  has_old_fence = has_old_fence & ~B(a);
  is_fenced = is_fenced & ~B(a);
  if
  :: known == incarnation ->
     copies[a]++;
     start_left[a] = MAX(start_left[a], (left > 0 -> left + SLOW : 0))
  :: else ->
#ifdef NO_BOUND_CONNECTION
     copies[a]++;
     start_left[a] = NEVER
#else
     skip                            /* The call goes to nobody. */
#endif
  fi
}

/* The known incarnation of the worker has ended. A run with a start that a next one
   might carry out is stopped there. */
inline end_incarnation() {
  i = 0;
  do
  :: i < RUNS ->
     if
     :: phase[i] > QUEUED && open_calls[i] > 0 ->
        phase[i] = STOPPING;
        may_have_started = may_have_started | B(i);
        stop_confirmed = stop_confirmed & ~B(i);
        is_stale = is_stale & ~B(i);
        lacks_deadline = lacks_deadline | B(i);
        limit_run(i, 0)
     :: phase[i] != NONE && (phase[i] == QUEUED || open_calls[i] == 0) -> end_run(i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  known = 0;
  asked_lease = 0;
  has_answered = false;
  awaits_reply = 0;
  stops = 0;
  drop_poll()
}

inline drop_poll() {
  has_answer = false;
  poll_after_start = 0;
  poll_after_stop = 0;
  listed = 0;
  listed_ends = 0;
  over_deadline = 0;
  answering = 0
}

/* The start of run `a` was refused; `stale` tells whether as a stale attempt. */
inline on_refusal(a, stale) {
  if
#ifndef NO_REFUSAL_OF_ONE_COPY
  :: (may_have_started & B(a)) ->
     is_stale = (stale -> is_stale | B(a) : is_stale)
  :: else ->
#else
  :: true ->
#endif
     end_run(a)
  fi
}

inline take_reply(a) {
  awaits_reply = awaits_reply & ~B(a);
  open_calls[a]--
}

/* A copy of the start of run `a` reaches the worker, and its answer the guard at
   once or never. */
inline carry_out_start(a) {
  copies[a]--;
  if
#ifndef NO_FENCE
  :: (is_fenced & B(a)) ->
     if
     :: (awaits_reply & B(a)) -> take_reply(a); on_refusal(a, false)
     :: true
     fi
#endif
  :: else ->
     if
     :: !(has_old_fence & B(a)) -> see_fence()
     :: else
     fi;
     if
     :: (up & B(a)) == 0 && a < refused_below ->
        if
        :: (awaits_reply & B(a)) -> take_reply(a); on_refusal(a, true)
        :: true
        fi
#ifndef NO_START_DEADLINE
     :: (up & B(a)) == 0 && a >= refused_below && start_left[a] == 0 ->
        if
        :: (awaits_reply & B(a)) -> take_reply(a); on_refusal(a, false)
        :: true
        fi
#endif
     :: (up & B(a)) == 0 && a >= refused_below ->    /* No capacity. */
        if
        :: (awaits_reply & B(a)) -> take_reply(a); on_refusal(a, false)
        :: true
        fi
     :: (up & B(a)) ||
        (a >= refused_below && IS_IN_TIME(a)) ->
        if
        :: (up & B(a)) == 0 -> check_start(); up = up | B(a)
        :: else
        fi;
        lease = MAX(lease, MIN(start_left[a], LEASE_DURATION));
        if
        :: (awaits_reply & B(a)) ->
           take_reply(a);
           may_have_started = may_have_started | B(a);
           phase[a] = (phase[a] == STARTING -> RUNNING : phase[a])
        :: true
        fi
     fi
  fi;
  start_left[a] = (copies[a] == 0 && calls[a] == 0 -> 0 : start_left[a]);
  forget_fence(a)
}

inline carry_out_stop(a) {
  see_fence();
  refused_below = MAX(refused_below, a + 1);
  if
  :: (up & B(a)) -> end_at_worker(a)
  :: else
  fi;
  if
  :: phase[a] != STOPPING -> stops = stops & ~B(a)
  :: phase[a] == STOPPING ->
     stop_confirmed = stop_confirmed | B(a);
     stops = stops & ~B(a)
  :: phase[a] == STOPPING            /* The answer is lost. */
  fi
}

inline answer_poll() {
  see_fence();
  has_answer = true;
  listed = up;
  listed_ends = ended;
  answering = incarnation;
  poll_after_stop = stop_confirmed | is_stale;
  i = 0;
  do
  :: i < RUNS ->
     poll_after_start =
       (phase[i] == RUNNING -> poll_after_start | B(i) : poll_after_start);
     over_deadline = (phase[i] > QUEUED && start_left[i] == 0 ->
                      over_deadline | B(i) : over_deadline);
     i++
  :: else -> break
  od
}

inline on_poll_answer() {
  if
  :: answering != known -> end_incarnation()
  :: else ->
     has_answered = true;
     knows_all = true;
     i = 0;
     do
     :: i < RUNS ->
        if
        :: phase[i] > QUEUED && (listed_ends & B(i)) -> end_run(i)
        :: (listed & B(i)) && phase[i] <= QUEUED ->
           knows_all = false;
           stops = stops | B(i)      /* A foreign run. */
        :: (listed & B(i)) && phase[i] > QUEUED ->
           may_have_started = may_have_started | B(i);
           phase[i] = (phase[i] == STARTING -> RUNNING : phase[i])
        :: !(listed & B(i)) && !(listed_ends & B(i)) && phase[i] == RUNNING ->
           if
#ifndef NO_POLL_AFTER_START
           :: (poll_after_start & B(i)) ->
#else
           :: true ->
#endif
              end_run(i)
           :: else
           fi
        :: !(listed & B(i)) && !(listed_ends & B(i)) && phase[i] == STOPPING ->
           if
#ifndef NO_POLL_AFTER_STOP
           :: (poll_after_stop & B(i)) ||
              ((over_deadline & B(i)) && !(lacks_deadline & B(i))) ->
#else
           :: true ->
#endif
              end_run(i)
           :: else
           fi
        :: !(listed & B(i)) && !(listed_ends & B(i)) && phase[i] == STARTING ->
           if
           :: (poll_after_stop & B(i) & is_stale) || (over_deadline & B(i)) -> end_run(i)
           :: else
           fi
        :: else
        fi;
        i++
     :: else -> break
     od;
     is_settled = is_settled || knows_all;
     knows_all = false;
     drop_poll()
  fi
}

inline end_all_runs() {
  i = 0;
  do
  :: i < RUNS ->
     if
     :: phase[i] != NONE -> end_run(i)
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* A connection to the worker was refused. */
inline on_refused_connection() {
  left = 0;
  i = 0;
  do
  :: i < RUNS ->
     if
     :: phase[i] == QUEUED -> end_run(i)
     :: else
     fi;
     left = (phase[i] != NONE -> 1 : left);
     i++
  :: else -> break
  od;
#ifdef NO_END_PROOF
  end_all_runs();
  left = 0;
#endif
  has_answered = false;
  drop_poll();
  if
  :: left == 0 -> known = 0; asked_lease = 0; awaits_reply = 0; stops = 0
  :: else
  fi
}

inline kill_guard() {
  session = 0;
  end_all_runs();
  ends = 0;
  process++;
  raise_fence();
  known = 0;
  asked_lease = 0;
  has_answered = false;
#ifndef NO_SETTLED
  is_settled = false;
#else
  is_settled = true;
#endif
  process_age = 0;
  renewal_age = 0;
  stops = 0;
  newest_session = 0;
  echo_age = 0;
  drop_poll()
}

inline crash_worker() {
  incarnation++;
  up = 0;
  ended = 0;
  refused_below = 0;
  is_fenced = 0;
  lease = 0;
  i = 0;
  do
  :: i < RUNS ->
#ifndef NO_BOUND_CONNECTION
     copies[i] = 0;
     forget_fence(i);
#else
     start_left[i] = (copies[i] > 0 -> NEVER : start_left[i]);
#endif
     i++
  :: else -> break
  od
}

/* Frames and reports. */

inline take_frame() {
  if
  :: frame_kind == ORDER ->
     echo_age = MIN(echo_age, frame_age);
     find_lease_limit();
     if
     :: IS_SERVING && echo_age <= HOME_LEASE ->
        phase[frame_run] = QUEUED;
        session_of[frame_run] = session
     :: else -> ends = ends | B(frame_run)
     fi
  :: frame_kind == STOP && phase[frame_run] != NONE ->
#ifndef NO_STOP_LIMIT
     limit_run(frame_run, left_age);
#endif
     stop_run(frame_run)
  :: else
  fi;
  drop_frame()
}

inline drop_frame() {
  frame_kind = 0;
  frame_session = 0;
  frame_run = 0;
  frame_age = 0
}

inline send_frame(kind) {
  frame_kind = kind;
  frame_session = connection;
  frame_run = open_run;
  frame_age = (kind == ORDER -> STAMP_AGE : 0)
}

/* The guard's timer comes before the home's echo of the report. */
inline send_report() {
  if
  :: echo_age > HOME_LEASE -> stop_runs_of_home()
  :: else
  fi;
  report_session = session;
  report_settled = is_settled;
  report_ends = ends;
  ends = 0;
  report_earlier_runs = false;
  i = 0;
  do
  :: i < ATTEMPTS ->
     report_earlier_runs = report_earlier_runs ||
                           (phase[i] != NONE && session_of[i] != session);
     i++
  :: else -> break
  od
}

inline drop_report() {
  report_session = 0;
  report_age = 0;
  report_settled = false;
  report_earlier_runs = false;
  report_ends = 0
}

/* The home. */

inline forget_run() {
  is_open = false;
  is_orphan = false;
  is_stopped = false;
  open_run = 0;
  run_connection = 0;
  run_peer = 0;
  release_left = 0
}

/* All later frames of the connection follow the stop. */
inline order_stop() {
  if
  :: is_open && !is_orphan && !is_stopped ->
     is_stopped = true;
     send_frame(STOP)
  :: else
  fi
}

inline make_orphan(age) {
  is_orphan = true;
  release_left = REST(RELEASE, age)
}

inline take_report() {
  silence = 0;
  stamp_age = report_age;
  if
  :: is_open && (report_ends & B(open_run)) -> forget_run()
  :: else
  fi;
  if
  :: is_open && is_orphan && run_peer == peer ->
     if
#ifndef NO_REPORT_SPEAKS_OF_RUN
     :: run_connection == connection ->
        is_orphan = false;
        release_left = 0;
        if
        :: has_noticed -> order_stop()
        :: else
        fi
     :: run_connection != connection && !report_earlier_runs -> forget_run()
#else
     :: !report_earlier_runs -> forget_run()
#endif
#ifdef NO_EARLIER_RUNS
     :: run_connection != connection && report_earlier_runs -> forget_run()
#endif
     :: else
     fi
  :: else
  fi;
  if
  :: is_open && report_settled && run_peer != peer -> forget_run()
  :: else
  fi;
  drop_report()
}

inline pass_time() {
  shrink(lease);
  shrink(asked_lease);
  i = 0;
  do
  :: i < RUNS ->
     if
#ifndef NO_WORKER_LEASE
     :: lease == 0 && (up & B(i)) -> end_at_worker(i)
#endif
     :: else
     fi;
     shrink(start_left[i]);
     shrink(limit[i]);
#ifndef NO_START_DEADLINE
     copies[i] = (start_left[i] == 0 && !(awaits_reply & B(i)) -> 0 : copies[i]);
     forget_fence(i);
#endif
     i++
  :: else -> break
  od;
  shrink(release_left);
  if :: !is_settled -> grow(process_age) :: else -> process_age = 0 fi;
  if :: HAS_RUNS -> grow(renewal_age) :: else -> renewal_age = 0 fi;
  if :: session != 0 -> grow(echo_age) :: else fi;
  if :: frame_kind == ORDER -> grow(frame_age) :: else fi;
  if :: connection != 0 -> grow(silence); grow(stamp_age) :: else fi;
  if :: report_session != 0 -> grow(report_age) :: else fi;
  if :: has_left -> grow(left_age) :: else fi
}

#ifndef NO_WAIT_FOR_EARLIER_RUN
#define IS_STARTED(other) (phase[other] > QUEUED)
#define MUST_WAIT(a) \
  ((a != 0 && IS_STARTED(0)) || (a != RUNS / 2 && IS_STARTED(RUNS / 2)) || \
   (a != RUNS - 1 && IS_STARTED(RUNS - 1)))
#else
#define MUST_WAIT(a) false
#endif

inline events_of_run(a) {
  /* The worker. */
  if
  :: copies[a] > 0 -> carry_out_start(a)
  :: (stops & B(a)) -> carry_out_stop(a)
  :: (up & B(a)) ->                  /* The run is done, or fails. */
     end_at_worker(a)

  /* The guard. */
  :: phase[a] == QUEUED && !MUST_WAIT(a) ->
     find_lease_limit();
     if
     :: IS_SERVING && (!IS_OF_HOME(a) ||
        (session_of[a] == session && echo_age <= HOME_LEASE &&
         IS_WITHIN_LEASE)) ->
        phase[a] = STARTING;
        call_start(a)
     :: else
     fi
  :: (awaits_reply & B(a)) ->        /* A start gets no answer in time. */
     awaits_reply = awaits_reply & ~B(a);
     may_have_started = may_have_started | B(a);
     if
     :: phase[a] == STARTING && calls[a] < COPIES -> call_start(a)
     :: else
     fi
  :: phase[a] == RUNNING -> stop_run(a)    /* The run has stalled. */
  fi
}

inline event() {
  if
  :: pass_time()

  /* Runs. */
  :: events_of_run(0)
#if RUNS > 1
  :: events_of_run(1)
#endif
#if RUNS > 2
  :: events_of_run(2)
#endif

  /* The worker. */
  :: incarnation <= CRASHES -> crash_worker()

  /* The guard. */
  :: process <= KILLS -> kill_guard()
  /* An announcement of the worker. */
  :: known < incarnation ->
     if
     :: left = incarnation
     :: known < incarnation - 1 -> left = incarnation - 1
     fi;
     end_incarnation();
     known = left;
     raise_fence();
     i = 0;
     do
     :: i < RUNS ->
        stops = (phase[i] == STOPPING -> stops | B(i) : stops);
        i++
     :: else -> break
     od
  :: known != 0 && !has_answer -> answer_poll()
  /* The poll renews the lease, for any task's runs; a guard has none before it is
     settled. */
  :: known != 0 && has_answered && is_settled ->
     find_lease_limit();
     if
     :: left > 0 ->
        renewal_age = 0;
        lease = (known == incarnation -> MAX(lease, left + SLOW) : lease);
        ask_lease()
     :: else
     fi
  :: has_answer -> drop_poll()
  :: has_answer -> on_poll_answer()
  :: known != 0 -> on_refused_connection()
  :: HAS_RUNS && renewal_age >= LEASE_DURATION -> end_all_runs()
  :: !is_settled && process_age >= LEASE_DURATION -> is_settled = true
  :: connection > newest_session && peer == process ->
     if
     :: session != 0 -> stop_runs_of_home()
     :: else
     fi;
     session = connection;
     newest_session = connection;
     echo_age = OLD;
     ends = 0
  :: session != 0 ->
     stop_runs_of_home();
     session = 0;
     echo_age = 0;
     ends = 0
  :: session != 0 && echo_age > HOME_LEASE && HAS_RUNS -> stop_runs_of_home()
  :: frame_kind != 0 && frame_session == session -> take_frame()
  :: frame_kind != 0 && frame_session != connection -> drop_frame()
  :: session != 0 && report_session == 0 -> send_report()

  /* The home. */
  :: connection == 0 && connections < SESSIONS ->
     connections++;
     connection = connections;
     peer = process;
     silence = 0;
     stamp_age = OLD
  :: connection != 0 ->
     connection = 0;
     peer = 0;
     silence = 0;
     stamp_age = 0;
     if
     :: is_open && !is_orphan -> make_orphan(0)
     :: else
     fi
  :: report_session != 0 && report_session == connection &&
     (!has_noticed || frame_kind == 0) ->
     take_report()
  :: report_session != 0 && report_session != connection -> drop_report()
  :: connection != 0 && silence > HOME_LEASE && is_open && !is_orphan ->
     make_orphan(silence)
  :: is_open && is_orphan && release_left == 0 -> forget_run()
  /* An echo arrives at the guard. */
  :: session != 0 && connection == session && frame_kind == 0 && STAMP_AGE < echo_age ->
     echo_age = STAMP_AGE
  :: connection != 0 && frame_kind == 0 && !is_open && !elsewhere && !has_noticed &&
     next_run < ATTEMPTS ->
     open_run = next_run;
     next_run++;
     is_open = true;
     run_connection = connection;
     run_peer = peer;
     send_frame(ORDER)
  :: !is_open && !elsewhere && !has_noticed && !has_resent ->
     check_start();
     elsewhere = true

#if RESEND + RESEND_HERE > 0
  /* The caller leaves. */
  :: !has_left -> has_left = true
  :: has_left && !has_noticed && frame_kind == 0 -> has_noticed = true; order_stop()
#endif
#if RESEND
  :: has_left && !has_resent && !elsewhere && left_age >= CALLER_RESEND ->
     has_resent = true;
     check_start();
     elsewhere = true
#endif
#if RESEND_HERE
  :: has_left && !has_resent && !elsewhere ->
     find_lease_limit();
     if
     :: IS_SERVING -> phase[RUNS - 1] = QUEUED; has_resent = true
     :: else
     fi
#endif
  fi
}

active proctype World() {
  atomic {
    i = 0;
    do
    :: i < RUNS -> limit[i] = NO_LIMIT; i++
    :: else -> break
    od;
    i = 0
  }
end:
  do
  :: atomic {
       !is_over ->
       event();
       i = 0;
       left = 0;
       is_over = IS_OVER
     }
  od
}
