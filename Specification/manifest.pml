/*
 * Acceptance and distribution of manifests.
 *
 * Two operators race, responses are lost after the change took effect, proxies
 * restart without persistent state, and messages between proxies arrive late.
 * Property: an accepted manifest never reverts, that is, a running proxy never
 * returns to an older version, and no accepted version is overwritten.
 */

#define PROXIES 2
#define MAX_VERSION 3

/* The head of the manifest at the platform: the version, which is also the
 * head's revision, and the operator that submitted it. */
byte version;
byte submitter;

/* For each version the operator to which its acceptance was reported, or 0. */
byte accepted[MAX_VERSION + 2];

/* Version in force at each proxy; 0 after a restart. */
byte in_force[PROXIES];

/* A message in transit to each proxy: the version that a peer sent. */
byte inbox[PROXIES];

proctype Operator(byte me) {
  byte seen;
  bool swapped;
  do
  :: version < MAX_VERSION ->
     atomic { seen = version; swapped = false }
     if
     :: atomic {
#ifdef MUTANT_UNCONDITIONAL_WRITE
          /* Guard left out: the head is replaced only if unchanged. */
          true;
#else
          (version == seen);
#endif
          version = seen + 1; submitter = me;
          swapped = true;
          if
          :: accepted[seen + 1] == 0 || accepted[seen + 1] == me ->
             skip
          :: else -> assert(false) /* An accepted version is overwritten. */
          fi
        }
     :: skip /* The call is lost, or the head has changed. */
     fi;
     /* The response may be lost: then the head is read and compared. */
     atomic {
       if
       :: swapped && version == seen + 1 && submitter == me ->
          accepted[version] = me
       :: else
       fi;
       seen = 0; swapped = false
     }
  :: else -> break
  od
}

proctype Proxy(byte me) {
  byte received, previous;
  do
  :: atomic { received = version } /* A read from the platform. */
     goto adopt
  :: atomic { inbox[me] > 0; received = inbox[me]; inbox[me] = 0 }
     goto adopt
  :: atomic { in_force[me] > 0; inbox[1 - me] = in_force[me] }
     goto next
  :: atomic { in_force[me] = 0; received = 0 } /* Restart. */
     goto next
adopt:
     atomic {
       previous = in_force[me];
#ifdef MUTANT_ADOPT_OLDER_VERSION
       /* Guard left out: only a newer version is adopted. */
       if
       :: received > 0 -> in_force[me] = received
       :: else
       fi;
#else
       if
       :: received > in_force[me] -> in_force[me] = received
       :: else
       fi;
#endif
       assert(in_force[me] >= previous);
       received = 0; previous = 0
     }
next: skip
  od
}

init {
  atomic {
    run Operator(1); run Operator(2);
    run Proxy(0); run Proxy(1)
  }
}
