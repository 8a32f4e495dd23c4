/* Ticket acceptance and order claims by compare-and-swap (docs/design.md,
   4.1 and 4.2). A write can take effect with its response lost, take effect
   late, or be rejected; a writer can be suspended between any two steps.
   Tickets and claims share no state; CLAIMS selects the claims, otherwise the
   tickets are checked. SEEDED_BUG repeats a claim of unknown outcome without reading the log. */

#define None 0
#define Accepted 1
#define Beaten 2
#define Unknown 3
#define Unavailable 4
#define MaxAttempts 3
#ifdef CLAIMS
#define Parties 2
#else
#define Parties 3
#endif

/* Head of the configuration: version, and the ticket accepted for the
   service that both tickets touch, based on the same revision. */
byte TicketVersion = 1;
byte Winner = 0;
byte Answer[3];

/* Head of the claim log: version, and the request that holds the key. */
byte ClaimVersion = 1;
byte Holder = 0;
byte Sent = 0;

/* Writes that are still in the network. */
bool LateTicket[3];
byte LateTicketExpects[3];
bool LateClaim[3];
byte LateClaimExpects[3];

byte Finished = 0;

inline acceptTicket(Id) {
  assert(Winner == 0 || Winner == Id);
  Winner = Id;
  TicketVersion++
}

inline storeFailed(Id) {
  if
  :: IsUncertain -> Answer[Id] = Unknown
  :: else -> Answer[Id] = Unavailable
  fi
}

proctype Operator(byte Id) {
  byte Seen, Known, Expected, Attempts;
  bool IsUncertain = false;
  do
  :: Attempts == MaxAttempts -> storeFailed(Id); break
  :: Attempts < MaxAttempts ->
     Attempts++;
     if
     :: atomic { Seen = TicketVersion; Known = Winner }
     :: storeFailed(Id); break
     fi;
     if
     :: Known == Id -> Answer[Id] = Accepted; break
     :: Known != 0 && Known != Id -> Answer[Id] = Beaten; break
     :: Known == 0 -> skip
     fi;
     if
     :: IsUncertain && Seen > Expected -> IsUncertain = false
     :: else -> skip
     fi;
     if
     :: atomic { TicketVersion == Seen -> acceptTicket(Id) };
        Answer[Id] = Accepted; break
     :: atomic { TicketVersion == Seen -> acceptTicket(Id) };
        IsUncertain = true; Expected = Seen
     :: TicketVersion != Seen -> skip
     :: atomic { !LateTicket[Id] ->
          LateTicket[Id] = true; LateTicketExpects[Id] = Seen };
        IsUncertain = true; Expected = Seen
     :: storeFailed(Id); break
     fi
  od;
  Finished++
}

/* A ticket for another service moves the version. */
proctype OtherOperator() {
  atomic { TicketVersion++; Finished++ }
}

/* One request, claimed through a dispatcher with an arbitrarily old view and,
   after a failure, through the next one, whose view is as old. */
proctype Requester(byte Id) {
  byte Seen = 1, Known = 0, Attempts;
  bool Holds = false;
  do
  :: Attempts == MaxAttempts -> break
  :: Attempts < MaxAttempts ->
     Attempts++;
     if
     :: Known == Id -> Holds = true; break
     :: Known != 0 && Known != Id ->
        atomic { Seen = ClaimVersion; Known = Holder };
        if
        :: Known != 0 && Known != Id -> break
        :: else -> skip
        fi
     :: Known == 0 ->
        if
        :: atomic { ClaimVersion == Seen -> ClaimVersion++; Holder = Id };
           Holds = true; break
        :: atomic { ClaimVersion == Seen -> ClaimVersion++; Holder = Id }
        :: ClaimVersion != Seen -> skip
        :: atomic { !LateClaim[Id] ->
             LateClaim[Id] = true; LateClaimExpects[Id] = Seen }
        :: break
        fi;
#ifdef SEEDED_BUG
        Seen = ClaimVersion
#else
        if
        :: atomic { Seen = ClaimVersion; Known = Holder }
        :: Seen = 1; Known = 0 /* hand-over to a dispatcher with an old view */
        fi
#endif
     fi
  od;
  if
  :: Holds -> Sent++; assert(Sent <= 1)
  :: Attempts = 0; /* certainly not sent: release, then never send */
     do
     :: Attempts == MaxAttempts -> break
     :: Attempts < MaxAttempts ->
        Attempts++;
        atomic { Seen = ClaimVersion; Known = Holder };
        if
        :: Known != Id -> break
        :: Known == Id ->
           if
           :: atomic { ClaimVersion == Seen -> ClaimVersion++; Holder = 0 }
           :: ClaimVersion != Seen -> skip
           :: skip
           fi
        fi
     od
  fi;
  Finished++
}

proctype Network() {
  byte Id;
  do
  :: atomic { LateTicket[1] -> Id = 1; goto deliverTicket }
  :: atomic { LateTicket[2] -> Id = 2; goto deliverTicket }
  :: atomic { LateClaim[1] -> Id = 1; goto deliverClaim }
  :: atomic { LateClaim[2] -> Id = 2; goto deliverClaim }
  :: atomic { Finished == Parties && !LateTicket[1] && !LateTicket[2] &&
              !LateClaim[1] && !LateClaim[2] -> break };
  deliverTicket:
     atomic {
       LateTicket[Id] = false;
       if
       :: TicketVersion == LateTicketExpects[Id] -> acceptTicket(Id)
       :: else -> skip
       fi
     };
     goto next;
  deliverClaim:
     atomic {
       LateClaim[Id] = false;
       if
       :: ClaimVersion == LateClaimExpects[Id] -> ClaimVersion++; Holder = Id
       :: else -> skip
       fi
     };
  next: skip
  od;
#ifndef CLAIMS
  Id = 1;
  do
  :: Id <= 2 ->
     assert(!(Answer[Id] == Accepted && Winner != Id));
     assert(!(Answer[Id] == Beaten && Winner == Id));
     assert(!(Answer[Id] == Unavailable && Winner == Id));
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
