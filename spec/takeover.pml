/*
 * Takeover of one partition: owner, two successors, the store with lost answers, two witnesses.
 * README.md says what is modelled; ../scripts/check-spec runs this model and its broken variants.
 *
 * A pause or a crash is a process that takes no step for a while or for ever; an outage or a slow
 * store is a create that does not land. A dead witness never comes back: a restarted one is
 * another incarnation, which holds nothing and cannot be sealed in place of the one that the lease
 * names.
 */

/* Records of the owner, one in each segment: a turn, then the intent and the result of a
 * non-idempotent call. */
#define TURN 0
#define INTENT 1
#define RESULT 2
#define RECORDS 3
#define BIT(r) (1 << (r))
#define HAS(set, r) (((set) & BIT(r)) != 0)

/* What a journal holds at a position; the last position can only hold a seal. */
#define EMPTY 0
#define WRITTEN 1
#define SEALED 2
#define POSITIONS 4

/* Owner's journal in the store. A create is under way from its issue until it lands or meets a
 * seal; its answer may be lost, and then a re-read tells (isKnown). */
byte segment[POSITIONS];
bool isIssued[RECORDS];
bool isKnown[RECORDS];

/* Witnesses' buffers for the owner. */
bool isWitnessUp[2] = { true, true };
bool isWitnessSealed[2];
byte buffer[2];

bool isOwnerUp = true;

/* Journal of the first successor: position 0 findings, 1 intent, 2 result of its own attempt. */
byte successorJournal[POSITIONS];
byte successorFindings;
bool areFindingsDegraded;

/* The store's journal and one witness are sealed, with these findings. */
bool isOwnerSealed;
bool isSealDegraded;
byte sealedFindings;

/* For the properties. */
bool hasOwnerRun;
bool hasFirstRun;
bool hasSecondRun;
bool isOwnerDenied;          /* somebody said "not run" of the owner's attempt */
bool isFirstDenied;          /* the same of the first successor's attempt */
bool wasToldTurn;
bool wasToldResult;
byte servedBy;               /* the last that served: 0 owner, 1 and 2 successors */
byte servedHistory;
bool isServedDegraded;

/* A segment in the store counts with every earlier one in the store. Earlier records that only the
 * witnesses hold don't close the gap, because a seal can still take its place. */
#define inStore(r) (segment[0] == WRITTEN && ((r) < 1 || segment[1] == WRITTEN) \
                    && ((r) < 2 || segment[2] == WRITTEN))
#define onWitnesses(r) (HAS(buffer[0], r) && HAS(buffer[1], r))
#define isCommitted(r) (inStore(r) || onWitnesses(r))

/* What the owner takes as committed. Knowledge of a witness's answer is not modelled apart: a
 * buffer never forgets, so a late answer is an owner that acts late. */
#ifdef BROKEN_NOT_CONTIGUOUS
#define knowsStored(r) isKnown[r]
#elif defined(BROKEN_GAP_CLOSED_BY_WITNESSES)
#define closed(r) (isKnown[r] || onWitnesses(r))
#define knowsStored(r) (isKnown[r] && closed(0) && ((r) < 1 || closed(1)))
#else
#define knowsStored(r) (isKnown[0] && ((r) < 1 || isKnown[1]) && ((r) < 2 || isKnown[2]))
#endif

#ifdef BROKEN_ONE_WITNESS
#define knowsWitnessed(r) (HAS(buffer[0], r) || HAS(buffer[1], r))
#else
#define knowsWitnessed(r) onWitnesses(r)
#endif

#define knowsCommitted(r) (knowsStored(r) || knowsWitnessed(r))

#ifdef BROKEN_INTENT_AFTER_DISPATCH
#define mayDispatch isIssued[INTENT]
#else
#define mayDispatch knowsCommitted(INTENT)
#endif

#define effects (hasOwnerRun + hasFirstRun + hasSecondRun)

/* One owner can commit: after both seals nothing becomes committed that the successor did not find.
 * (A record in the sealed witness's buffer may still reach the other one; the successor has it.) */
#define checkSealed(r) assert(!isOwnerSealed || isSealDegraded || !isCommitted(r) \
                              || HAS(sealedFindings, r))

/* Whoever tells a caller must not be overtaken by a later owner that lacks the record. */
inline checkTold(teller, r, flag) {
    assert(servedBy <= teller || isServedDegraded || HAS(servedHistory, r));
    flag = true
}

inline append(w, r) {
    atomic {
        (isIssued[r] && !isKnown[r] && isWitnessUp[w] && !isWitnessSealed[w]
         && !HAS(buffer[w], r)) ->
        buffer[w] = buffer[w] | BIT(r);
        checkSealed(r)
    }
}

inline land(r) {
    atomic {
        isIssued[r] && segment[r] == EMPTY ->
        segment[r] = WRITTEN;
        checkSealed(r)
    }
}

inline learn(r) {
    atomic { isIssued[r] && !isKnown[r] && segment[r] == WRITTEN -> isKnown[r] = true }
}

/* The store handles creates whether their sender lives or not. */
active proctype Store() {
end:
    do
    :: land(TURN)
    :: land(INTENT)
    :: land(RESULT)
    od
}

active proctype Owner() {
end:
    do
    :: atomic { !isIssued[TURN] -> isIssued[TURN] = true }
       /* Two segments under way together. */
    :: atomic { isIssued[TURN] && !isIssued[INTENT] -> isIssued[INTENT] = true }
    :: atomic {
            mayDispatch && !hasOwnerRun ->
            hasOwnerRun = true;
            assert(effects <= 1);
            assert(!isOwnerDenied)
       }
    :: atomic {
            hasOwnerRun && knowsCommitted(INTENT) && !isIssued[RESULT] -> isIssued[RESULT] = true
       }
    :: atomic { knowsCommitted(TURN) && !wasToldTurn -> checkTold(0, TURN, wasToldTurn) }
    :: atomic { knowsCommitted(RESULT) && !wasToldResult -> checkTold(0, RESULT, wasToldResult) }
    :: learn(TURN)
    :: learn(INTENT)
    :: learn(RESULT)
    :: append(0, TURN)
    :: append(1, TURN)
    :: append(0, INTENT)
    :: append(1, INTENT)
    :: append(0, RESULT)
    :: append(1, RESULT)
    :: atomic { isOwnerUp = false; break }
    od
}

active proctype Deaths() {
end:
    do
    :: atomic { isWitnessUp[0] -> isWitnessUp[0] = false }
    :: atomic { isWitnessUp[1] -> isWitnessUp[1] = false }
    od
}

/* Creates the seal at the first empty position and has read what stands before it. What was read is
 * never changed, so reads and the create that succeeds are one step. */
inline sealStore() {
    atomic {
        position = 0;
        do
        :: segment[position] == WRITTEN ->
            found = found | BIT(position);
            position++
        :: else -> break
        od;
#ifndef BROKEN_NO_SEAL
        segment[position] = SEALED;
#endif
        position = 0
    }
}

/* Seals one witness and reads its buffer. If none is left, goes on only when the owner is gone. */
inline sealWitness() {
    atomic {
#ifndef BROKEN_NO_WITNESS_SEAL
        if
        :: isWitnessUp[0] -> isWitnessSealed[0] = true; found = found | buffer[0]
        :: isWitnessUp[1] -> isWitnessSealed[1] = true; found = found | buffer[1]
        :: !isWitnessUp[0] && !isWitnessUp[1] && !isOwnerUp -> isDegraded = true
        fi;
#endif
        isOwnerSealed = true;
        isSealDegraded = isDegraded;
        sealedFindings = sealedFindings | found
    }
}

/* Tells the callers what was found; it counts as told from then on. */
inline serve(successor) {
    atomic {
        assert(isDegraded || !wasToldTurn || HAS(found, TURN));
        assert(isDegraded || !wasToldResult || HAS(found, RESULT));
        servedBy = successor;
        servedHistory = found;
        isServedDegraded = isDegraded;
        wasToldTurn = wasToldTurn || HAS(found, TURN);
        wasToldResult = wasToldResult || HAS(found, RESULT)
    }
}

#define mayHaveRun (HAS(found, INTENT) || HAS(found, RESULT) || isDegraded)

/* Creates a record in the first successor's journal; refused if the second one sealed it. */
inline createOwn(place) {
    if
    :: successorJournal[place] == EMPTY -> successorJournal[place] = WRITTEN
    :: else -> goto end
    fi
}

inline commitFindings() {
    atomic {
        createOwn(0);
        successorFindings = found;
        areFindingsDegraded = isDegraded
    }
}

active proctype FirstSuccessor() {
    byte position;
    byte found;
    bool isDegraded;

    sealStore();
    sealWitness();
#ifdef BROKEN_ANSWER_BEFORE_FINDINGS
    serve(1);
    commitFindings();
#else
    commitFindings();
    serve(1);
#endif
    atomic {
        if
        :: mayHaveRun -> goto end
        :: else -> skip
        fi;
        assert(!hasOwnerRun);
        isOwnerDenied = true
    }
    /* The caller repeats the call, which runs here for the first time. */
    atomic { createOwn(1) }
    atomic {
        hasFirstRun = true;
        assert(effects <= 1);
        assert(!isFirstDenied)
    }
    atomic { createOwn(2) }
    atomic { checkTold(1, RESULT, wasToldResult) }
end:
    skip
}

/* Seals the first successor's journal, and has read what stands before. */
inline sealSuccessor() {
    atomic {
        position = 0;
        do
        :: successorJournal[position] == WRITTEN ->
            if
            :: position == 0 -> found = successorFindings; isDegraded = areFindingsDegraded
            :: else -> found = found | BIT(position)
            fi;
            position++
        :: else -> break
        od;
        successorJournal[position] = SEALED;
        hasFindings = position > 0;
        position = 0
    }
}

active proctype SecondSuccessor() {
    byte position;
    byte found;
    bool isDegraded;
    bool hasFindings;

    sealSuccessor();
    if
    :: hasFindings -> skip
    :: else ->
        /* The first successor committed nothing: the owner's journal is still to be read. */
        sealStore();
        sealWitness()
    fi;
    serve(2);
#ifdef PROBE_RESULT_FOUND_TWICE
    assert(!(hasFindings && HAS(found, RESULT) && !isDegraded));
#endif
#ifdef PROBE_DEGRADED
    assert(!isDegraded);
#endif
    atomic {
        if
        :: mayHaveRun -> goto end
        :: else -> skip
        fi;
        assert(!hasOwnerRun && !hasFirstRun);
        isOwnerDenied = true;
        isFirstDenied = true
    }
    atomic {
        hasSecondRun = true;
        assert(effects <= 1)
    }
#ifdef PROBE_SECOND_RUNS
    assert(false);
#endif
end:
    skip
}
