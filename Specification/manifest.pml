/*
 * Acceptance and spread of manifests.
 *
 * Two operators race, answers get lost after the change took effect, proxies
 * restart without a disk, and messages between proxies arrive late.
 * Properties of the brief: "an accepted manifest ... never reverts" (a proxy
 * that runs never goes back, and no accepted version is overwritten).
 */

#define PROXIES 2
#define MAX_VERSION 3

/* The platform's head: its revision, the version, and who submitted it. */
byte version;
byte submitter;

/* Versions that an operator was told are accepted, by submitter. */
byte accepted[MAX_VERSION + 2];

byte in_force[PROXIES];

/* A message on its way to each proxy: a version that a peer told it. */
byte inbox[PROXIES];

proctype Operator(byte me) {
  byte seen;
  bool swapped;
  do
  :: version < MAX_VERSION ->
     atomic { seen = version; swapped = false }
     if
     :: atomic {
#ifdef MUTANT_BLIND_WRITE
          /* Guard left out: the head is swapped only if unchanged. */
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
     /* The answer may be lost: then the head is read and compared. */
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
  :: atomic { received = version } /* A read of the platform. */
     goto adopt
  :: atomic { inbox[me] > 0; received = inbox[me]; inbox[me] = 0 }
     goto adopt
  :: atomic { in_force[me] > 0; inbox[1 - me] = in_force[me] }
     goto next
  :: atomic { in_force[me] = 0; received = 0 } /* Restart without a disk. */
     goto next
adopt:
     atomic {
       previous = in_force[me];
#ifdef MUTANT_OLDER_TAKEN
       /* Guard left out: only a newer version is taken over. */
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
