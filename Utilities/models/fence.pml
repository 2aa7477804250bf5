/*
 * Model of the fence protocol of the execution library. A calling node sends a
 * non-idempotent call to callee 0 and, after proof that it never runs there, to
 * callee 1. Messages are lost, delayed and reordered; callees restart and lose
 * their records; time advances at any step. The pause of a process is modeled
 * as a delay of all its messages.
 *
 * Properties: the call never runs twice (P5). If the caller is told "not run",
 * the call has not run and never will (P4).
 *
 * Each of these definitions disables one mechanism and must cause a violation:
 *   NO_FENCE        lost answers are retried without a fence
 *   NO_RECORD       the callee answers a fence without recording it
 *   NO_DEADLINE     the callee runs calls whose deadline has passed
 *   NO_INCARNATION  a restarted callee accepts calls and fences addressed to
 *                   its previous incarnation
 *   NO_MARGIN       the callee answers "never runs" although it may have
 *                   dropped the record of the call
 */

#define CALLEES 2
/* The deadline is between times 0 and 1, the end of the margin between times 1
 * and 2. */
#define DEADLINE 1
#define MARGIN_END 2

mtype = { call, fence, answered, never_runs, running, unknown, refused };

/* Message type and the incarnation of the callee that it is addressed to. */
chan requests[CALLEES] = [2] of { mtype, byte };
chan replies[CALLEES] = [2] of { mtype };

byte time = 0;
byte executions = 0;
bool reported_not_run = false;

proctype Clock() {
  do
  :: time < MARGIN_END -> time++
  :: break
  od
}

/* Delivers or drops a message. Receivers accept messages in any order. */
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
#define DEADLINE_PASSED false
#else
#define DEADLINE_PASSED (time >= DEADLINE)
#endif

#ifdef NO_INCARNATION
#define IS_OTHER_INCARNATION(target) false
#else
#define IS_OTHER_INCARNATION(target) (target != incarnation)
#endif

#ifdef NO_MARGIN
#define RECORD_MAY_BE_DROPPED false
#else
#define RECORD_MAY_BE_DROPPED (time >= MARGIN_END)
#endif

mtype = { none, executing, completed, fenced };

proctype Callee(byte self) {
  byte incarnation = 1;
  byte target_incarnation;
  mtype record = none;

  do
  :: atomic { requests[self] ?? call, target_incarnation ->
      if
      :: IS_OTHER_INCARNATION(target_incarnation) -> Reply(refused)
      :: else ->
        if
        :: record == fenced -> Reply(refused)
        :: record == executing || record == completed -> skip
        :: record == none && RECORD_MAY_BE_DROPPED && DEADLINE_PASSED ->
          Reply(unknown)
        :: record == none && !RECORD_MAY_BE_DROPPED && DEADLINE_PASSED ->
          Reply(refused)
        :: record == none && !DEADLINE_PASSED ->
          record = executing;
          executions++;
          assert(executions <= 1);
          assert(!reported_not_run)
        fi
      fi
    }
  :: atomic { requests[self] ?? fence, target_incarnation ->
      if
      :: IS_OTHER_INCARNATION(target_incarnation) -> Reply(unknown)
      :: else ->
        if
        :: record == executing -> Reply(running)
        :: record == completed -> Reply(answered)
        :: record == fenced -> Reply(never_runs)
        :: record == none && RECORD_MAY_BE_DROPPED -> Reply(unknown)
        :: record == none && !RECORD_MAY_BE_DROPPED ->
#ifndef NO_RECORD
          record = fenced;
#endif
          Reply(never_runs)
        fi
      fi
    }
  :: atomic { record == executing -> record = completed; Reply(answered) }
  /* Records expire after the margin, except those of running calls. */
  :: atomic { time >= MARGIN_END && (record == completed || record == fenced) ->
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
  /* The caller may consider the answer lost at any time. */
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
  :: atomic { true -> reported_not_run = true; assert(executions == 0) }
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
