/*
 * Replacement of a group's leader by commands to the platform.
 *
 * Three instances, up to two proxies that may promote (PROXIES), one tracked
 * commit.  Property: an acknowledged commit is in the log of every instance
 * that becomes leader, and no replaced leader acknowledges a commit.  A proxy
 * may stop for any time between two of its steps.  A command may get no
 * response and be executed at any later moment, also after newer ones.  By
 * default the platform refuses commands with an older token; with UNFENCED it
 * executes every command, and must receive no token below an earlier one.  An
 * instance may restart without its log
 * (MAX_RESTARTS).  Instances that are isolated or failed take no step.
 *
 * Each mutant leaves out one guard; see Utilities/check-model.
 */

#define N 3
#define MAX_TERM 3
/* Two attempts, each with a claim of the record and a command. */
#define MAX_REVISION 4
#define MAX_WRITES 2
#ifndef PROXIES
#define PROXIES 1
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 0
#endif
#define ENTRIES_PER_TERM 4
#define NO_INSTANCE 3

/* An instance: adopted term, log end as term * ENTRIES_PER_TERM + index. */
byte term[N] = 1;
byte log_end[N] = ENTRIES_PER_TERM;
bool leads[N];
bool has_commit[N];
/* Term up to which its replication is paused. */
byte paused_term[N];
/* It restarted without its log. */
bool log_lost[N];

bool written, acknowledged;
byte newest_term = 1;
byte writes, restarts;

/* Bit mask of the instances that left permanently.  A copy of the commit may be
 * lost with one, until a proxy reads the leader's log end afterwards. */
byte removed;
bool lost_copy;
#define IS_REMOVED(i) ((removed & (1 << (i))) != 0)

/* The failover record in the store. */
byte revision;
bool in_progress;
byte floor = ENTRIES_PER_TERM;
byte leader;
/* Bit mask of the instances whose promotion was commanded. */
byte possible_leaders;

/* Token of the command to each instance that got no response, or 0. */
byte pending_token[N];
byte newest_token;

inline select_leader() {
  if
  :: leads[0] -> l = 0
  :: leads[1] -> l = 1
  :: leads[2] -> l = 2
  fi
}

inline truncate_log(i, l) {
  if
  :: log_end[i] > log_end[l] ->
     log_end[i] = log_end[l]; has_commit[i] = has_commit[l]
  :: else
  fi
}

inline become_leader(c) {
  d_step {
    /* The platform makes the instance leader with the log that it has. */
    assert(!(acknowledged && !has_commit[c]));
    newest_term = newest_term + 1;
    leads[c] = true; term[c] = newest_term; paused_term[c] = 0;
#ifndef UNFENCED
    leads[(c + 1) % N] = false; leads[(c + 2) % N] = false;
#endif
  }
  /* Each other instance adopts the term now or later. */
  if
  :: !IS_REMOVED((c + 1) % N) ->
     term[(c + 1) % N] = newest_term; paused_term[(c + 1) % N] = 0;
     leads[(c + 1) % N] = false;
     truncate_log((c + 1) % N, c)
  :: skip
  fi;
  if
  :: !IS_REMOVED((c + 2) % N) ->
     term[(c + 2) % N] = newest_term; paused_term[(c + 2) % N] = 0;
     leads[(c + 2) % N] = false;
     truncate_log((c + 2) % N, c)
  :: skip
  fi
}

inline execute_promotion(c, token) {
#ifdef UNFENCED
  assert(token >= newest_token);
#endif
  if
#ifndef UNFENCED
  :: token < newest_token -> skip
#endif
  :: IS_REMOVED(c) ->
     /* Refused, but the platform records the token. */
     if
     :: token > newest_token -> newest_token = token
     :: else
     fi
  :: (leads[c] && term[c] == newest_term) -> newest_token = token
  :: (!(leads[c] && term[c] == newest_term) && newest_term < MAX_TERM &&
      !IS_REMOVED(c)
#ifndef UNFENCED
      && token >= newest_token
#endif
     ) ->
     newest_token = token;
     become_leader(c)
  :: else -> skip
  fi
}

/* Instances write, replicate, acknowledge, leave and restart. */
active proctype Instances() {
  byte l, i;
  do
  :: atomic {
       select_leader();
       writes < MAX_WRITES -> writes++;
       if
       :: log_end[l] / ENTRIES_PER_TERM == term[l] ->
          log_end[l] = log_end[l] + 1
       :: else -> log_end[l] = term[l] * ENTRIES_PER_TERM + 1
       fi;
       if
       :: !written -> written = true; has_commit[l] = true
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
       :: (!leads[i] && !IS_REMOVED(i) && term[i] <= term[l] &&
           paused_term[i] <= term[l] &&
           (log_end[i] != log_end[l] || term[i] != term[l])) ->
          if
          :: (has_commit[l] && !has_commit[i] && !acknowledged) ->
             acknowledged = true;
             /* A replaced leader acknowledges no commit. */
             assert(term[l] == newest_term)
          :: else
          fi;
          log_end[i] = log_end[l]; has_commit[i] = has_commit[l];
          term[i] = term[l]; log_lost[i] = false
       :: else
       fi;
       l = 0; i = 0
     }
  /* One instance leaves permanently. */
  :: atomic {
       removed == 0 ->
       if
       :: i = 0
       :: i = 1
       :: i = 2
       fi;
       removed = 1 << i; leads[i] = false; lost_copy = lost_copy || i != leader;
       i = 0
     }
  /* A proxy reads the leader's log end. */
  :: atomic {
       (lost_copy && leads[leader] && term[leader] == newest_term) ->
       lost_copy = false;
       if
       :: log_end[leader] > floor -> floor = log_end[leader]
       :: else
       fi
     }
  :: atomic {
       restarts < MAX_RESTARTS ->
       if
       :: i = 0
       :: i = 1
       :: i = 2
       fi;
       /* Assumed not to happen between the last status request and the effect
        * of a command: a command names no incarnation, and no request can be
        * made in between. */
       (!leads[i] && !IS_REMOVED(i) && possible_leaders == 0) -> restarts++;
       log_end[i] = 0; has_commit[i] = false; paused_term[i] = 0; term[i] = 0;
       log_lost[i] = true; i = 0
     }
#ifdef UNFENCED
  /* A command that got no response is never executed. */
  :: atomic { pending_token[0] != 0 -> pending_token[0] = 0 }
  :: atomic { pending_token[1] != 0 -> pending_token[1] = 0 }
  :: atomic { pending_token[2] != 0 -> pending_token[2] = 0 }
#endif
  /* A command that got no response is executed late. */
  :: atomic {
       pending_token[0] != 0 -> i = pending_token[0]; pending_token[0] = 0;
       execute_promotion(0, i); i = 0
     }
  :: atomic {
       pending_token[1] != 0 -> i = pending_token[1]; pending_token[1] = 0;
       execute_promotion(1, i); i = 0
     }
  :: atomic {
       pending_token[2] != 0 -> i = pending_token[2]; pending_token[2] = 0;
       execute_promotion(2, i); i = 0
     }
  od
}

/* Counts instance i as stopped for this attempt if it responds. */
inline request_stop(i) {
  if
  :: atomic {
       !IS_REMOVED(i) ->
       if
       :: i == primary ->
          if
          :: (leads[i] && term[i] < target_term) -> leads[i] = false
          :: else
          fi;
          if
          :: !leads[i] && !log_lost[i] -> stopped = stopped | (1 << i)
          :: else
          fi;
          if
#ifndef MUTANT_NO_PAUSE
          :: (!leads[i] && possible_leaders != 0) ->
             paused_term[i] = target_term
#endif
          :: else
          fi
       :: else ->
          paused_term[i] = target_term;
          stopped = stopped | (1 << i);
          if
          :: log_lost[i] -> may_lack_commits = true
          :: else
          fi
       fi;
       reported_end[i] = log_end[i];
       if
       :: term[i] >= target_term -> is_newest_term = false
       :: else
       fi
     }
  :: skip
  fi
}

/* A stopped instance is still in the state that it reported. */
#define STILL_STOPPED(i) ((stopped & (1 << i)) == 0 || \
    (i == primary && !leads[i] && log_end[i] >= reported_end[i]) || \
    (i != primary && paused_term[i] >= target_term && \
     log_end[i] == reported_end[i]))

/* The lifetime of the commands that the record names has ended.  The time that
 * the proxies wait covers the time for which a command may be sent, and that for
 * which it may be executed without a response. */
#define IS_EXPIRED \
    (pending_token[0] == 0 && pending_token[1] == 0 && pending_token[2] == 0)

/* Instance j may have been promoted by an expired command, and one that is not
 * paused may receive its commits. */
#define OTHER_MAY_LEAD(j) \
    ((possible_leaders & (1 << j)) != 0 && chosen != j && \
     ((stopped | removed) | (1 << j)) != 7)

/* One that did not respond may have led after the record's leader, which then
 * lacks its commits. */
#define HAS_UNSTOPPED_POSSIBLE_LEADER \
    ((possible_leaders & (7 - stopped) & (7 - (1 << primary))) != 0)

proctype Promoter() {
  byte own_revision, target_term, stopped, chosen, i, primary, best_end,
       unavailable;
  byte reported_end[N];
  bool may_lack_commits, is_newest_term;
  do
  :: atomic {
       /* Claim the record by compare-and-set of its revision. */
#if defined(UNFENCED) && !defined(MUTANT_NO_WAIT)
       (revision < MAX_REVISION && (possible_leaders == 0 || IS_EXPIRED)) ->
#else
       revision < MAX_REVISION ->
#endif
       revision = revision + 1; own_revision = revision; in_progress = true;
       primary = leader; stopped = 0; may_lack_commits = false;
       is_newest_term = true;
       target_term = newest_term + 1; chosen = NO_INSTANCE
     }
     request_stop(0); request_stop(1); request_stop(2);
     d_step {
       /* Instances that left can't confirm commits either. */
       unavailable = (stopped | removed) & (7 - (1 << primary));
       may_lack_commits = may_lack_commits || lost_copy;
       /* Select only once no further commit can be acknowledged. */
       if
       :: (is_newest_term && ((stopped & (1 << primary)) != 0 ||
                              unavailable == 7 - (1 << primary))) ->
          best_end = 0; i = 0;
          do
          :: i < N ->
             if
             :: ((stopped & (1 << i)) != 0 &&
#ifndef MUTANT_NO_FLOOR
                 reported_end[i] >= floor &&
#endif
#ifndef MUTANT_NO_LOSS_CHECK
                 (!may_lack_commits ||
                  ((stopped & (1 << primary)) != 0 &&
                   reported_end[i] >= reported_end[primary])) &&
#endif
#ifdef MUTANT_SHORT_LOG
                 true) ->
#else
                 (chosen == NO_INSTANCE || reported_end[i] > best_end)) ->
#endif
                chosen = i; best_end = reported_end[i]
             :: else
             fi;
             i++
          :: else -> break
          od;
          i = 0
       :: else
       fi;
#if defined(UNFENCED) && !defined(MUTANT_ANY_CANDIDATE)
       /* An expired command may have been executed. */
       if
       :: (chosen != NO_INSTANCE &&
           (OTHER_MAY_LEAD(0) || OTHER_MAY_LEAD(1) || OTHER_MAY_LEAD(2)
#ifndef MUTANT_FORMER_PRIMARY
            || (may_lack_commits && HAS_UNSTOPPED_POSSIBLE_LEADER)
#endif
           )) -> chosen = NO_INSTANCE
       :: else
       fi;
#endif
       unavailable = 0
     }
     if
     :: (chosen != NO_INSTANCE) ->
        d_step {
          /* A command without a response may still be executed.  If the
           * platform checks tokens, the same instance is commanded again,
           * which invalidates the earlier command. */
          if
#ifndef MUTANT_ANY_CANDIDATE
#ifndef UNFENCED
          :: (possible_leaders != 0 && possible_leaders != (1 << chosen)) ->
             chosen = (possible_leaders == 1 -> 0 :
                       (possible_leaders == 2 -> 1 : 2));
             best_end = floor
#endif
#endif
          :: else
          fi
        }
     :: else
     fi;
     if
     :: chosen != NO_INSTANCE ->
        /* Check that the state is unchanged, and write the command to the
         * record before it is sent. */
        atomic {
          if
          :: ((revision == own_revision
               )
#ifndef MUTANT_NO_RECHECK
              && STILL_STOPPED(0) && STILL_STOPPED(1) && STILL_STOPPED(2) &&
              !(log_lost[chosen])
#endif
              && revision < MAX_REVISION) ->
             revision = revision + 1; own_revision = revision;
             possible_leaders = possible_leaders | (1 << chosen);
             if
             :: best_end > floor -> floor = best_end
             :: else
             fi
          :: else -> chosen = NO_INSTANCE
          fi
        };
        if
        :: chosen != NO_INSTANCE ->
           if
           :: /* The command gets a response. */
              atomic {
#ifdef UNFENCED
                /* A token that may have been superseded is not used. */
                (revision == own_revision) ->
#endif
                execute_promotion(chosen, own_revision);
                if
#ifndef UNFENCED
                :: (revision == own_revision && IS_REMOVED(chosen)) ->
                   possible_leaders = 0
#endif
                :: (revision == own_revision && leads[chosen] &&
                    term[chosen] == newest_term) ->
                   leader = chosen; in_progress = false;
#ifdef UNFENCED
                   /* A command without a response may still be executed. */
                   if
                   :: pending_token[chosen] == 0 -> possible_leaders = 0
                   :: else
                   fi
#else
                   possible_leaders = 0
#endif
                :: else
                fi
              }
#ifdef UNFENCED
           :: revision != own_revision
#endif
           :: /* No response: the command may be executed at any time. */
              atomic {
#ifdef UNFENCED
                (revision == own_revision) ->
#endif
                pending_token[chosen] = own_revision
              }
           fi
        :: else
        fi
     :: else
     fi;
     d_step {
       own_revision = 0; target_term = 0; stopped = 0; chosen = 0; best_end = 0;
       primary = 0;
       reported_end[0] = 0; reported_end[1] = 0; reported_end[2] = 0;
       may_lack_commits = false; is_newest_term = false
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
