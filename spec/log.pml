/*
 * The replicated log of the control instances.
 *
 * Three nodes elect leaders, replicate entries, restart, lose disks and are
 * repaired. A message once sent is a fact that stays: a vote or an
 * acknowledgement may be read at any later time, any number of times or
 * never. That covers loss, repetition, reordering and delay, and with them a
 * leader that is silently cut off.
 *
 * Every entry carries the same change id, so a second entry is a resend of a
 * change whose answer was lost.
 *
 * Variants, each of which the checker must find wrong:
 *   NO_MAJORITY      one vote or acknowledgement is enough
 *   NO_TERM_CHECK    entries of earlier terms are committed by count
 *   NO_SYNC          entries are acknowledged before they are synced
 *   NO_VOTE_SYNC     votes are given before they are synced
 *   NO_LOG_CHECK     votes are given to candidates with an older log
 *   FRESH_DISK_VOTES a fresh disk votes under the identity of the lost one
 *   EARLY_VOTER      a non-voter gets its vote before it holds everything committed
 *   NO_CHANGE_ID     the state machine does not look for the change id
 *   SNAPSHOT_FORGETS a snapshot does not hold the change ids
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
#define AT(t, n) ((t) * NODES + (n))
#define LOG(n, i) ((n) * ENTRIES + (i))
#define PUB(t, i) ((t) * ENTRIES + (i))

#ifdef NO_TERM_CHECK
#define OWN_TERM(written, present) 1
#else
#define OWN_TERM(written, present) ((written) == (present))
#endif
#ifdef NO_MAJORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

byte term[NODES], vote[NODES], held[NODES];
byte entry[NODES * ENTRIES];          /* the term of each entry */
bit leads[NODES];
bit lost[NODES];                      /* a fresh disk that does not vote yet */
byte losses;

/* Facts: what was once sent. */
byte granted[(TERMS + 1) * NODES];    /* the candidate that a node voted for, plus one */
bit stands[(TERMS + 1) * NODES];
byte standsLen[(TERMS + 1) * NODES], standsTerm[(TERMS + 1) * NODES];
byte leaderOf[TERMS + 1], published[TERMS + 1];
byte publishedEntry[(TERMS + 1) * ENTRIES];
byte acked[(TERMS + 1) * NODES];

/* What was committed, as an observer of everything sees it. */
byte comLen, com[ENTRIES], effects;
byte comLenSeen[NODES];               /* how far each leader knows that entries are committed */

#ifdef SNAPSHOTS
/* A node's own state machine: how often the change took effect, whether its id is known, and the same in its snapshot. */
byte ran[NODES], snapTo[NODES], snapRan[NODES];
bit knows[NODES];
#endif

bit stoodFirst;

byte i, k;
bit good;

#ifdef SNAPSHOTS
#define APPLY(n, upto) \
	i = comLenSeen[n]; \
	do \
	:: i < upto -> \
		if \
		:: !knows[n] -> ran[n]++; knows[n] = 1 \
		:: else \
		fi; \
		i++ \
	:: else -> break \
	od; \
	assert(ran[n] <= 1)
#define RELOAD(n) \
	comLenSeen[n] = snapTo[n]; ran[n] = snapRan[n]; \
	knows[n] = SNAPSHOT_KNOWS(n)
#ifdef SNAPSHOT_FORGETS
#define SNAPSHOT_KNOWS(n) 0
#else
#define SNAPSHOT_KNOWS(n) (snapTo[n] > 0)
#endif
#else
#define APPLY(n, upto) skip
#define RELOAD(n) comLenSeen[n] = 0
#endif

inline lastTerm(n) {
	k = 0;
	if
	:: held[n] > 0 -> k = entry[LOG(n, held[n] - 1)]
	:: else
	fi
}

inline publish(n) {
	published[term[n]] = held[n];
	i = 0;
	do
	:: i < held[n] -> publishedEntry[PUB(term[n], i)] = entry[LOG(n, i)]; i++
	:: else -> break
	od;
	acked[AT(term[n], n)] = held[n]
}

inline stand(n) {
	d_step {
		/* The nodes are alike, so the first one to stand is called 0. */
		term[n] < TERMS && !lost[n] && !leads[n] && (n == 0 || stoodFirst) ->
		stoodFirst = 1;
		term[n]++;
		vote[n] = n + 1;
		granted[AT(term[n], n)] = n + 1;
		stands[AT(term[n], n)] = 1;
		standsLen[AT(term[n], n)] = held[n];
		lastTerm(n);
		standsTerm[AT(term[n], n)] = k;
		i = 0; k = 0
	}
}

inline giveVote(v, c, t) {
	d_step {
		v != c && !lost[v] && stands[AT(t, c)] && granted[AT(t, v)] != c + 1 &&
		(t > term[v] || (t == term[v] && (vote[v] == 0 || vote[v] == c + 1))) ->
		lastTerm(v);
#ifdef NO_LOG_CHECK
		good = 1;
#else
		good = standsTerm[AT(t, c)] > k || (standsTerm[AT(t, c)] == k && standsLen[AT(t, c)] >= held[v]);
#endif
		if
		:: good ->
			term[v] = t;
			vote[v] = c + 1;
			leads[v] = 0;
			granted[AT(t, v)] = c + 1
		:: else
		fi;
		i = 0; k = 0; good = 0
	}
}

inline win(n) {
	d_step {
		!leads[n] && !lost[n] && vote[n] == n + 1 && term[n] > 0 && leaderOf[term[n]] != n + 1 && stands[AT(term[n], n)] &&
		((granted[AT(term[n], 0)] == n + 1) + (granted[AT(term[n], 1)] == n + 1) + (granted[AT(term[n], 2)] == n + 1)) >= QUORUM ->
		assert(leaderOf[term[n]] == 0);
		leaderOf[term[n]] = n + 1;
		leads[n] = 1;
		publish(n);
		i = 0
	}
}

inline submit(n) {
	d_step {
		leads[n] && held[n] < ENTRIES ->
		entry[LOG(n, held[n])] = term[n];
		held[n]++;
		publish(n);
		i = 0
	}
}

/* A follower takes the first k entries of the leader of term t. */
inline follow(n, t, upto) {
	d_step {
		leaderOf[t] != 0 && leaderOf[t] != n + 1 && t >= term[n] && upto <= published[t] &&
		!(t == term[n] && acked[AT(t, n)] >= upto && upto > 0 && !lost[n]) ->
		if
		:: t > term[n] -> term[n] = t; vote[n] = 0
		:: else
		fi;
		leads[n] = 0;
		i = 0;
		do
		:: i < upto ->
			if
			:: i >= held[n] || entry[LOG(n, i)] != publishedEntry[PUB(t, i)] ->
				entry[LOG(n, i)] = publishedEntry[PUB(t, i)];
				held[n] = i + 1
			:: else
			fi;
			i++
		:: else -> break
		od;
		/* What was cut off is cleared, so that equal logs are equal states. */
		i = held[n];
		do
		:: i < ENTRIES -> entry[LOG(n, i)] = 0; i++
		:: else -> break
		od;
		if
		:: !lost[n] && acked[AT(t, n)] < upto -> acked[AT(t, n)] = upto
		:: else
		fi;
		i = 0
	}
}

inline commit(n, upto) {
	d_step {
		leads[n] && upto <= held[n] && upto > comLenSeen[n] &&
		((acked[AT(term[n], 0)] >= upto) + (acked[AT(term[n], 1)] >= upto) + (acked[AT(term[n], 2)] >= upto)) >= QUORUM &&
		OWN_TERM(entry[LOG(n, upto - 1)], term[n]) ->
		APPLY(n, upto);
		comLenSeen[n] = upto;
		i = 0;
		do
		:: i < upto ->
			if
			:: i < comLen -> assert(com[i] == entry[LOG(n, i)])
			:: else ->
				com[i] = entry[LOG(n, i)];
				comLen++;
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
		leads[n] || stands[AT(term[n], n)] || held[n] > 0 || vote[n] > 0 ->
		leads[n] = 0;
		RELOAD(n);
#ifdef NO_SYNC
		if
		:: held[n] > 0 -> held[n]--; entry[LOG(n, held[n])] = 0
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
inline snapshot(n) {
	d_step { comLenSeen[n] > snapTo[n] -> snapTo[n] = comLenSeen[n]; snapRan[n] = ran[n] }
}
#endif

/* A disk is lost; the instance comes back with a fresh one. One at a time. */
inline loseDisk(n) {
	d_step {
		losses < LOSSES && !lost[0] && !lost[1] && !lost[2] ->
		losses++;
		term[n] = 0;
		vote[n] = 0;
		held[n] = 0;
		leads[n] = 0;
		comLenSeen[n] = 0;
		i = 0;
		do
		:: i < ENTRIES -> entry[LOG(n, i)] = 0; i++
		:: else -> break
		od;
		i = 0;
#ifndef FRESH_DISK_VOTES
		lost[n] = 1
#endif
	}
}

/*
 * The leader replaces the lost member by the fresh one. Three of four voters
 * must take the entry that says so, so the other one follows the leader in its
 * term and does not stand in it.
 */
inline promote(n, l) {
	d_step {
		lost[n] && leads[l] && term[3 - n - l] == term[l] && !stands[AT(term[l], 3 - n - l)] && term[n] == term[l] ->
		good = held[n] >= comLen;
		i = 0;
		do
		:: good && i < comLen -> good = (entry[LOG(n, i)] == com[i]); i++
		:: else -> break
		od;
#ifdef EARLY_VOTER
		good = 1;
#endif
		if
		:: good ->
			lost[n] = 0;
			/* Votes and acknowledgements of the lost member no longer count. */
			i = 0;
			do
			:: i <= TERMS -> granted[AT(i, n)] = 0; stands[AT(i, n)] = 0; acked[AT(i, n)] = 0; i++
			:: else -> break
			od
		:: else
		fi;
		i = 0; good = 0
	}
}

#define EACH(what) :: what(0) :: what(1) :: what(2)

#define VOTES(t) :: giveVote(0, 1, t) :: giveVote(0, 2, t) :: giveVote(1, 0, t) :: giveVote(1, 2, t) :: giveVote(2, 0, t) :: giveVote(2, 1, t)
#define FOLLOWS(t, upto) :: follow(0, t, upto) :: follow(1, t, upto) :: follow(2, t, upto)
#define COMMITS(upto) :: commit(0, upto) :: commit(1, upto) :: commit(2, upto)

active proctype cluster() {
end:
	do
	EACH(stand)
	EACH(win)
	EACH(submit)
	EACH(restart)
#ifdef SNAPSHOTS
	EACH(snapshot)
#endif
#if LOSSES > 0
	EACH(loseDisk)
	:: promote(0, 1) :: promote(0, 2) :: promote(1, 0) :: promote(1, 2) :: promote(2, 0) :: promote(2, 1)
#endif
	VOTES(1)
	FOLLOWS(1, 0)
	FOLLOWS(1, 1)
	COMMITS(1)
#if TERMS >= 2
	VOTES(2)
	FOLLOWS(2, 0)
	FOLLOWS(2, 1)
#endif
#if TERMS >= 3
	VOTES(3)
	FOLLOWS(3, 0)
	FOLLOWS(3, 1)
#endif
#if TERMS >= 4
	VOTES(4)
	FOLLOWS(4, 0)
	FOLLOWS(4, 1)
#endif
#if ENTRIES >= 2
	FOLLOWS(1, 2)
	FOLLOWS(2, 2)
#if TERMS >= 3
	FOLLOWS(3, 2)
#endif
	COMMITS(2)
#endif
	od
}
