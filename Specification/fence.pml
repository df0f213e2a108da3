/*
 * Terms, promotion and acknowledgement.
 *
 * Three instances, two proxies that may promote, one write.  Property: no
 * primary of a later term than the write's lacks an acknowledged write, whether
 * it is acknowledged before or after the promotion.  No acknowledged write is
 * thus lost, and a replaced primary can't acknowledge a write that its
 * successor lacks.  A proxy may stop between any two of its steps, a response
 * may be lost, instances may be isolated from each other, and the platform is
 * not involved, so its outage has no effect.
 *
 * Each mutant leaves out one guard; see Utilities/check-model.
 */

#define INSTANCES 3
#define MAJORITY 2
#define MAX_TERM 3

/* An instance: adopted term, proxy that owns the term, whether it leads. */
byte term[INSTANCES];
byte owner[INSTANCES];
bool leads[INSTANCES];

/* Its log: term of the last entry, length, whether it contains the write. */
byte log_term[INSTANCES];
byte log_length[INSTANCES];
bool has_write[INSTANCES];

/* The write: term and log length at which the primary executed it. */
byte write_term;
byte write_length;
bool acknowledged;

#define IS_LONGER(a, b) (log_term[a] > log_term[b] || \
                      (log_term[a] == log_term[b] && \
                       log_length[a] > log_length[b]))

inline check_leader(i) {
  /* The leader of a later term than the write's must have the write. */
  assert(!(acknowledged && leads[i] && term[i] > write_term && !has_write[i]));
}

proctype Promoter(byte me) {
  byte target_term, grants, chosen, i;
  bool granted[INSTANCES];
  do
  :: target_term < MAX_TERM ->
     /* Choose a term above every term that this proxy knows. */
     d_step {
       grants = 0; chosen = INSTANCES; i = 0;
       do
       :: i < INSTANCES -> granted[i] = false;
          if
          :: term[i] > target_term -> target_term = term[i]
          :: else
          fi;
          i++
       :: else -> break
       od
     }
     if
     :: target_term >= MAX_TERM -> break
     :: else -> target_term++
     fi;
     /* Fence each instance with a separate message; any message may be lost. */
     i = 0;
     do
     :: i < INSTANCES ->
        if
        :: atomic {
#ifdef MUTANT_SHARED_TERM
             /* Guard left out: a term belongs to its first owner. */
             (term[i] < target_term || (term[i] == target_term && !leads[i]));
#else
             (term[i] < target_term ||
              (term[i] == target_term && owner[i] == me && !leads[i]));
#endif
             term[i] = target_term; owner[i] = me; leads[i] = false;
             if
             :: granted[i] = true; grants++
             :: skip /* The response is lost. */
             fi
           }
        :: skip /* Isolated, stopped, or refused. */
        fi;
        i++
     :: else -> break
     od;
#ifdef MUTANT_NO_MAJORITY
     if
     :: grants >= 1
#else
     if
     :: grants >= MAJORITY
#endif
        ->
        d_step {
          i = 0;
          do
          :: i < INSTANCES ->
             if
#ifdef MUTANT_SHORT_LOG
             /* Guard left out: the instance with the longest log is chosen. */
             :: granted[i] -> chosen = i
#elif defined(MUTANT_LENGTH_ONLY)
             /* Guard left out: lengths are compared only within a term. */
             :: granted[i] && (chosen == INSTANCES ||
                               log_length[i] > log_length[chosen]) ->
                chosen = i
#else
             :: granted[i] && (chosen == INSTANCES || IS_LONGER(i, chosen)) ->
                chosen = i
#endif
             :: else
             fi;
             i++
          :: else -> break
          od;
          i = 0
        }
        if
        :: atomic {
             (term[chosen] == target_term && owner[chosen] == me);
             if
             :: !leads[chosen] ->
                leads[chosen] = true;
                log_term[chosen] = target_term;
                log_length[chosen] = log_length[chosen] + 1;
                check_leader(chosen)
             :: else
             fi
           }
        :: skip
        fi
     :: else
     fi;
     d_step {
       /* Reset the attempt's variables, which reduces the number of states. */
       grants = 0; chosen = 0; i = 0;
       granted[0] = false; granted[1] = false; granted[2] = false
     }
  :: else -> break
  od
}

/* Any instance adopts the term of a leader and replicates its log. */
active proctype Replicas() {
  byte source, me;
  do
  :: atomic {
       if
       :: me = 0
       :: me = 1
       :: me = 2
       fi;
       source = 0;
       do
       :: source < INSTANCES &&
          !(leads[source] && source != me && term[source] >= term[me]) ->
          source++
       :: else -> break
       od;
       if
       :: source < INSTANCES && !(leads[me] && term[me] == term[source]) ->
          if
          :: term[source] > term[me] -> owner[me] = 0
          :: else
          fi;
          term[me] = term[source]; leads[me] = false;
          if
          :: log_term[me] = log_term[source];
             log_length[me] = log_length[source];
             has_write[me] = has_write[source]
          :: skip /* The entries arrive later, or never. */
          fi
       :: else
       fi;
       source = 0; me = 0
     }
  od
}

/* The proxy that executes the write; it may stop between any two steps. */
proctype Writer() {
  byte primary, i, confirmations;
  /* An instance that leads; it need not be the latest leader. */
  if
  :: atomic { leads[0]; primary = 0 }
  :: atomic { leads[1]; primary = 1 }
  :: atomic { leads[2]; primary = 2 }
  fi;
  if
  :: atomic {
       leads[primary];
       write_term = term[primary];
       log_length[primary] = log_length[primary] + 1;
       write_length = log_length[primary];
       has_write[primary] = true;
       confirmations = 1
     }
  :: goto end
  fi;
  i = 0;
  do
  :: i < INSTANCES ->
     if
     :: atomic {
          i != primary;
#ifdef MUTANT_ANY_TERM
          /* Guard left out: the replica must report the write's term. */
          (log_length[i] >= write_length);
#else
          (term[i] == write_term && log_term[i] == write_term &&
           log_length[i] >= write_length);
#endif
          confirmations++
        }
     :: skip
     fi;
     i++
  :: else -> break
  od;
#ifdef MUTANT_PRIMARY_ALONE
  /* Guard left out: a majority holds the write. */
  if
  :: confirmations >= 1
#else
  if
  :: confirmations >= MAJORITY
#endif
     -> atomic {
       acknowledged = true;
       check_leader(0); check_leader(1); check_leader(2)
     }
  :: else
  fi;
end: skip
}

init {
  atomic {
    byte i = 0;
    /* Neither promoter owns the first term: 9 is the number of none. */
    do
    :: i < INSTANCES ->
       term[i] = 1; owner[i] = 9; log_term[i] = 1; log_length[i] = 1;
       i++
    :: else -> break
    od;
    leads[0] = true;
    /* It may have entries that no other instance has. */
    if
    :: skip
    :: log_length[0] = 4
    fi;
    run Promoter(1); run Promoter(2);
    run Writer()
  }
}
