/*
 * Fence protocol of the execution library: a calling node makes a
 * non-idempotent call at callee 0 and, once that call is proved not to run, at
 * callee 1. Messages are lost, delayed and reordered; callees restart and
 * forget; time passes at any moment. Pauses are delays of all the messages of a
 * process.
 *
 * Checked: the call never runs twice (P5), and it has not run and never runs
 * when the caller is told "not run" (P4).
 *
 * Each of these definitions disables one mechanism, and a violation is found:
 *   NO_FENCE        lost answers are retried without a fence
 *   NO_RECORD       the callee answers a fence without recording it
 *   NO_DEADLINE     the callee runs calls whose deadline has passed
 *   NO_INCARNATION  a restarted callee takes calls and fences of its predecessor
 *   NO_MARGIN       the callee claims "never runs" for records it may have lost
 */

#define CALLEES 2
/* The deadline lies between times 0 and 1, the end of the margin between
 * times 1 and 2. */
#define DEADLINE 1
#define MARGIN_END 2

mtype = { call, fence, answered, never_runs, running, unknown, refused };

/* Kind and incarnation of the callee that the caller means. */
chan requests[CALLEES] = [2] of { mtype, byte };
chan replies[CALLEES] = [2] of { mtype };

byte time = 0;
byte executions = 0;
bool told_not_run = false;

proctype Clock() {
  do
  :: time < MARGIN_END -> time++
  :: break
  od
}

/* The network loses a message, or delivers it; receivers take any message. */
inline Send(channel, kind, incarnation) {
  if
  :: channel ! kind, incarnation
  :: skip
  fi
}

inline Reply(kind) {
  if
  :: nfull(replies[self]) -> replies[self] ! kind
  :: skip
  fi
}

#ifdef NO_DEADLINE
#define TOO_OLD false
#else
#define TOO_OLD (time >= DEADLINE)
#endif

#ifdef NO_INCARNATION
#define IS_OTHER(meant) false
#else
#define IS_OTHER(meant) (meant != incarnation)
#endif

#ifdef NO_MARGIN
#define MAY_BE_FORGOTTEN false
#else
#define MAY_BE_FORGOTTEN (time >= MARGIN_END)
#endif

mtype = { none, runs, done, fenced };

proctype Callee(byte self) {
  byte incarnation = 1;
  byte meant;
  mtype record = none;

  do
  :: atomic { requests[self] ?? call, meant ->
      if
      :: IS_OTHER(meant) -> Reply(refused)
      :: else ->
        if
        :: record == fenced -> Reply(refused)
        :: record == runs || record == done -> skip
        :: record == none && MAY_BE_FORGOTTEN && TOO_OLD -> Reply(unknown)
        :: record == none && !MAY_BE_FORGOTTEN && TOO_OLD -> Reply(refused)
        :: record == none && !TOO_OLD ->
          record = runs;
          executions++;
          assert(executions <= 1);
          assert(!told_not_run)
        fi
      fi
    }
  :: atomic { requests[self] ?? fence, meant ->
      if
      :: IS_OTHER(meant) -> Reply(unknown)
      :: else ->
        if
        :: record == runs -> Reply(running)
        :: record == done -> Reply(answered)
        :: record == fenced -> Reply(never_runs)
        :: record == none && MAY_BE_FORGOTTEN -> Reply(unknown)
        :: record == none && !MAY_BE_FORGOTTEN ->
#ifndef NO_RECORD
          record = fenced;
#endif
          Reply(never_runs)
        fi
      fi
    }
  :: atomic { record == runs -> record = done; Reply(answered) }
  /* Records expire after the margin; calls that run stay. */
  :: atomic { time >= MARGIN_END && (record == done || record == fenced) ->
      record = none
    }
  :: atomic { incarnation < 2 -> incarnation++; record = none }
  :: atomic { timeout -> break }
  od
}

proctype Caller() {
  byte callee = 0;
  byte fences = 0;
  mtype reply;

Attempt:
  Send(requests[callee], call, 1);

Wait:
  do
  :: replies[callee] ?? reply ->
    if
    :: reply == answered -> goto Done
    :: reply == refused || reply == never_runs -> goto NotRun
    :: reply == unknown -> goto Done
    :: reply == running -> skip
    fi
  /* The answer is taken for lost at any moment. */
#ifdef NO_FENCE
  :: goto NotRun
#else
  :: fences < 2 && nfull(requests[callee]) ->
    fences++;
    Send(requests[callee], fence, 1)
  :: goto Done
#endif
  od;

NotRun:
  if
  :: callee + 1 < CALLEES -> callee++; fences = 0; goto Attempt
  :: atomic { true -> told_not_run = true; assert(executions == 0) }
  fi;

Done:
  skip
}

init {
  atomic {
    run Clock();
    run Callee(0);
    run Callee(1);
    run Caller()
  }
}
