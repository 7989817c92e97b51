/*
 * Change of witnesses against a takeover: the owner replaces witness 1 by witness 2 in its lease,
 * while a successor fences the lease, seals the journal and one witness that the lease names.
 * README.md says what is modelled; ../scripts/check-spec runs this model and its broken variants.
 */

/* Two records of the owner, one in each segment; each is told as done once it is committed. */
#define RECORDS 2
#define BIT(r) (1 << (r))
#define HAS(set, r) (((set) & BIT(r)) != 0)

#define EMPTY 0
#define WRITTEN 1
#define SEALED 2
#define POSITIONS 3

byte segment[POSITIONS];
bool isIssued[RECORDS];
bool isKnown[RECORDS];

bool isWitnessUp[3] = { true, true, true };
bool isWitnessSealed[3];
byte buffer[3];

/* The lease object: names witnesses 0 and 1, or 0 and 2. */
bool namesNewWitness;
bool isFenced;

/* What the owner has done and knows of the change. */
bool isProposed;
bool isConfirmed;
bool isOwnerUp = true;

bool hasServed;
bool isDegraded;
byte found;
byte told;

#define knowsStored(r) (isKnown[0] && ((r) < 1 || isKnown[1]))
#define isDrained ((!isIssued[0] || isKnown[0]) && (!isIssued[1] || isKnown[1]))

/* Until the store confirms the change, old and new witnesses must all hold a record. */
#ifdef BROKEN_NEW_WITNESSES_AT_ONCE
#define needsOld (!isProposed)
#else
#define needsOld (!isConfirmed)
#endif
#ifdef BROKEN_OLD_WITNESSES_UNTIL_CONFIRMED
#define needsNew isConfirmed
#else
#define needsNew isProposed
#endif
#define knowsWitnessed(r) (HAS(buffer[0], r) && (!needsOld || HAS(buffer[1], r)) \
                           && (!needsNew || HAS(buffer[2], r)))

/* A change waits until no record depends on the present witnesses only. */
#ifdef BROKEN_CHANGE_BEFORE_DRAINED
#define mayPropose true
#else
#define mayPropose isDrained
#endif

inline append(w, r) {
    atomic {
        (isIssued[r] && !isKnown[r] && isWitnessUp[w] && !isWitnessSealed[w]
         && !HAS(buffer[w], r) && (w < 2 || isProposed)) ->
        buffer[w] = buffer[w] | BIT(r)
    }
}

/* A record is told once; the owner may have learned of its commit any time before. */
inline tell(r) {
    atomic {
        (!HAS(told, r) && isIssued[r] && (knowsStored(r) || knowsWitnessed(r))) ->
        assert(!hasServed || isDegraded || HAS(found, r));
        told = told | BIT(r)
    }
}

active proctype Store() {
end:
    do
    :: atomic { isIssued[0] && segment[0] == EMPTY -> segment[0] = WRITTEN }
    :: atomic { isIssued[1] && segment[1] == EMPTY -> segment[1] = WRITTEN }
       /* The lease's change lands only if no successor fenced it before. */
    :: atomic { isProposed && !namesNewWitness && !isFenced -> namesNewWitness = true }
    od
}

active proctype Owner() {
end:
    do
    :: atomic { !isIssued[0] -> isIssued[0] = true }
    :: atomic { isIssued[0] && !isIssued[1] -> isIssued[1] = true }
    :: atomic { segment[0] == WRITTEN && !isKnown[0] -> isKnown[0] = true }
    :: atomic { segment[1] == WRITTEN && !isKnown[1] -> isKnown[1] = true }
    :: append(0, 0)
    :: append(0, 1)
    :: append(1, 0)
    :: append(1, 1)
    :: append(2, 0)
    :: append(2, 1)
    :: tell(0)
    :: tell(1)
    :: atomic { !isProposed && mayPropose -> isProposed = true }
    :: atomic { isProposed && !isConfirmed && namesNewWitness -> isConfirmed = true }
    :: atomic { isOwnerUp = false; break }
    od
}

active proctype Deaths() {
end:
    do
    :: atomic { isWitnessUp[0] -> isWitnessUp[0] = false }
    :: atomic { isWitnessUp[1] -> isWitnessUp[1] = false }
    :: atomic { isWitnessUp[2] -> isWitnessUp[2] = false }
    od
}

#define second (namesNew -> 2 : 1)

active proctype Successor() {
    byte position;
    bool namesNew;

    /* Fencing is a conditional write; its success tells what the lease names from then on. */
    atomic {
#ifndef BROKEN_LEASE_NOT_FENCED
        isFenced = true;
#endif
        namesNew = namesNewWitness
    }
    atomic {
        do
        :: segment[position] == WRITTEN -> found = found | BIT(position); position++
        :: else -> break
        od;
        segment[position] = SEALED
    }
    atomic {
        if
        :: isWitnessUp[0] -> isWitnessSealed[0] = true; found = found | buffer[0]
        :: isWitnessUp[second] -> isWitnessSealed[second] = true; found = found | buffer[second]
        :: !isWitnessUp[0] && !isWitnessUp[second] && !isOwnerUp -> isDegraded = true
        fi
    }
    atomic {
        assert(isDegraded || (told & found) == told);
        hasServed = true
    }
#ifdef PROBE_NEW_WITNESS_SERVES
    assert(!(namesNew && isWitnessSealed[2] && HAS(found, 1) && segment[1] != WRITTEN));
#endif
end:
    skip
}
