/*
 * Leases on the table, and the fence around the ownership of a leaf.
 *
 * Time is kept as ages and remaining times, so there is no last moment. One control instance may be silently cut off with
 * an old table. Two entry instances renew leases; each renewal is sent, then
 * confirmed, then received, with any time in between. At some moment a change
 * is committed that takes a data centre out and moves a leaf from instance 0
 * to instance 1.
 *
 * Variants, each of which the checker must find wrong:
 *   STALE_CONFIRM    a cut-off control instance answers from what it knows
 *   LATE_COUNT       the lease counts from the receipt of the reply
 *   NO_LEASE_CHECK   an instance acts without looking at its lease
 *   EARLY_IN_FORCE   a change is called in force before leases have run out
 *   NO_FENCE         a new owner starts as soon as it knows that it is one
 *   SHORT_FENCE      a new owner waits for one lease only, not for the work sent under it
 */

#define LEASE 2
#define WORK 2                   /* the longest time that sent work runs */
#ifdef SHORT_FENCE
#define FENCE (LEASE)
#else
#define FENCE (LEASE + WORK)
#endif
#define NONE 255

byte age = NONE;                 /* time since the change was committed, at most LEASE + 1 */
bit known[2];                    /* what each control instance knows; 1 is the cut-off one */

/* One renewal under way for each entry instance. */
byte sent[2] = NONE;             /* its age, at most LEASE */
bit confirmed[2], carries[2];

bit view[2], joined[2];          /* whether an instance has the change, and has had any table */
byte left[2];                    /* what is left of its lease */
byte learnt[2];                  /* time since it learnt of the change, at most FENCE */
bit acked[2];                    /* whether the control side has heard that the instance acts on the change */
byte runs[2];                    /* how long the work that each instance sent to the leaf still runs */
bit inForce;

#ifdef NO_LEASE_CHECK
#define MAY_ACT(e) (joined[e])
#else
#define MAY_ACT(e) (joined[e] && left[e] > 0)
#endif

#define OWNS_OLD(e) ((e) == 0 && !view[0])
#ifdef NO_FENCE
#define OWNS_NEW(e) ((e) == 1 && view[1])
#else
#define OWNS_NEW(e) ((e) == 1 && view[1] && learnt[1] >= FENCE)
#endif

#define OLDER(x, cap) if :: x < cap -> x++ :: else fi
#define SHORTER(x) if :: x > 0 -> x-- :: else fi

inline tick() {
	d_step {
		if :: age != NONE -> OLDER(age, LEASE + 1) :: else fi;
		if :: sent[0] != NONE -> OLDER(sent[0], LEASE) :: else fi;
		if :: sent[1] != NONE -> OLDER(sent[1], LEASE) :: else fi;
		if :: view[0] -> OLDER(learnt[0], FENCE) :: else fi;
		if :: view[1] -> OLDER(learnt[1], FENCE) :: else fi;
		SHORTER(left[0]); SHORTER(left[1]);
		SHORTER(runs[0]); SHORTER(runs[1])
	}
}

inline commitChange() {
	d_step { age == NONE -> age = 0; known[0] = 1 }
}

inline sendRenewal(e) {
	d_step {
		sent[e] == NONE -> sent[e] = 0; confirmed[e] = 0; carries[e] = 0;
		if
		:: view[e] -> acked[e] = 1
		:: else
		fi
	}
}

/* A majority confirms: the reply carries what was committed when it was confirmed, after the renewal was sent. */
inline confirmFresh(e) {
	d_step { sent[e] != NONE && !confirmed[e] -> confirmed[e] = 1; carries[e] = known[0] }
}

inline confirmStale(e) {
	d_step { sent[e] != NONE && !confirmed[e] -> confirmed[e] = 1; carries[e] = known[1] }
}

/* What an instance acts on only moves forward, since a reply can only add the change. */
inline receiveReply(e) {
	d_step {
		sent[e] != NONE && confirmed[e] ->
		if
		:: carries[e] && !view[e] -> view[e] = 1; learnt[e] = 0
		:: else
		fi;
		joined[e] = 1;
#ifdef LATE_COUNT
		left[e] = LEASE;
#else
		if
		:: LEASE - sent[e] > left[e] -> left[e] = LEASE - sent[e]
		:: else
		fi;
#endif
		sent[e] = NONE; confirmed[e] = 0; carries[e] = 0
	}
}

inline loseReply(e) {
	d_step { sent[e] != NONE -> sent[e] = NONE; confirmed[e] = 0; carries[e] = 0 }
}

inline act(e) {
	d_step {
		MAY_ACT(e) ->
		/* A data centre that was taken out gets no work later than one lease after the change. */
		assert(view[e] || age == NONE || age <= LEASE);
		/* What was called in force everywhere is in force. */
		assert(view[e] || !inForce);
		if
		:: OWNS_OLD(e) || OWNS_NEW(e) ->
			/* The leaf never has work of two owners. */
			assert(runs[1 - e] == 0);
			runs[e] = WORK
		:: else
		fi
	}
}

inline sayInForce() {
	d_step {
		age != NONE && !inForce &&
#ifdef EARLY_IN_FORCE
		1
#else
		((acked[0] && acked[1]) || age > LEASE)
#endif
		-> inForce = 1
	}
}

active proctype tier() {
	do
	:: tick()
	:: commitChange()
	:: sayInForce()
	:: sendRenewal(0) :: sendRenewal(1)
	:: confirmFresh(0) :: confirmFresh(1)
#ifdef STALE_CONFIRM
	:: confirmStale(0) :: confirmStale(1)
#endif
	:: receiveReply(0) :: receiveReply(1)
	:: loseReply(0) :: loseReply(1)
	:: act(0) :: act(1)
	od
}
