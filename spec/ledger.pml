/*
 * Model of the protocol of package ledger for one idempotency key. A home is the
 * node that runs one attempt of a client. Writers change the head of the journal
 * by compare-and-swap. The store can lose responses before or after the write
 * takes effect.
 *
 * A pause, or a crash without a restart, is an execution in which a process takes
 * no further step. A writer that crashes and restarts reads the journal again.
 * The client's next attempt has another home with another fencing token.
 *
 * Each mutant, selected by -D, breaks one rule of the protocol and must violate
 * an assertion.
 */

#ifndef HOMES
#define HOMES 2
#endif
#define WRITERS 2

mtype = { absent, pending, done, withdrawn };            /* States of a record. */
mtype = { create, complete, withdraw };                  /* Operations. */
mtype = { created, existing, too_old, revoked, stored,   /* Responses. */
          removed, rejected, not_written };
mtype = { silent, not_run, may_have_run, result };       /* Verdicts sent to the client. */
mtype = { free, sent, applied, conflict };               /* States of a write; conflict: the
                                                            head had changed. */

typedef Record {
  mtype state = absent;
  byte token;
  byte revoked_tokens  /* Bit set of the withdrawn tokens of other attempts. */
}

/* A write in flight. */
typedef Write {
  mtype state = free;
  bool abandoned;      /* The writer no longer waits for the response. */
  bool current;        /* The head is still the one that the write compares with. */
  bool latest;         /* No other write has been applied since this one. */
  bool floor;
  Record next
}

/* The state of the store. */
bool floor;            /* The key is at or below the floor: its retention period has passed. */
Record head;
Write in_flight[WRITERS];  /* The write in flight of each writer; free if there is none. */
bool current[WRITERS];     /* The head is still the one that the writer has read. */

/* The history, for the assertions. */
byte runs;             /* Dispatches of the key under all tokens. */
byte ran[HOMES + 1];   /* Dispatches by token. */
byte value;            /* The result of the dispatch. */
mtype verdict[HOMES + 1] = silent;
bool trimmed;

/* Requests to the writers in flight. Any writer may receive one, at any time or
   never; withdrawals and completions may be received any number of times. */
bool create_requested[HOMES + 1];
bool withdraw_requested[HOMES + 1];
bool complete_requested[HOMES + 1];

/* Responses to a home in flight. It may receive any of them, at any time or never. */
bool response_created[HOMES + 1];
bool response_pending[HOMES + 1];
bool response_done[HOMES + 1];
byte response_value[HOMES + 1];
bool response_rejected[HOMES + 1];
bool response_not_written[HOMES + 1];
bool response_removed[HOMES + 1];
bool finished_receiving[HOMES + 1];  /* The home receives no more responses. */

#define token_bit(t) (1 << (t))

inline copy(to, from) {
  to.state = from.state;
  to.token = from.token;
  to.revoked_tokens = from.revoked_tokens
}

inline clear(record) {
  record.state = absent;
  record.token = 0;
  record.revoked_tokens = 0
}

/* Clears the content of a free write, so that equivalent states compare equal. */
inline clear_if_free(n) {
  if
  :: in_flight[n].state == free ->
     in_flight[n].current = false;
     in_flight[n].latest = false;
     in_flight[n].floor = false;
     clear(in_flight[n].next)
  :: else -> skip
  fi
}

inline invalidate(n) {
  current[n] = false;
  in_flight[n].current = false;
  in_flight[n].latest = false
}

inline dispatch(attempt) {
  d_step {
    assert(verdict[attempt] != not_run);  /* An attempt whose verdict is "not run" never runs. */
    assert(runs == 0);                    /* A key is dispatched at most once. */
    runs++;
    ran[attempt]++;
    value = attempt
  }
}

inline report_not_run(attempt) {
  d_step {
    assert(ran[attempt] == 0);  /* The verdict is never "not run" if the attempt ran, */
    assert(!(head.state == pending && head.token == attempt)); /* nor while its record is pending. */
    verdict[attempt] = not_run
  }
}

inline report_result(attempt, returned) {
  d_step {
    assert(runs == 1 && returned == value);  /* The returned result is the recorded one. */
    verdict[attempt] = result
  }
}

inline report_may_have_run(attempt) { verdict[attempt] = may_have_run }

/* Applies a write if the head is still the one that it compares with. */
inline apply_write(i) {
  d_step {
    in_flight[i].state == sent ->
    if
#ifdef NO_COMPARE
    :: true ->
#else
    :: in_flight[i].current ->
#endif
       /* No record appears for an attempt whose verdict was "not run". */
       assert(!(in_flight[i].next.state == pending && head.token != in_flight[i].next.token &&
                verdict[in_flight[i].next.token] == not_run));
       /* The record of a run and its result are kept until the retention period ends. */
       assert(in_flight[i].floor || head.state == absent || ran[head.token] == 0 ||
              (in_flight[i].next.token == head.token &&
               (in_flight[i].next.state == done || head.state == pending)));
       copy(head, in_flight[i].next);
       floor = in_flight[i].floor;
       invalidate(0);
       invalidate(1);
       in_flight[i].latest = true;
       in_flight[i].state = applied
#ifndef NO_COMPARE
    :: else -> in_flight[i].state = conflict
#endif
    fi;
    if
    :: in_flight[i].abandoned -> in_flight[i].state = free; in_flight[i].abandoned = false
    :: else -> skip
    fi;
    clear_if_free(i)
  }
}

/* Processes each write once, at any time. */
active proctype store() {
end_store:
  do
  :: apply_write(0)
  :: apply_write(1)
  od
}

/* Evaluates op on the head that the writer has read. It sets response, and next and
   write if the head must change. */
inline evaluate() {
  d_step {
    write = false;
    copy(next, seen);
    if
    :: op == create ->
       if
       :: (seen.revoked_tokens & token_bit(token)) || (seen.state == withdrawn && seen.token == token) ->
          response = revoked
       :: else ->
          if
          :: seen.state == pending || seen.state == done ->
             if
             :: seen.token == token -> response = created
             :: else -> response = existing
             fi
#ifndef EXPIRED_ACCEPTED
          :: (seen.state == absent || seen.state == withdrawn) && seen_floor -> response = too_old
#endif
          :: else ->
             write = true;
             response = created;
             if
             :: seen.state == withdrawn -> next.revoked_tokens = seen.revoked_tokens | token_bit(seen.token)
             :: else -> skip
             fi;
             next.state = pending;
             next.token = token
          fi
       fi
    :: op == complete ->
       if
       :: seen.state == pending && seen.token == token ->
          write = true;
          response = stored;
          next.state = done
       :: seen.state == done && seen.token == token -> response = stored
       :: else -> response = rejected
       fi
    :: op == withdraw ->
#ifdef WITHDRAW_ANY_TOKEN
       write = true;
       response = removed;
       next.state = withdrawn;
       next.token = token
#else
       if
       :: seen.state == done && seen.token == token -> response = rejected
       :: seen.state == withdrawn && seen.token == token -> response = removed
       :: seen.token != token && (seen.revoked_tokens & token_bit(token)) -> response = removed
       :: seen.state == absent && seen_floor -> response = removed
       :: seen.state == done && seen.token != token -> response = removed
       :: seen.state == pending && seen.token != token && !(seen.revoked_tokens & token_bit(token)) ->
          response = removed;
#ifndef REMOVED_UNCONFIRMED
          write = true;  /* The head that was read may be stale: only a write confirms it. */
#endif
          next.revoked_tokens = seen.revoked_tokens | token_bit(token)
       :: else ->
          write = true;
          response = removed;
#ifdef NO_TOMBSTONE
          next.state = absent;
          next.token = 0
#else
          if
          :: seen.state == withdrawn -> next.revoked_tokens = seen.revoked_tokens | token_bit(seen.token)
          :: else -> skip
          fi;
          next.state = withdrawn;
          next.token = token
#endif
       fi
#endif
    fi
  }
}

inline send(i) {
  in_flight[i].state == free ->
  in_flight[i].current = current[w];
  in_flight[i].floor = seen_floor;
  copy(in_flight[i].next, next);
  in_flight[i].state = sent
}

inline respond() {
  if
  :: finished_receiving[token]
  :: else -> send_response()
  fi
}

inline send_response() {
  if
  :: response == created -> response_created[token] = true
  :: response == existing && seen.state == pending -> response_pending[token] = true
  :: response == existing && seen.state == done ->
     response_done[token] = true;
#ifndef EMPTY_RESULT
     response_value[token] = seen.token
#endif
  :: response == too_old || response == revoked -> response_rejected[token] = true
  :: response == not_written -> response_not_written[token] = true
  :: response == removed -> response_removed[token] = true
  :: response == stored || response == rejected
  fi
}

/* Stops waiting for a write, which may take effect later. */
inline abandon_write(i) {
  if
  :: in_flight[i].state == sent -> in_flight[i].abandoned = true
  :: else -> in_flight[i].state = free; clear_if_free(i)
  fi
}

inline unload() {
  loaded = false;
  current[w] = false;
  seen_floor = false;
  clear(seen)
}

inline load() {
  current[w] = true;
  seen_floor = floor;
  copy(seen, head);
  loaded = true
}

inline reset_request() {
  if
  :: w == 0
  :: else -> unload()
  fi;
  op = 0;
  token = 0;
  response = 0;
  write = false;
  clear(next)
}

/* Receives a request of home h. */
inline receive_request(h) {
  atomic {
    if
    :: create_requested[h] -> op = create; create_requested[h] = false
    :: withdraw_requested[h] -> op = withdraw
    :: complete_requested[h] -> op = complete
    fi;
    token = h;
    goto again
  }
}

proctype writer(byte w) {
  mtype op, response;
  byte token;
  bool loaded, seen_floor, write;
  Record seen, next;

idle:
end_idle:
  do
  :: d_step { loaded -> unload() }  /* Crash and restart. */
  :: receive_request(1)
#if HOMES > 1
  :: receive_request(2)
#endif
#ifndef NO_TRIM
  :: atomic {  /* The retention period has passed. */
       w == 0 && !trimmed && head.state != absent && in_flight[w].state == free ->
       trimmed = true;
       load();
       seen_floor = true;
       clear(next);
       send(w);
       in_flight[w].abandoned = true;
       unload()
     }
#endif
  od;

again:
  atomic {
    if
    :: loaded
    :: !loaded -> load()
    fi;
    evaluate();
    if
    :: !write -> respond(); reset_request(); goto idle
    :: write && op == create ->  /* The deadline has passed, or the store rejects the write. */
       response = not_written;
       respond();
       reset_request();
       goto idle
    :: write && in_flight[w].state == free ->
#ifdef ANSWER_EARLY
       respond();
#endif
       send(w)
    fi
  };

waiting:
  if
  :: atomic {
       in_flight[w].state == applied ->
       in_flight[w].state = free;
       current[w] = in_flight[w].latest;
       clear_if_free(w);
       copy(seen, next);
       respond();
       reset_request();
       goto idle
     }
#ifdef BLIND_RETRY
  :: atomic {  /* Writes the record again, whatever the current head is. */
       in_flight[w].state == conflict || in_flight[w].state == applied ->
       in_flight[w].state = free;
       current[w] = true;
       seen_floor = floor;
       send(w);
       goto waiting
     }
#else
  :: atomic {
       /* Another write was applied first; or the response was lost, and the
          retry of the same write failed because its first copy was applied. */
       in_flight[w].state == conflict || in_flight[w].state == applied ->
       in_flight[w].state = free;
       clear_if_free(w);
       unload();
       goto again
     }
#endif
  :: atomic { in_flight[w].state != free -> abandon_write(w); unload(); reset_request(); goto idle }  /* Crash. */
  fi
}

/* Runs one attempt of the client under the token t. unknown_outcome is set once a
   create request has been repeated: the response to the second one does not say
   whether the first one was written. */
proctype home(byte t) {
  bool unknown_outcome;

  create_requested[t] = true;
end_creating:
  do
  :: response_created[t] -> goto owned
  :: atomic {
       response_pending[t] ->
#ifdef REDISPATCH
       dispatch(t);
#endif
       report_may_have_run(t);
       goto finished
     }
  :: atomic { response_done[t] -> report_result(t, response_value[t]); goto finished }
  :: atomic { response_rejected[t] -> report_may_have_run(t); goto finished }
  :: atomic { response_not_written[t] && !unknown_outcome -> report_not_run(t); goto finished }
#ifndef NO_REPEAT
  :: atomic {  /* No response: retries with the same token, at any writer. */
       !unknown_outcome && !create_requested[t] && !response_not_written[t] ->
       unknown_outcome = true;
       create_requested[t] = true
     }
#endif
  :: goto deadline_passed  /* The deadline has passed. */
  od;

deadline_passed:
  atomic {
#ifdef NOT_RUN_WHILE_OPEN
    report_not_run(t);
#else
    report_may_have_run(t);
#endif
#ifndef NO_WITHDRAWAL
    withdraw_requested[t] = true
#endif
  };
#ifdef LATE_DISPATCH
  response_created[t] -> dispatch(t);
#endif
  goto finished;

owned:
  if
#ifndef NO_WITHDRAWAL
  :: goto withdraw_record  /* No target has free capacity. */
#endif
  :: dispatch(t)
  fi;
  if
#ifdef WITHDRAW_AFTER_DISPATCH
  :: goto withdraw_record
#endif
  :: atomic { report_result(t, t); complete_requested[t] = true; goto finished }
  fi;

withdraw_record:
  withdraw_requested[t] = true;
end_withdrawing:
  if
  :: atomic { response_removed[t] -> report_not_run(t); goto finished }
  :: report_may_have_run(t)
  fi;

finished:
  skip;
  d_step {
    finished_receiving[t] = true;
    response_created[t] = false;
    response_pending[t] = false;
    response_done[t] = false;
    response_value[t] = 0;
    response_rejected[t] = false;
    response_not_written[t] = false;
    response_removed[t] = false;
    unknown_outcome = false
  }
}

init {
  byte i;
  atomic {
    i = 0;
    do
    :: i < WRITERS -> run writer(i); i++
    :: else -> break
    od;
    i = 1;
    do
    :: i <= HOMES -> run home(i); i++
    :: else -> break
    od;
    i = 0
  }
}
