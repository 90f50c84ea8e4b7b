/*
 * The replicated log of the control instances.
 *
 * Three nodes elect leaders, replicate entries, restart, lose disks and are replaced. A message that was sent is kept
 * for good: a vote or an acknowledgement may be read at any later time, any number of times or never. This covers loss,
 * duplication, reordering and delay of messages, and so also a leader that is partitioned without noticing.
 *
 * Every entry carries the same change ID, so a second entry is a retry of a change whose reply was lost.
 *
 * Variants, in each of which the checker must find a violated assertion:
 *   NO_MAJORITY      one vote or acknowledgement is enough
 *   NO_TERM_CHECK    entries of earlier terms are committed by counting acknowledgements
 *   NO_SYNC          entries are acknowledged before they are synced to disk
 *   NO_VOTE_SYNC     votes are sent before they are synced to disk
 *   NO_LOG_CHECK     votes are granted to candidates whose log is behind
 *   FRESH_DISK_VOTES a node with a fresh disk votes under the identity of the lost one
 *   EARLY_VOTER      a non-voter becomes a voter before it holds every committed entry
 *   NO_CHANGE_ID     the state machine does not detect duplicates by the change ID
 *   SNAPSHOT_FORGETS a snapshot does not contain the change IDs
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef LOSSES
#define LOSSES 0
#endif
#define NODES 3
#define TERM_NODE(t, n) ((t) * NODES + (n))
#define LOG_SLOT(n, i) ((n) * ENTRIES + (i))
#define SENT_SLOT(t, i) ((t) * ENTRIES + (i))

#ifdef NO_TERM_CHECK
#define IS_COMMITTABLE(entryTerm, currentTerm) 1
#else
#define IS_COMMITTABLE(entryTerm, currentTerm) ((entryTerm) == (currentTerm))
#endif
#ifdef NO_MAJORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

byte term[NODES], vote[NODES], logLength[NODES];
byte logTerm[NODES * ENTRIES];       /* term of each entry */
bit isLeader[NODES];
bit isNonVoter[NODES];               /* came back with a fresh disk and has not been promoted */
byte losses;                         /* disks lost so far */

/* Messages sent, by term and sender. They are never removed, except those of a lost node. */
byte voteSent[(TERMS + 1) * NODES];  /* candidate that the node voted for, plus one */
bit voteRequested[(TERMS + 1) * NODES];
byte requestLogLength[(TERMS + 1) * NODES], requestLastTerm[(TERMS + 1) * NODES];
byte leaderOf[TERMS + 1], sentLength[TERMS + 1];
byte sentTerm[(TERMS + 1) * ENTRIES];
byte acknowledged[(TERMS + 1) * NODES];

/* The committed log as seen by an observer of all nodes, and how often the change took effect in it. */
byte committedLength, committedTerm[ENTRIES], effects;
byte commitIndex[NODES];             /* number of entries that each leader knows to be committed */

#ifdef SNAPSHOTS
/*
 * The state machine of each node: how often it applied the change and whether it knows the change ID. Its snapshot holds
 * the number of entries covered and how often the change was applied in them.
 */
byte timesApplied[NODES], snapshotIndex[NODES], snapshotTimesApplied[NODES];
bit knowsChangeID[NODES];
#endif

bit hasElectionStarted;

byte i, lastLogTerm;
bit isAllowed;

#ifdef SNAPSHOTS
#define APPLY(n, length) \
	i = commitIndex[n]; \
	do \
	:: i < length -> \
		if \
		:: !knowsChangeID[n] -> timesApplied[n]++; knowsChangeID[n] = 1 \
		:: else \
		fi; \
		i++ \
	:: else -> break \
	od; \
	assert(timesApplied[n] <= 1)
#define RESTORE(n) \
	commitIndex[n] = snapshotIndex[n]; timesApplied[n] = snapshotTimesApplied[n]; \
	knowsChangeID[n] = SNAPSHOT_HAS_CHANGE_ID(n)
#ifdef SNAPSHOT_FORGETS
#define SNAPSHOT_HAS_CHANGE_ID(n) 0
#else
#define SNAPSHOT_HAS_CHANGE_ID(n) (snapshotIndex[n] > 0)
#endif
#else
#define APPLY(n, length) skip
#define RESTORE(n) commitIndex[n] = 0
#endif

inline readLastLogTerm(n) {
	lastLogTerm = 0;
	if
	:: logLength[n] > 0 -> lastLogTerm = logTerm[LOG_SLOT(n, logLength[n] - 1)]
	:: else
	fi
}

inline sendEntries(n) {
	sentLength[term[n]] = logLength[n];
	i = 0;
	do
	:: i < logLength[n] -> sentTerm[SENT_SLOT(term[n], i)] = logTerm[LOG_SLOT(n, i)]; i++
	:: else -> break
	od;
	acknowledged[TERM_NODE(term[n], n)] = logLength[n]
}

inline startElection(n) {
	d_step {
		/* Symmetry reduction: the nodes are interchangeable, so the first candidate is always node 0. */
		term[n] < TERMS && !isNonVoter[n] && !isLeader[n] && (n == 0 || hasElectionStarted) ->
		hasElectionStarted = 1;
		term[n]++;
		vote[n] = n + 1;
		voteSent[TERM_NODE(term[n], n)] = n + 1;
		voteRequested[TERM_NODE(term[n], n)] = 1;
		requestLogLength[TERM_NODE(term[n], n)] = logLength[n];
		readLastLogTerm(n);
		requestLastTerm[TERM_NODE(term[n], n)] = lastLogTerm;
		i = 0; lastLogTerm = 0
	}
}

inline grantVote(v, c, t) {
	d_step {
		v != c && !isNonVoter[v] && voteRequested[TERM_NODE(t, c)] && voteSent[TERM_NODE(t, v)] != c + 1 &&
		(t > term[v] || (t == term[v] && (vote[v] == 0 || vote[v] == c + 1))) ->
		readLastLogTerm(v);
#ifdef NO_LOG_CHECK
		isAllowed = 1;
#else
		isAllowed = requestLastTerm[TERM_NODE(t, c)] > lastLogTerm || (requestLastTerm[TERM_NODE(t, c)] == lastLogTerm && requestLogLength[TERM_NODE(t, c)] >= logLength[v]);
#endif
		if
		:: isAllowed ->
			term[v] = t;
			vote[v] = c + 1;
			isLeader[v] = 0;
			voteSent[TERM_NODE(t, v)] = c + 1
		:: else
		fi;
		i = 0; lastLogTerm = 0; isAllowed = 0
	}
}

inline becomeLeader(n) {
	d_step {
		!isLeader[n] && !isNonVoter[n] && vote[n] == n + 1 && term[n] > 0 && leaderOf[term[n]] != n + 1 && voteRequested[TERM_NODE(term[n], n)] &&
		((voteSent[TERM_NODE(term[n], 0)] == n + 1) + (voteSent[TERM_NODE(term[n], 1)] == n + 1) + (voteSent[TERM_NODE(term[n], 2)] == n + 1)) >= QUORUM ->
		assert(leaderOf[term[n]] == 0);
		leaderOf[term[n]] = n + 1;
		isLeader[n] = 1;
		sendEntries(n);
		i = 0
	}
}

inline appendEntry(n) {
	d_step {
		isLeader[n] && logLength[n] < ENTRIES ->
		logTerm[LOG_SLOT(n, logLength[n])] = term[n];
		logLength[n]++;
		sendEntries(n);
		i = 0
	}
}

/* Node n accepts the first length entries that the leader of term t sent. */
inline acceptEntries(n, t, length) {
	d_step {
		leaderOf[t] != 0 && leaderOf[t] != n + 1 && t >= term[n] && length <= sentLength[t] &&
		!(t == term[n] && acknowledged[TERM_NODE(t, n)] >= length && length > 0 && !isNonVoter[n]) ->
		if
		:: t > term[n] -> term[n] = t; vote[n] = 0
		:: else
		fi;
		isLeader[n] = 0;
		i = 0;
		do
		:: i < length ->
			if
			:: i >= logLength[n] || logTerm[LOG_SLOT(n, i)] != sentTerm[SENT_SLOT(t, i)] ->
				logTerm[LOG_SLOT(n, i)] = sentTerm[SENT_SLOT(t, i)];
				logLength[n] = i + 1
			:: else
			fi;
			i++
		:: else -> break
		od;
		/* Clear the truncated entries, so that equal logs are equal states. */
		i = logLength[n];
		do
		:: i < ENTRIES -> logTerm[LOG_SLOT(n, i)] = 0; i++
		:: else -> break
		od;
		if
		:: !isNonVoter[n] && acknowledged[TERM_NODE(t, n)] < length -> acknowledged[TERM_NODE(t, n)] = length
		:: else
		fi;
		i = 0
	}
}

inline advanceCommitIndex(n, length) {
	d_step {
		isLeader[n] && length <= logLength[n] && length > commitIndex[n] &&
		((acknowledged[TERM_NODE(term[n], 0)] >= length) + (acknowledged[TERM_NODE(term[n], 1)] >= length) + (acknowledged[TERM_NODE(term[n], 2)] >= length)) >= QUORUM &&
		IS_COMMITTABLE(logTerm[LOG_SLOT(n, length - 1)], term[n]) ->
		APPLY(n, length);
		commitIndex[n] = length;
		i = 0;
		do
		:: i < length ->
			if
			:: i < committedLength -> assert(committedTerm[i] == logTerm[LOG_SLOT(n, i)])
			:: else ->
				committedTerm[i] = logTerm[LOG_SLOT(n, i)];
				committedLength++;
#ifdef NO_CHANGE_ID
				effects++
#else
				effects = 1
#endif
			fi;
			i++
		:: else -> break
		od;
		assert(effects <= 1);
		i = 0
	}
}

inline restart(n) {
	d_step {
		isLeader[n] || voteRequested[TERM_NODE(term[n], n)] || logLength[n] > 0 || vote[n] > 0 ->
		isLeader[n] = 0;
		RESTORE(n);
#ifdef NO_SYNC
		if
		:: logLength[n] > 0 -> logLength[n]--; logTerm[LOG_SLOT(n, logLength[n])] = 0
		:: else
		fi;
#endif
#ifdef NO_VOTE_SYNC
		vote[n] = 0;
#endif
		skip
	}
}

#ifdef SNAPSHOTS
inline takeSnapshot(n) {
	d_step { commitIndex[n] > snapshotIndex[n] -> snapshotIndex[n] = commitIndex[n]; snapshotTimesApplied[n] = timesApplied[n] }
}
#endif

/* A node loses its disk and comes back with a fresh one. At most one node is a non-voter at a time. */
inline loseDisk(n) {
	d_step {
		losses < LOSSES && !isNonVoter[0] && !isNonVoter[1] && !isNonVoter[2] ->
		losses++;
		term[n] = 0;
		vote[n] = 0;
		logLength[n] = 0;
		isLeader[n] = 0;
		commitIndex[n] = 0;
		i = 0;
		do
		:: i < ENTRIES -> logTerm[LOG_SLOT(n, i)] = 0; i++
		:: else -> break
		od;
		i = 0;
#ifndef FRESH_DISK_VOTES
		isNonVoter[n] = 1
#endif
	}
}

/*
 * Leader l replaces the lost member by node n with its fresh disk. Three of four voters must accept the configuration
 * entry, so the third node follows the leader in this term and is not a candidate in it.
 */
inline promote(n, l) {
	d_step {
		isNonVoter[n] && isLeader[l] && term[3 - n - l] == term[l] && !voteRequested[TERM_NODE(term[l], 3 - n - l)] && term[n] == term[l] ->
		isAllowed = logLength[n] >= committedLength;
		i = 0;
		do
		:: isAllowed && i < committedLength -> isAllowed = (logTerm[LOG_SLOT(n, i)] == committedTerm[i]); i++
		:: else -> break
		od;
#ifdef EARLY_VOTER
		isAllowed = 1;
#endif
		if
		:: isAllowed ->
			isNonVoter[n] = 0;
			/* Messages that the lost member sent no longer count. */
			i = 0;
			do
			:: i <= TERMS -> voteSent[TERM_NODE(i, n)] = 0; voteRequested[TERM_NODE(i, n)] = 0; acknowledged[TERM_NODE(i, n)] = 0; i++
			:: else -> break
			od
		:: else
		fi;
		i = 0; isAllowed = 0
	}
}

#define FOR_EACH_NODE(action) :: action(0) :: action(1) :: action(2)

#define GRANT_VOTES(t) :: grantVote(0, 1, t) :: grantVote(0, 2, t) :: grantVote(1, 0, t) :: grantVote(1, 2, t) :: grantVote(2, 0, t) :: grantVote(2, 1, t)
#define ACCEPT_ENTRIES(t, length) :: acceptEntries(0, t, length) :: acceptEntries(1, t, length) :: acceptEntries(2, t, length)
#define ADVANCE_COMMIT_INDEX(length) :: advanceCommitIndex(0, length) :: advanceCommitIndex(1, length) :: advanceCommitIndex(2, length)

active proctype cluster() {
end:
	do
	FOR_EACH_NODE(startElection)
	FOR_EACH_NODE(becomeLeader)
	FOR_EACH_NODE(appendEntry)
	FOR_EACH_NODE(restart)
#ifdef SNAPSHOTS
	FOR_EACH_NODE(takeSnapshot)
#endif
#if LOSSES > 0
	FOR_EACH_NODE(loseDisk)
	:: promote(0, 1) :: promote(0, 2) :: promote(1, 0) :: promote(1, 2) :: promote(2, 0) :: promote(2, 1)
#endif
	GRANT_VOTES(1)
	ACCEPT_ENTRIES(1, 0)
	ACCEPT_ENTRIES(1, 1)
	ADVANCE_COMMIT_INDEX(1)
#if TERMS >= 2
	GRANT_VOTES(2)
	ACCEPT_ENTRIES(2, 0)
	ACCEPT_ENTRIES(2, 1)
#endif
#if TERMS >= 3
	GRANT_VOTES(3)
	ACCEPT_ENTRIES(3, 0)
	ACCEPT_ENTRIES(3, 1)
#endif
#if TERMS >= 4
	GRANT_VOTES(4)
	ACCEPT_ENTRIES(4, 0)
	ACCEPT_ENTRIES(4, 1)
#endif
#if ENTRIES >= 2
	ACCEPT_ENTRIES(1, 2)
	ACCEPT_ENTRIES(2, 2)
#if TERMS >= 3
	ACCEPT_ENTRIES(3, 2)
#endif
	ADVANCE_COMMIT_INDEX(2)
#endif
	od
}
