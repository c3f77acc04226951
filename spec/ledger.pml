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
          removed, refused, not_written };
mtype = { silent, not_run, may_have_run, result };       /* Verdicts sent to the client. */
mtype = { free, sent, applied, outrun };                 /* States of a write; outrun: the head had changed. */

typedef Record {
  mtype state = absent;
  byte token;
  byte barred          /* Bit set of the withdrawn tokens of other attempts. */
}

/* A write in flight. */
typedef Sending {
  mtype state = free;
  bool forgotten;      /* The writer no longer waits for the response. */
  bool current;        /* The head is still the one that the write compares with. */
  bool latest;         /* No other write has been applied since this one. */
  bool floor;
  Record next
}

/* The state of the store. */
bool floor;            /* The key is at or below the floor: its retention period has passed. */
Record head;
Sending slot[WRITERS];  /* The write in flight of each writer. */
bool current[WRITERS];  /* The head is still the one that the writer has read. */

/* The history, for the assertions. */
byte runs;             /* Dispatches of the key under all tokens. */
byte ran[HOMES + 1];   /* Dispatches by token. */
byte value;            /* The result of the dispatch. */
mtype verdict[HOMES + 1] = silent;
bool trimmed;

/* Messages to the writers in flight. Any writer may receive one, at any time or
   never; withdrawals and completions may be received any number of times. */
bool create_asked[HOMES + 1];
bool withdraw_asked[HOMES + 1];
bool complete_asked[HOMES + 1];

/* Responses to a home in flight. It may receive any of them, at any time or never. */
bool told_created[HOMES + 1];
bool told_pending[HOMES + 1];
bool told_done[HOMES + 1];
byte told_value[HOMES + 1];
bool told_refused[HOMES + 1];
bool told_not_written[HOMES + 1];
bool told_removed[HOMES + 1];
bool over[HOMES + 1];  /* The home receives no more responses. */

#define barred_bit(t) (1 << (t))

inline copy(to, from) {
  to.state = from.state;
  to.token = from.token;
  to.barred = from.barred
}

inline clear(record) {
  record.state = absent;
  record.token = 0;
  record.barred = 0
}

/* Clears the content of a free slot, so that equivalent states compare equal. */
inline clear_if_free(n) {
  if
  :: slot[n].state == free ->
     slot[n].current = false;
     slot[n].latest = false;
     slot[n].floor = false;
     clear(slot[n].next)
  :: else -> skip
  fi
}

inline outdate(n) {
  current[n] = false;
  slot[n].current = false;
  slot[n].latest = false
}

inline dispatch(who) {
  d_step {
    assert(verdict[who] != not_run);  /* An attempt whose verdict is "not run" never runs. */
    assert(runs == 0);              /* A key is dispatched at most once. */
    runs++;
    ran[who]++;
    value = who
  }
}

inline say_not_run(who) {
  d_step {
    assert(ran[who] == 0);            /* The verdict is never "not run" if the attempt ran, */
    assert(!(head.state == pending && head.token == who));  /* nor while its record is pending. */
    verdict[who] = not_run
  }
}

inline say_result(who, what) {
  d_step {
    assert(runs == 1 && what == value);  /* The returned result is the recorded one. */
    verdict[who] = result
  }
}

inline say_may_have_run(who) { verdict[who] = may_have_run }

/* Applies a write if the head is still the one that it compares with. */
inline take(i) {
  d_step {
    slot[i].state == sent ->
    if
#ifdef NO_COMPARE
    :: true ->
#else
    :: slot[i].current ->
#endif
       /* No record appears for an attempt whose verdict was "not run". */
       assert(!(slot[i].next.state == pending && head.token != slot[i].next.token &&
                verdict[slot[i].next.token] == not_run));
       /* The record of a run and its result are kept until the retention period ends. */
       assert(slot[i].floor || head.state == absent || ran[head.token] == 0 ||
              (slot[i].next.token == head.token &&
               (slot[i].next.state == done || head.state == pending)));
       copy(head, slot[i].next);
       floor = slot[i].floor;
       outdate(0);
       outdate(1);
       slot[i].latest = true;
       slot[i].state = applied
#ifndef NO_COMPARE
    :: else -> slot[i].state = outrun
#endif
    fi;
    if
    :: slot[i].forgotten -> slot[i].state = free; slot[i].forgotten = false
    :: else -> skip
    fi;
    clear_if_free(i)
  }
}

/* Processes each write once, at any time. */
active proctype store() {
end_store:
  do
  :: take(0)
  :: take(1)
  od
}

/* Evaluates op on the head that the writer has read. It sets answer, and next and
   write if the head must change. */
inline decide() {
  d_step {
    write = false;
    copy(next, seen);
    if
    :: op == create ->
       if
       :: (seen.barred & barred_bit(token)) || (seen.state == withdrawn && seen.token == token) ->
          answer = revoked
       :: else ->
          if
          :: seen.state == pending || seen.state == done ->
             if
             :: seen.token == token -> answer = created
             :: else -> answer = existing
             fi
#ifndef EXPIRED_ACCEPTED
          :: (seen.state == absent || seen.state == withdrawn) && seen_floor -> answer = too_old
#endif
          :: else ->
             write = true;
             answer = created;
             if
             :: seen.state == withdrawn -> next.barred = seen.barred | barred_bit(seen.token)
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
          answer = stored;
          next.state = done
       :: seen.state == done && seen.token == token -> answer = stored
       :: else -> answer = refused
       fi
    :: op == withdraw ->
#ifdef WITHDRAW_ANY_TOKEN
       write = true;
       answer = removed;
       next.state = withdrawn;
       next.token = token
#else
       if
       :: seen.state == done && seen.token == token -> answer = refused
       :: seen.state == withdrawn && seen.token == token -> answer = removed
       :: seen.token != token && (seen.barred & barred_bit(token)) -> answer = removed
       :: seen.state == absent && seen_floor -> answer = removed
       :: seen.state == done && seen.token != token -> answer = removed
       :: seen.state == pending && seen.token != token && !(seen.barred & barred_bit(token)) ->
          answer = removed;
#ifndef REMOVED_UNCONFIRMED
          write = true;  /* The head that was read may be stale: only a write confirms it. */
#endif
          next.barred = seen.barred | barred_bit(token)
       :: else ->
          write = true;
          answer = removed;
#ifdef NO_TOMBSTONE
          next.state = absent;
          next.token = 0
#else
          if
          :: seen.state == withdrawn -> next.barred = seen.barred | barred_bit(seen.token)
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
  slot[i].state == free ->
  slot[i].current = current[w];
  slot[i].floor = seen_floor;
  copy(slot[i].next, next);
  slot[i].state = sent
}

inline reply() {
  if
  :: over[token]
  :: else -> tell()
  fi
}

inline tell() {
  if
  :: answer == created -> told_created[token] = true
  :: answer == existing && seen.state == pending -> told_pending[token] = true
  :: answer == existing && seen.state == done ->
     told_done[token] = true;
#ifndef EMPTY_RESULT
     told_value[token] = seen.token
#endif
  :: answer == too_old || answer == revoked -> told_refused[token] = true
  :: answer == not_written -> told_not_written[token] = true
  :: answer == removed -> told_removed[token] = true
  :: answer == stored || answer == refused
  fi
}

/* Stops waiting for a write, which may take effect later. */
inline forget(i) {
  if
  :: slot[i].state == sent -> slot[i].forgotten = true
  :: else -> slot[i].state = free; clear_if_free(i)
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

inline rest() {
  if
  :: w == 0
  :: else -> unload()
  fi;
  op = 0;
  token = 0;
  answer = 0;
  write = false;
  clear(next)
}

/* Receives a message of home h. */
inline take_message(h) {
  atomic {
    if
    :: create_asked[h] -> op = create; create_asked[h] = false
    :: withdraw_asked[h] -> op = withdraw
    :: complete_asked[h] -> op = complete
    fi;
    token = h;
    goto again
  }
}

proctype writer(byte w) {
  mtype op, answer;
  byte token;
  bool loaded, seen_floor, write;
  Record seen, next;

idle:
end_idle:
  do
  :: d_step { loaded -> unload() }  /* Crash and restart. */
  :: take_message(1)
#if HOMES > 1
  :: take_message(2)
#endif
#ifndef NO_TRIM
  :: atomic {  /* The retention period has passed. */
       w == 0 && !trimmed && head.state != absent && slot[w].state == free ->
       trimmed = true;
       load();
       seen_floor = true;
       clear(next);
       send(w);
       slot[w].forgotten = true;
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
    decide();
    if
    :: !write -> reply(); rest(); goto idle
    :: write && op == create ->  /* The deadline has passed, or the store refuses the write. */
       answer = not_written;
       reply();
       rest();
       goto idle
    :: write && slot[w].state == free ->
#ifdef ANSWER_EARLY
       reply();
#endif
       send(w)
    fi
  };

waiting:
  if
  :: atomic {
       slot[w].state == applied ->
       slot[w].state = free;
       current[w] = slot[w].latest;
       clear_if_free(w);
       copy(seen, next);
       reply();
       rest();
       goto idle
     }
#ifdef BLIND_RETRY
  :: atomic {  /* Sends the record again, over whatever head there is. */
       slot[w].state == outrun || slot[w].state == applied ->
       slot[w].state = free;
       current[w] = true;
       seen_floor = floor;
       send(w);
       goto waiting
     }
#else
  :: atomic {
       /* Another write was applied first; or the response was lost, and the
          retry of the same write failed because its first copy was applied. */
       slot[w].state == outrun || slot[w].state == applied ->
       slot[w].state = free;
       clear_if_free(w);
       unload();
       goto again
     }
#endif
  :: atomic { slot[w].state != free -> forget(w); unload(); rest(); goto idle }  /* Crash. */
  fi
}

/* Runs one attempt of the client under the token t. */
proctype home(byte t) {
  bool open;

  create_asked[t] = true;
end_asked:
  do
  :: told_created[t] -> goto own
  :: atomic {
       told_pending[t] ->
#ifdef REDISPATCH
       dispatch(t);
#endif
       say_may_have_run(t);
       goto finished
     }
  :: atomic { told_done[t] -> say_result(t, told_value[t]); goto finished }
  :: atomic { told_refused[t] -> say_may_have_run(t); goto finished }
  :: atomic { told_not_written[t] && !open -> say_not_run(t); goto finished }
#ifndef NO_REPEAT
  :: atomic {  /* No response: retries with the same token, at any writer. */
       !open && !create_asked[t] && !told_not_written[t] ->
       open = true;
       create_asked[t] = true
     }
#endif
  :: goto abandon  /* The deadline has passed. */
  od;

abandon:
  atomic {
#ifdef NOT_RUN_WHILE_OPEN
    say_not_run(t);
#else
    say_may_have_run(t);
#endif
#ifndef NO_WITHDRAWAL
    withdraw_asked[t] = true
#endif
  };
#ifdef LATE_DISPATCH
  told_created[t] -> dispatch(t);
#endif
  goto finished;

own:
  if
#ifndef NO_WITHDRAWAL
  :: goto give_up    /* No target has free capacity. */
#endif
  :: dispatch(t)
  fi;
  if
#ifdef WITHDRAW_AFTER_DISPATCH
  :: goto give_up
#endif
  :: atomic { say_result(t, t); complete_asked[t] = true; goto finished }
  fi;

give_up:
  withdraw_asked[t] = true;
end_withdrawing:
  if
  :: atomic { told_removed[t] -> say_not_run(t); goto finished }
  :: say_may_have_run(t)
  fi;

finished:
  skip;
  d_step {
    over[t] = true;
    told_created[t] = false;
    told_pending[t] = false;
    told_done[t] = false;
    told_value[t] = 0;
    told_refused[t] = false;
    told_not_written[t] = false;
    told_removed[t] = false;
    open = false
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
