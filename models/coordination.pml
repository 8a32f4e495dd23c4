/* Ticket acceptance and order claims by compare-and-swap on a store
   (docs/design.md, 4.1 and 4.2). A write can take effect with its response
   lost, take effect late, or be rejected; a writer can be suspended between any
   two steps. Tickets and claims share no state: with CLAIMS defined the claims
   are checked, otherwise the tickets. SEEDED_BUG adds a fault that the check
   must find: after a write of unknown outcome, the claim is repeated with the
   current version without reading from the log who holds the key. */

/* Outcomes that an operator learns for a ticket. */
#define None 0
#define Accepted 1
#define Beaten 2
#define Unknown 3
#define Unavailable 4
#define MaxAttempts 3
/* Processes that must end before the network stops. */
#ifdef CLAIMS
#define WriterCount 2
#else
#define WriterCount 3
#endif

/* Head of the configuration: its version, and which of the two competing
   tickets is accepted (0: none). Both tickets change the same service and are
   based on the same revision, so at most one may be accepted. */
byte TicketVersion = 1;
byte AcceptedTicket = 0;
/* Outcome per operator; index 0 is not used. */
byte Outcome[3];

/* Head of the claim log: its version, and the request that holds the
   idempotency key (0: none). */
byte ClaimVersion = 1;
byte ClaimHolder = 0;
/* Requests sent to a backend server with this key; more than one means that
   the order runs twice. */
byte SentCount = 0;

/* Writes still in the network, at most one per writer, and the version that
   each expects at the store. */
bool DelayedTicket[3];
byte DelayedTicketVersion[3];
bool DelayedClaim[3];
byte DelayedClaimVersion[3];

byte FinishedCount = 0;

inline acceptTicket(Id) {
  assert(AcceptedTicket == 0 || AcceptedTicket == Id);
  AcceptedTicket = Id;
  TicketVersion++
}

/* The store failed: the outcome is unknown if an earlier write may still take
   effect, otherwise the ticket is certainly not accepted. */
inline giveUp(Id) {
  if
  :: IsUncertain -> Outcome[Id] = Unknown
  :: else -> Outcome[Id] = Unavailable
  fi
}

/* Submits one ticket: reads the head and swaps it, with retries. */
proctype Operator(byte Id) {
  byte ReadVersion, ReadTicket, UncertainVersion, Attempts;
  bool IsUncertain = false;
  do
  :: Attempts == MaxAttempts -> giveUp(Id); break
  :: Attempts < MaxAttempts ->
     Attempts++;
     /* Reading the head succeeds, or fails for good. */
     if
     :: atomic { ReadVersion = TicketVersion; ReadTicket = AcceptedTicket }
     :: giveUp(Id); break
     fi;
     if
     :: ReadTicket == Id -> Outcome[Id] = Accepted; break
     :: ReadTicket != 0 && ReadTicket != Id -> Outcome[Id] = Beaten; break
     :: ReadTicket == 0 -> skip
     fi;
     /* The head has left the version that the uncertain write expects: that
        write can no longer take effect. */
     if
     :: IsUncertain && ReadVersion > UncertainVersion -> IsUncertain = false
     :: else -> skip
     fi;
     /* The write succeeds, succeeds with its response lost, finds another
        version, is delayed in the network, or is rejected by the store. */
     if
     :: atomic { TicketVersion == ReadVersion -> acceptTicket(Id) };
        Outcome[Id] = Accepted; break
     :: atomic { TicketVersion == ReadVersion -> acceptTicket(Id) };
        IsUncertain = true; UncertainVersion = ReadVersion
     :: TicketVersion != ReadVersion -> skip
     :: atomic { !DelayedTicket[Id] ->
          DelayedTicket[Id] = true; DelayedTicketVersion[Id] = ReadVersion };
        IsUncertain = true; UncertainVersion = ReadVersion
     :: giveUp(Id); break
     fi
  od;
  FinishedCount++
}

/* Accepts a ticket for another service, which only increments the version. */
proctype OtherOperator() {
  atomic { TicketVersion++; FinishedCount++ }
}

/* One request with an idempotency key. It is claimed through a dispatcher whose
   view of the log may be arbitrarily old and, after a failure, through the next
   dispatcher, whose view may be as old. */
proctype Requester(byte Id) {
  byte ReadVersion = 1, ReadHolder = 0, Attempts;
  bool HoldsClaim = false;
  do
  :: Attempts == MaxAttempts -> break
  :: Attempts < MaxAttempts ->
     Attempts++;
     if
     :: ReadHolder == Id -> HoldsClaim = true; break
     :: ReadHolder != 0 && ReadHolder != Id ->
        /* The view may be old: confirm in the log before rejecting. */
        atomic { ReadVersion = ClaimVersion; ReadHolder = ClaimHolder };
        if
        :: ReadHolder != 0 && ReadHolder != Id -> break
        :: else -> skip
        fi
     :: ReadHolder == 0 ->
        /* The write succeeds, succeeds with its response lost, finds another
           version, is delayed in the network, or is rejected. */
        if
        :: atomic { ClaimVersion == ReadVersion ->
             ClaimVersion++; ClaimHolder = Id };
           HoldsClaim = true; break
        :: atomic { ClaimVersion == ReadVersion ->
             ClaimVersion++; ClaimHolder = Id }
        :: ClaimVersion != ReadVersion -> skip
        :: atomic { !DelayedClaim[Id] ->
             DelayedClaim[Id] = true; DelayedClaimVersion[Id] = ReadVersion }
        :: break
        fi;
#ifdef SEEDED_BUG
        ReadVersion = ClaimVersion
#else
        if
        :: atomic { ReadVersion = ClaimVersion; ReadHolder = ClaimHolder }
        :: ReadVersion = 1; ReadHolder = 0 /* next dispatcher, old view */
        fi
#endif
     fi
  od;
  if
  :: HoldsClaim -> SentCount++; assert(SentCount <= 1)
  :: Attempts = 0; /* not sent and never will be: release the key */
     do
     :: Attempts == MaxAttempts -> break
     :: Attempts < MaxAttempts ->
        Attempts++;
        atomic { ReadVersion = ClaimVersion; ReadHolder = ClaimHolder };
        if
        :: ReadHolder != Id -> break
        :: ReadHolder == Id ->
           /* Succeeds, finds another version, or fails in the store. */
           if
           :: atomic { ClaimVersion == ReadVersion ->
                ClaimVersion++; ClaimHolder = 0 }
           :: ClaimVersion != ReadVersion -> skip
           :: skip
           fi
        fi
     od
  fi;
  FinishedCount++
}

/* Delivers delayed writes in any order, until all writers have ended. For
   tickets it then checks each outcome against the ticket that was accepted. */
proctype Network() {
  byte Id;
  do
  :: atomic { DelayedTicket[1] -> Id = 1; goto deliverTicket }
  :: atomic { DelayedTicket[2] -> Id = 2; goto deliverTicket }
  :: atomic { DelayedClaim[1] -> Id = 1; goto deliverClaim }
  :: atomic { DelayedClaim[2] -> Id = 2; goto deliverClaim }
  :: atomic { FinishedCount == WriterCount &&
              !DelayedTicket[1] && !DelayedTicket[2] &&
              !DelayedClaim[1] && !DelayedClaim[2] -> break };
  deliverTicket:
     atomic {
       DelayedTicket[Id] = false;
       if
       :: TicketVersion == DelayedTicketVersion[Id] -> acceptTicket(Id)
       :: else -> skip
       fi
     };
     goto next;
  deliverClaim:
     atomic {
       DelayedClaim[Id] = false;
       if
       :: ClaimVersion == DelayedClaimVersion[Id] ->
          ClaimVersion++; ClaimHolder = Id
       :: else -> skip
       fi
     };
  next: skip
  od;
#ifndef CLAIMS
  Id = 1;
  do
  :: Id <= 2 ->
     assert(!(Outcome[Id] == Accepted && AcceptedTicket != Id));
     assert(!(Outcome[Id] == Beaten && AcceptedTicket == Id));
     assert(!(Outcome[Id] == Unavailable && AcceptedTicket == Id));
     Id++
  :: else -> break
  od
#else
  skip
#endif
}

init {
  atomic {
#ifdef CLAIMS
    run Requester(1); run Requester(2);
#else
    run Operator(1); run Operator(2); run OtherOperator();
#endif
    run Network()
  }
}
