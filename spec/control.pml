/*
 * Model of the control group: a replicated log of claims of one once-request key on three members.
 * A member may lose its disk and rejoin under a new identity; an entry that has claimed the key may
 * stall before it dispatches. scripts/model checks it with spin, without and with the faults below.
 *
 * An identity is a member together with the number of its lost disks. A vote or an acknowledgement
 * counts only for the identity that gave it, so that a lost disk cannot revoke either.
 *
 * Injected faults (-DFAULT_...), each of which the checker must detect:
 *   FAULT_KEEP_IDENTITY  a lost disk keeps its identity and may vote at once
 *   FAULT_EARLY_GRANT    a claim is granted before a majority has stored it
 *   FAULT_LATE_DISPATCH  a claim whose reply came too late is dispatched all the same
 *   FAULT_FREE_RELEASE   a key is released although it may have been dispatched
 */

#define MEMBERS 3
#define ATTEMPTS 2
#define MAX_TERM 2
#define MAX_LOST_DISKS 1
#define MAX_WRITES 4        /* of one leader */

/* The log is reduced to one register: the attempt that holds the key, and the write that stored it.
   Writes are ordered by term, then by their number in that term. */
#define WRITE_ID(t, n) ((t) * 16 + (n))
byte keyHolder[MEMBERS];    /* attempt + 1, 0: free */
byte lastWrite[MEMBERS];    /* WRITE_ID of the last write it has, 0: none */
byte currentTerm[MEMBERS];  /* of its last vote or of the last leader heard */
bool voter[MEMBERS];        /* its identity is among the voters */
byte voters = 3;            /* size of the voting membership */
byte lostDisks = 0;

byte leader = 255;
byte leaderTerm = 0;
byte leaderWrites = 0;      /* in its term */
byte unreachable = 0;       /* the member that a write does not reach, MEMBERS: none */
bool leaderReady = false;   /* has committed a write of its own term */

/* Entries: each attempt is one try of the same request by some entry. */
mtype = { idle, claiming, granted, abandoned, dispatched, released };
mtype state[ATTEMPTS];
byte executions = 0;        /* how often the request ran */
bool toldNotRun[ATTEMPTS];  /* the caller was told not-run for this attempt */
bool executed[ATTEMPTS];

inline countVotes(candidate, newTerm, count) {
    count = 0;
    byte v = 0;
    do
    :: v < MEMBERS ->
        if
        :: voter[v] && currentTerm[v] < newTerm && lastWrite[candidate] >= lastWrite[v] ->
            currentTerm[v] = newTerm;
            count++
        :: else -> skip
        fi;
        v++
    :: else -> break
    od
}

/* Stores the value on the members that accept the leader's term; at most one message is lost.
   Counts the voters that have it. */
inline replicate(value, count) {
    leaderWrites++;
    count = 0;
    select(unreachable : 0 .. MEMBERS);
    byte r = 0;
    do
    :: r < MEMBERS ->
        if
        :: currentTerm[r] <= leaderTerm && (r != unreachable || r == leader) ->
            currentTerm[r] = leaderTerm;
            keyHolder[r] = value;
            lastWrite[r] = WRITE_ID(leaderTerm, leaderWrites);
            if
            :: voter[r] -> count++
            :: else -> skip
            fi
        :: else -> skip
        fi;
        r++
    :: else -> break
    od;
    unreachable = 0
}

active proctype Elections() {
    byte candidate; byte count; byte newTerm;
    do
    :: atomic {
            leaderTerm < MAX_TERM ->
            select(candidate : 0 .. MEMBERS - 1);
            newTerm = leaderTerm + 1;
            if
            :: newTerm <= MAX_TERM && voter[candidate] ->
                countVotes(candidate, newTerm, count);
                if
                :: count > voters / 2 ->
                    leader = candidate;
                    leaderTerm = newTerm;
                    leaderWrites = 0;
                    leaderReady = false
                :: else -> skip
                fi
            :: else -> skip
            fi;
            candidate = 0; count = 0; newTerm = 0
        }
    :: atomic {
            leader != 255 && !leaderReady && leaderWrites < MAX_WRITES ->
            /* a new leader first writes the value that it holds again, in its own term */
            replicate(keyHolder[leader], count);
            leaderReady = (count > voters / 2);
            count = 0
        }
    :: else -> break
    od
}

active proctype DiskLosses() {
    byte victim; byte count;
    do
    :: lostDisks < MAX_LOST_DISKS ->
        atomic {
            select(victim : 0 .. MEMBERS - 1);
            lostDisks++;
            keyHolder[victim] = 0;
            lastWrite[victim] = 0;
            currentTerm[victim] = 0;
            if
            :: leader == victim -> leader = 255; leaderReady = false
            :: else -> skip
            fi;
#ifndef FAULT_KEEP_IDENTITY
            voter[victim] = false   /* its old identity still counts as a voter but never replies */
#endif
        }
    :: lostDisks > 0 ->
        /* The leader removes the old identity, then adds the new one as a voter, each by a committed
           write that the new identity has stored as well. */
        atomic {
            if
            :: leader != 255 && leaderReady && !voter[victim] && voters == MEMBERS && leaderWrites < MAX_WRITES ->
                replicate(keyHolder[leader], count);
                if
                :: count >= 2 && lastWrite[victim] == lastWrite[leader] -> voters = MEMBERS - 1
                :: else -> skip
                fi
            :: leader != 255 && leaderReady && !voter[victim] && voters == MEMBERS - 1 && leaderWrites < MAX_WRITES ->
                replicate(keyHolder[leader], count);
                if
                :: count >= 2 && lastWrite[victim] == lastWrite[leader] ->
                    voter[victim] = true;
                    voters = MEMBERS
                :: else -> skip
                fi
            :: else -> skip
            fi;
            count = 0
        }
    :: break
    od
}

proctype Attempt(byte self) {
    byte count;
    atomic { state[self] = claiming }
    /* Claim: the leader writes the holder if the key is free. */
    do
    :: atomic {
        leader != 255 && leaderReady ->
        if
        :: keyHolder[leader] == 0 ->
            replicate(self + 1, count);
            if
#ifdef FAULT_EARLY_GRANT
            :: true -> state[self] = granted
#else
            :: count > voters / 2 -> state[self] = granted
            :: else -> leaderReady = false; leader = 255  /* steps down; the write may survive */
#endif
            fi;
            break
        :: keyHolder[leader] == self + 1 ->
            replicate(self + 1, count);
            if
            :: count > voters / 2 -> state[self] = granted
            :: else -> leaderReady = false; leader = 255
            fi;
            break
        :: else -> break
        fi
       }
    :: break    /* no reply in time */
    od;
    count = 0;
    /* The reply may come too late: the caller is then told not-run, and the key is released. */
    if
    :: state[self] == granted ->
        if
        :: atomic { true -> state[self] = dispatched; executions++; executed[self] = true }
        :: atomic { true -> state[self] = abandoned; toldNotRun[self] = true }
        fi
    :: state[self] == claiming -> atomic { state[self] = abandoned; toldNotRun[self] = true }
    fi;
#ifdef FAULT_LATE_DISPATCH
    if
    :: atomic { (state[self] == abandoned && leader != 255 && keyHolder[leader] == self + 1) ->
                state[self] = dispatched; executions++; executed[self] = true }
    :: else -> skip
    fi;
#endif
    if
#ifdef FAULT_FREE_RELEASE
    :: state[self] == abandoned || state[self] == dispatched ->
#else
    :: state[self] == abandoned ->
#endif
        atomic {
            if
            :: leader != 255 && leaderReady && keyHolder[leader] == self + 1 ->
                replicate(0, count);
                if
                :: count > voters / 2 -> state[self] = released
                :: else -> leaderReady = false; leader = 255
                fi
            :: else -> skip
            fi
        }
    :: else -> skip
    fi
}

init {
    byte i = 0;
    atomic {
        do
        :: i < MEMBERS -> voter[i] = true; i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < ATTEMPTS -> run Attempt(i); i++
        :: else -> break
        od
    }
}

/* The request runs at most once; an attempt reported as not-run did not run. */
ltl atMostOnce { [] (executions <= 1) }
ltl honest { [] (!(toldNotRun[0] && executed[0]) && !(toldNotRun[1] && executed[1])) }
