/*
 * Replacement of a group's leader through the platform's orders.
 *
 * Three instances, two proxies that may promote, one tracked commit.  Property:
 * an acknowledged commit is in the log of every instance that comes to lead,
 * and no replaced leader acknowledges.  A proxy may stop for any time between
 * two of its steps; an order may get no answer and be carried out at any later
 * moment, also after newer ones; nobody but the proxies checks its token
 * (UNFENCED), or the platform refuses older ones (the default).  An instance may
 * begin anew without its log, once.  Instances that are cut off or dead simply
 * take no step.
 *
 * The mutants leave out one guard each; see Utilities/check-model.
 */

#define N 3
#define MAX_TERM 3
/* A claim and an order for each of two attempts. */
#define MAX_REVISION 4
#define MAX_WRITES 2
#ifndef PROXIES
#define PROXIES 1
#endif
#ifndef REBIRTHS
#define REBIRTHS 0
#endif
#define PER_TERM 4
#define NOBODY 3

/* An instance: adopted term, log end as term * PER_TERM + index. */
byte term[N] = 1;
byte end[N] = PER_TERM;
bool leads[N];
bool holds[N];
/* Term up to which it has stopped receiving. */
byte held[N];
/* It began anew without its log. */
bool reborn[N];

bool written, acknowledged;
byte newest = 1;
byte writes, rebirths;

/* Instances that left for good; one bit each.  A copy was lost with them until
 * the leader's end was seen afterwards. */
byte gone;
bool lost_copy;
#define IS_GONE(i) ((gone & (1 << (i))) != 0)

/* The record in the store. */
byte revision;
bool contested;
byte floor = PER_TERM;
byte leader;
/* Instances whose promotion was ordered; one bit each. */
byte may_lead;

/* Orders that got no answer: token, or 0. */
byte late[N];
byte seen_token;

inline select_leader() {
  if
  :: leads[0] -> l = 0
  :: leads[1] -> l = 1
  :: leads[2] -> l = 2
  fi
}

inline roll_back(i, l) {
  if
  :: end[i] > end[l] -> end[i] = end[l]; holds[i] = holds[l]
  :: else
  fi
}

inline take_lead(c) {
  d_step {
    /* The platform's word: the instance leads with what it had. */
    assert(!(acknowledged && !holds[c]));
    newest = newest + 1;
    leads[c] = true; term[c] = newest; held[c] = 0;
#ifndef UNFENCED
    leads[(c + 1) % N] = false; leads[(c + 2) % N] = false;
#endif
  }
  /* The others follow at once, or hear of it later. */
  if
  :: !IS_GONE((c + 1) % N) -> term[(c + 1) % N] = newest; held[(c + 1) % N] = 0;
     leads[(c + 1) % N] = false;
     roll_back((c + 1) % N, c)
  :: skip
  fi;
  if
  :: !IS_GONE((c + 2) % N) -> term[(c + 2) % N] = newest; held[(c + 2) % N] = 0;
     leads[(c + 2) % N] = false;
     roll_back((c + 2) % N, c)
  :: skip
  fi
}

inline carry_out(c, token) {
  if
#ifndef UNFENCED
  :: token < seen_token -> skip
#endif
  :: IS_GONE(c) ->
     /* Refused; the platform has seen the token all the same. */
     if
     :: token > seen_token -> seen_token = token
     :: else
     fi
  :: (leads[c] && term[c] == newest) -> seen_token = token
  :: (!(leads[c] && term[c] == newest) && newest < MAX_TERM && !IS_GONE(c)
#ifndef UNFENCED
      && token >= seen_token
#endif
     ) ->
     seen_token = token;
     take_lead(c)
  :: else -> skip
  fi
}

/* Instances write, receive, acknowledge and begin anew. */
active proctype Instances() {
  byte l, i;
  do
  :: atomic {
       select_leader();
       writes < MAX_WRITES -> writes++;
       if
       :: end[l] / PER_TERM == term[l] -> end[l] = end[l] + 1
       :: else -> end[l] = term[l] * PER_TERM + 1
       fi;
       if
       :: !written -> written = true; holds[l] = true
       :: skip
       fi;
       l = 0
     }
  :: atomic {
       select_leader();
       if
       :: i = (l + 1) % N
       :: i = (l + 2) % N
       fi;
       if
       :: (!leads[i] && !IS_GONE(i) && term[i] <= term[l] && held[i] <= term[l] &&
           (end[i] != end[l] || term[i] != term[l])) ->
          if
          :: (holds[l] && !holds[i] && !acknowledged) ->
             acknowledged = true;
             /* A replaced leader acknowledges nothing. */
             assert(term[l] == newest)
          :: else
          fi;
          end[i] = end[l]; holds[i] = holds[l]; term[i] = term[l];
          reborn[i] = false
       :: else
       fi;
       l = 0; i = 0
     }
  /* One leaves for good. */
  :: atomic {
       gone == 0 ->
       if
       :: i = 0
       :: i = 1
       :: i = 2
       fi;
       gone = 1 << i; leads[i] = false; lost_copy = lost_copy || i != leader;
       i = 0
     }
  /* A proxy sees the leader's end. */
  :: atomic {
       (lost_copy && leads[leader] && term[leader] == newest) ->
       lost_copy = false;
       if
       :: end[leader] > floor -> floor = end[leader]
       :: else
       fi
     }
  :: atomic {
       rebirths < REBIRTHS ->
       if
       :: i = 0
       :: i = 1
       :: i = 2
       fi;
       /* Assumed not to happen between the last question and the order's
        * effect: an order names no life, and nothing can be asked meanwhile. */
       (!leads[i] && !IS_GONE(i) && may_lead == 0) -> rebirths++;
       end[i] = 0; holds[i] = false; held[i] = 0; term[i] = 0;
       reborn[i] = true; i = 0
     }
  /* A late order is carried out. */
  :: atomic { late[0] != 0 -> i = late[0]; late[0] = 0; carry_out(0, i); i = 0 }
  :: atomic { late[1] != 0 -> i = late[1]; late[1] = 0; carry_out(1, i); i = 0 }
  :: atomic { late[2] != 0 -> i = late[2]; late[2] = 0; carry_out(2, i); i = 0 }
  od
}

/* Counts instance i as stopped for this attempt, if it answers. */
inline ask_to_stop(i) {
  if
  :: atomic {
       !IS_GONE(i) ->
       if
       :: i == primary ->
          if
          :: (leads[i] && term[i] < wanted) -> leads[i] = false
          :: else
          fi;
          if
          :: !leads[i] && !reborn[i] -> stopped = stopped | (1 << i)
          :: else
          fi
       :: else ->
          held[i] = wanted;
          stopped = stopped | (1 << i);
          if
          :: reborn[i] -> loss = true
          :: else
          fi
       fi;
       ends[i] = end[i];
       if
       :: term[i] >= wanted -> fresh = false
       :: else
       fi
     }
  :: skip
  fi
}

/* A stopped instance is as it answered. */
#define STILL_STOPPED(i) ((stopped & (1 << i)) == 0 || \
                          (i == primary && !leads[i] && end[i] >= ends[i]) || \
                          (i != primary && held[i] >= wanted && \
                           end[i] == ends[i]))

proctype Promoter() {
  byte mine, wanted, stopped, chosen, i, primary, best, others;
  byte ends[N];
  bool loss, fresh;
  do
  :: atomic {
       /* Claim the record against its revision. */
       revision < MAX_REVISION ->
       revision = revision + 1; mine = revision; contested = true;
       primary = leader; stopped = 0; loss = false; fresh = true;
       wanted = newest + 1; chosen = NOBODY
     }
     ask_to_stop(0); ask_to_stop(1); ask_to_stop(2);
     d_step {
       /* Who left can confirm nothing any more. */
       others = (stopped | gone) & (7 - (1 << primary));
       loss = loss || lost_copy;
       /* No commit can be acknowledged any more. */
       if
       :: (fresh && ((stopped & (1 << primary)) != 0 ||
                     others == 7 - (1 << primary))) ->
          best = 0; i = 0;
          do
          :: i < N ->
             if
             :: ((stopped & (1 << i)) != 0 &&
#ifndef MUTANT_NO_FLOOR
                 ends[i] >= floor &&
#endif
#ifndef MUTANT_NO_LOSS
                 (!loss || ((stopped & (1 << primary)) != 0 &&
                            ends[i] >= ends[primary])) &&
#endif
#ifdef MUTANT_SHORT_LOG
                 true) ->
#else
                 (chosen == NOBODY || ends[i] > best)) ->
#endif
                chosen = i; best = ends[i]
             :: else
             fi;
             i++
          :: else -> break
          od;
          i = 0
       :: else
       fi;
       others = 0
     }
     if
     :: (chosen != NOBODY) ->
        d_step {
          /* An order without an answer may still be carried out.  Where the
           * platform checks tokens, the same instance is ordered again, which
           * ends the former order; elsewhere no other one is chosen. */
          if
#ifndef MUTANT_ANY_CANDIDATE
          :: (may_lead != 0 && may_lead != (1 << chosen)) ->
#ifdef UNFENCED
             chosen = NOBODY
#else
             chosen = (may_lead == 1 -> 0 : (may_lead == 2 -> 1 : 2));
             best = floor
#endif
#endif
          :: else
          fi
        }
     :: else
     fi;
     if
     :: chosen != NOBODY ->
        /* All is still as it was, and the order is on record before it is
         * given. */
        atomic {
          if
          :: ((revision == mine
               )
#ifndef MUTANT_NO_RECHECK
              && STILL_STOPPED(0) && STILL_STOPPED(1) && STILL_STOPPED(2) &&
              !(reborn[chosen])
#endif
              && revision < MAX_REVISION) ->
             revision = revision + 1; mine = revision;
             may_lead = may_lead | (1 << chosen);
             if
             :: best > floor -> floor = best
             :: else
             fi
          :: else -> chosen = NOBODY
          fi
        };
        if
        :: chosen != NOBODY ->
           if
           :: /* Answered. */
              atomic {
#ifdef UNFENCED
                /* A token that another holder may have passed is not used. */
                (revision == mine) ->
#endif
                carry_out(chosen, mine);
                if
#ifndef UNFENCED
                :: (revision == mine && IS_GONE(chosen)) -> may_lead = 0
#endif
                :: (revision == mine && leads[chosen] &&
                    term[chosen] == newest) ->
                   leader = chosen; contested = false;
#ifdef UNFENCED
                   /* What got no answer may still come. */
                   if
                   :: late[chosen] == 0 -> may_lead = 0
                   :: else
                   fi
#else
                   may_lead = 0
#endif
                :: else
                fi
              }
#ifdef UNFENCED
           :: revision != mine
#endif
           :: /* No answer: it may come at any time. */
              atomic {
#ifdef UNFENCED
                (revision == mine) ->
#endif
                late[chosen] = mine
              }
           fi
        :: else
        fi
     :: else
     fi;
     d_step {
       mine = 0; wanted = 0; stopped = 0; chosen = 0; best = 0; primary = 0;
       ends[0] = 0; ends[1] = 0; ends[2] = 0; loss = false; fresh = false
     }
  :: revision >= MAX_REVISION -> break
  od
}

init {
  atomic {
    leads[0] = true;
    run Promoter();
#if PROXIES > 1
    run Promoter()
#else
    skip
#endif
  }
}
