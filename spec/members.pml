/*
 * The order of member changes of the replicated log.
 *
 * Three machines tolerate the loss of one at a time. Machines are paused, replaced without notice or with a lost disk, and replaced as
 * planned: the successor starts first, the old one stops later. The leader changes one member at a time and waits until a quorum of the new
 * members has the change. A machine counts as lost until the leader has nothing left to do about it. The successor of a lost machine may be
 * paused, or lose its disk, meanwhile.
 *
 * Checked: while at most one machine is lost, a quorum of voters responds; no quorum of voters can be formed without one that holds
 * the acknowledged entry; the voters are never fewer than the tolerance needs, less one between two changes.
 *
 * A lost machine is taken to be noticed before its successor is ready (recruiter.SuspectTimeout).
 *
 * Variants, in each of which the checker must find a violated assertion:
 *   PARITY         the rule until 2728491: a silent voter goes only while the number of voters is even; with PROMOTE_FIRST and NO_LEAVE
 *   PROMOTE_FIRST  a learner is promoted before a lost voter goes
 *   NO_LEAVE       a machine stops without giving up its vote
 *   NO_COMMIT      a change is made before the last one has reached a quorum
 */

#ifndef REPLACEMENTS
#define REPLACEMENTS 3
#endif
#define MACHINES 3
#define NODES (MACHINES + REPLACEMENTS)
#define TOLERANCE 1
#define TARGET (2 * TOLERANCE + 1)

bit isVoter[NODES], isLearner[NODES], isUp[NODES], isGone[NODES];
bit holdsEntry[NODES];      /* holds the acknowledged entry */
byte predecessorOf[NODES], successorOf[NODES];
bit isCounted[NODES];       /* counts as lost */
byte nodeCount = MACHINES;
bit isPending;              /* the last change has not reached a quorum */
bit isAcknowledged;

byte i, n;
byte voters, responding, withEntry, withoutEntry, lost, silent, ready;
bit isReplicating;          /* a member that responds does not hold the acknowledged entry yet */

#define NONE 255
#define QUORUM (voters / 2 + 1)

#define IS_MEMBER(n) (isVoter[n] || isLearner[n])
#define HAS_LEADER (responding >= QUORUM)
#define IS_CAUGHT_UP(n) (holdsEntry[n] || !isAcknowledged)

/* Counts the voters, those that respond, and the losses. Sets silent to a voter that does not respond and ready to a learner to promote. */
inline count() {
	voters = 0; responding = 0; withEntry = 0; withoutEntry = 0; lost = 0; silent = NONE; ready = NONE; isReplicating = 0;
	i = 0;
	do
	:: i < NODES ->
		if
		:: isVoter[i] ->
			voters++;
			if
			:: isUp[i] && holdsEntry[i] -> responding++; withEntry++
			:: isUp[i] && !holdsEntry[i] -> responding++; withoutEntry++
			:: else -> silent = i
			fi
		:: else
		fi;
		if
		:: isLearner[i] && isUp[i] && IS_CAUGHT_UP(i) -> ready = i
		:: else
		fi;
		if
		:: isAcknowledged && isUp[i] && IS_MEMBER(i) && !holdsEntry[i] -> isReplicating = 1
		:: else
		fi;
		lost = lost + isCounted[i];
		i++
	:: else -> break
	od;
	i = 0
}

/* Clears what is derived, so that equal members are equal states. */
inline clear() {
	i = 0; n = 0; voters = 0; responding = 0; withEntry = 0; withoutEntry = 0; lost = 0; silent = 0; ready = 0; isReplicating = 0
}

inline check() {
	count();
	assert(lost > TOLERANCE || responding >= QUORUM);
	assert(!isAcknowledged || withoutEntry < QUORUM);
	assert(voters >= TARGET - 1);
	clear()
}

/* A voter that does not respond may go. */
#ifdef PARITY
#define MAY_GO (silent != NONE && voters % 2 == 0 && voters >= 4)
#else
#ifdef PROMOTE_FIRST
#define MAY_GO (silent != NONE && voters > TARGET)
#else
#define MAY_GO (silent != NONE && (voters > TARGET || (voters % 2 == 1 && ready != NONE)))
#endif
#endif
/* A learner may become a voter. */
#if defined(PROMOTE_FIRST) || defined(PARITY)
#define MAY_GROW (ready != NONE)
#else
#define MAY_GROW (ready != NONE && (voters < TARGET || voters % 2 == 0 || silent == NONE))
#endif
#ifdef NO_COMMIT
#define MAY_CHANGE HAS_LEADER
#else
#define MAY_CHANGE (HAS_LEADER && !isPending)
#endif
#if defined(NO_LEAVE) || defined(PARITY)
#define MAY_STOP 1
#else
#define MAY_STOP (MAY_CHANGE && voters > TARGET)
#endif

/* The successor of a lost machine may be lost in its place. */
#define SUCCEEDS_LOST(n) (n >= MACHINES && isGone[predecessorOf[n]] && isCounted[predecessorOf[n]])
#define MAY_BE_LOST(n) (isCounted[n] || SUCCEEDS_LOST(n) || lost < TOLERANCE)

inline startSuccessor(n) {
	isUp[nodeCount] = 1; isLearner[nodeCount] = 1; predecessorOf[nodeCount] = n; successorOf[n] = nodeCount;
	nodeCount++
}

/* The leader has nothing left to do: a machine that responds, or whose successor votes, is no longer lost. */
inline settle() {
	i = 0;
	do
	:: i < nodeCount ->
		if
		:: isUp[i] || (isGone[i] && isUp[successorOf[i]] && isVoter[successorOf[i]]) -> isCounted[i] = 0
		:: else
		fi;
		i++
	:: else -> break
	od
}

inline removeMachine(n) { isUp[n] = 0; isGone[n] = 1; holdsEntry[n] = 0 }

/* One step of the leader, or of the machine of node n. */
inline step() {
	if
	/* The leader demotes or promotes a member. */
	:: MAY_CHANGE && MAY_GO -> isVoter[silent] = 0; isLearner[silent] = 1; isPending = 1
	:: MAY_CHANGE && !MAY_GO && MAY_GROW -> isLearner[ready] = 0; isVoter[ready] = 1; isPending = 1
	:: HAS_LEADER && !isPending && !MAY_GO && !MAY_GROW && !isReplicating -> settle()
	/* The last change has reached a quorum, which then holds everything before it as well. */
	:: isPending && HAS_LEADER && (!isAcknowledged || withEntry >= QUORUM) -> isPending = 0
	:: !isAcknowledged && withEntry >= QUORUM -> isAcknowledged = 1
	:: HAS_LEADER && isUp[n] && IS_MEMBER(n) -> holdsEntry[n] = 1
	/* The machine is paused or cut off, and returns. */
	:: isUp[n] && MAY_BE_LOST(n) -> isUp[n] = 0; isCounted[n] = !SUCCEEDS_LOST(n)
	:: n < nodeCount && !isUp[n] && !isGone[n] -> isUp[n] = 1
	/* It is gone for good, or loses its disk. Its successor has no vote. */
	:: n < nodeCount && nodeCount < NODES && !isGone[n] && successorOf[n] == 0 && MAY_BE_LOST(n) ->
		if
		:: SUCCEEDS_LOST(n) -> isCounted[predecessorOf[n]] = 0
		:: else
		fi;
		removeMachine(n);
		isCounted[n] = 1;
		startSuccessor(n)
	/* It is to be replaced as planned, and stops once its successor votes. The leader takes its vote first. */
	:: nodeCount < NODES && isUp[n] && isVoter[n] && successorOf[n] == 0 && !isCounted[n] -> startSuccessor(n)
	:: isUp[n] && isVoter[n] && successorOf[n] != 0 && isUp[successorOf[n]] && isVoter[successorOf[n]] && MAY_STOP ->
		removeMachine(n);
#if defined(NO_LEAVE) || defined(PARITY)
		skip
#else
		isVoter[n] = 0; isPending = 1
#endif
	:: else
	fi
}

active proctype cluster() {
	isVoter[0] = 1; isVoter[1] = 1; isVoter[2] = 1;
	isUp[0] = 1; isUp[1] = 1; isUp[2] = 1;
end:
	do
	:: atomic {
		count();
		n = 0;
		do
		:: n < NODES - 1 -> n++
		:: break
		od;
		step();
		check()
	}
	od
}
