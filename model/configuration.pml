/* Models changes of the operators' configuration. Two operators change it by
   compare-and-swap through entries. The store has outages, and its reply to a write
   that took effect may be lost. Two processes send versions to each other; after a
   restart a process receives its version from the store or from the other process.

   A version is a number. Document 0 is the empty one; documents 1 and 2 are those
   of the operators. Compiling with -DNO_<RULE> removes a rule, see `mutants`. */

#ifndef EDITS
#define EDITS 2                       /* Attempts of each operator. */
#endif
#define OPERATORS 2
#define PROCESSES 2
#define VERSIONS 4

mtype = { TOLD_NOTHING, ACCEPTED, LOST_RACE, DOUBTFUL };

/* The store. Each change by an operator writes the next version. */
byte stored_version = 1;
byte writer[VERSIONS];                /* The operator who wrote a version, or 0. */
byte writes[3];                       /* Writes of each operator that took effect. */

mtype told[3];
byte in_force[PROCESSES];
byte highest[PROCESSES];              /* Highest version ever active at a process. */
bool reverted = false;
bool overwrote = false;               /* A write replaced a change that its
                                         operator had not seen. */

inline adopt(p, version) {
  if
#ifndef NO_ONLY_RISING
  :: version > in_force[p] -> in_force[p] = version
  :: else -> skip
#else
  :: in_force[p] = version
#endif
  fi;
  if
  :: in_force[p] < highest[p] -> reverted = true
  :: else -> highest[p] = in_force[p]
  fi
}

/* Whether the store contains the operator's change, as its latest version or as an
   earlier one. */
#ifndef NO_HISTORY
#define HAS_WRITTEN(me) \
  (writer[2] == (me) || writer[3] == (me))
#else
#define HAS_WRITTEN(me) (writer[stored_version] == (me))
#endif

proctype Operator(byte me) {
  byte base;
  byte read = 0;
  byte tries = 0;
  base = stored_version;              /* The edited version, read at any time. */
end:
  do
  :: tries < EDITS && told[me] != ACCEPTED && told[me] != LOST_RACE ->
     tries++;
     /* Reads the store. In an outage the attempt ends as DOUBTFUL,
        without a write. */
     if
     :: atomic {
          read = stored_version;
          if
#ifndef NO_READ_BACK
          :: HAS_WRITTEN(me) -> told[me] = ACCEPTED
#endif
          :: else ->
             if
             :: read != base -> told[me] = LOST_RACE
             :: else -> skip
             fi
          fi
        }
     :: told[me] = DOUBTFUL
     fi;
     /* Writes by compare-and-swap. The reply may be lost after the write took
        effect. */
     if
     :: told[me] == ACCEPTED || told[me] == LOST_RACE || read == 0 -> skip
     :: else ->
        atomic {
          if
#ifndef NO_COMPARE
          :: stored_version == read && stored_version < VERSIONS - 1 ->
#else
          :: stored_version < VERSIONS - 1 ->
#endif
             overwrote = overwrote || stored_version != base;
             stored_version++;
             writer[stored_version] = me;
             writes[me]++;
             if
             :: told[me] = ACCEPTED
             :: told[me] = DOUBTFUL
             fi
          :: else ->
             if
             :: told[me] = LOST_RACE
             :: told[me] = DOUBTFUL
             fi
          fi
        }
     fi;
     read = 0
  :: else -> break
  od
}

/* A process with a configuration. It receives the versions of the store late and in
   any order, and those of the other process. */
proctype Process(byte p) {
  byte seen;
  byte restarts = 1;
end:
  do
  :: atomic {
       select(seen : 1 .. 3);
       if
       :: seen <= stored_version -> adopt(p, seen)
       :: else -> skip
       fi;
       seen = 0
     }
  :: atomic { in_force[1 - p] != 0 -> adopt(p, in_force[1 - p]) }
  :: atomic {
       restarts > 0 ->
       restarts--;
       in_force[p] = 0;
       highest[p] = 0                  /* A new process cannot revert. */
     }
  od
}

#define AT_MOST_ONCE (writes[1] <= 1 && writes[2] <= 1)
#define ACCEPTED_IS_TRUE \
  (!(told[1] == ACCEPTED && writes[1] == 0) && \
   !(told[2] == ACCEPTED && writes[2] == 0))
#define NOTHING_OVERWRITTEN (!overwrote)
#define LOST_IS_TRUE \
  (!(told[1] == LOST_RACE && writes[1] > 0) && \
   !(told[2] == LOST_RACE && writes[2] > 0))

active proctype Monitor() {
end:
  atomic {
    !(NOTHING_OVERWRITTEN && AT_MOST_ONCE && ACCEPTED_IS_TRUE && LOST_IS_TRUE && !reverted) ->
    assert(NOTHING_OVERWRITTEN);
    assert(AT_MOST_ONCE);
    assert(ACCEPTED_IS_TRUE);
    assert(LOST_IS_TRUE);
    assert(!reverted)
  }
}

init {
  atomic {
    told[1] = TOLD_NOTHING;
    told[2] = TOLD_NOTHING;
    run Operator(1);
    run Operator(2);
    run Process(0);
    run Process(1)
  }
}
