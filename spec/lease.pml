/*
 * Leases on the table of the control instances, and the fencing delay that protects the ownership of a leaf.
 *
 * Time is kept as ages and remaining times with upper bounds, so the state space is finite although time has no end.
 * Control instance 1 may be partitioned without noticing it, and then has an old table. Two entry instances renew leases.
 * Each renewal is sent, then confirmed, then its reply is received, with any time in between. At any moment, one change
 * is committed that takes a data centre out of service and moves a leaf from entry instance 0 to entry instance 1.
 *
 * Variants, in each of which the checker must find a violated assertion:
 *   STALE_CONFIRM    a partitioned control instance confirms renewals from its own table
 *   LATE_COUNT       the lease counts from the receipt of the reply, not from the sending of the renewal
 *   NO_LEASE_CHECK   an instance sends work without checking its lease
 *   EARLY_IN_FORCE   a change is reported as in force before all older leases have expired
 *   NO_FENCE         a new owner starts as soon as it learns that it is the owner
 *   SHORT_FENCE      a new owner waits only for the old lease, not for the work sent under it
 */

#define LEASE 2
#define WORK_TIME 2              /* longest time that sent work runs */
#ifdef SHORT_FENCE
#define FENCE (LEASE)
#else
#define FENCE (LEASE + WORK_TIME)
#endif
#define NONE 255

byte changeAge = NONE;           /* time since the change was committed, at most LEASE + 1 */
bit controlHasChange[2];         /* whether each control instance has the change; 1 is partitioned and never gets it */

/* At most one renewal is outstanding for each entry instance. */
byte renewalAge[2] = NONE;       /* time since it was sent, at most LEASE; NONE without one */
bit isConfirmed[2], replyHasChange[2];

bit hasChange[2], hasTable[2];   /* whether an entry instance has the change, and has received any table */
byte leaseLeft[2];               /* remaining time of its lease */
byte sinceLearned[2];            /* time since it received the change, at most FENCE */
bit isAcknowledged[2];           /* whether the control instances know that it applies the change */
byte workLeft[2];                /* remaining run time of the work that it sent to the leaf */
bit isInForce;

#ifdef NO_LEASE_CHECK
#define MAY_ACT(e) (hasTable[e])
#else
#define MAY_ACT(e) (hasTable[e] && leaseLeft[e] > 0)
#endif

#define IS_OLD_OWNER(e) ((e) == 0 && !hasChange[0])
#ifdef NO_FENCE
#define IS_NEW_OWNER(e) ((e) == 1 && hasChange[1])
#else
#define IS_NEW_OWNER(e) ((e) == 1 && hasChange[1] && sinceLearned[1] >= FENCE)
#endif

#define INCREMENT(x, cap) if :: x < cap -> x++ :: else fi
#define DECREMENT(x) if :: x > 0 -> x-- :: else fi

inline advanceTime() {
	d_step {
		if :: changeAge != NONE -> INCREMENT(changeAge, LEASE + 1) :: else fi;
		if :: renewalAge[0] != NONE -> INCREMENT(renewalAge[0], LEASE) :: else fi;
		if :: renewalAge[1] != NONE -> INCREMENT(renewalAge[1], LEASE) :: else fi;
		if :: hasChange[0] -> INCREMENT(sinceLearned[0], FENCE) :: else fi;
		if :: hasChange[1] -> INCREMENT(sinceLearned[1], FENCE) :: else fi;
		DECREMENT(leaseLeft[0]); DECREMENT(leaseLeft[1]);
		DECREMENT(workLeft[0]); DECREMENT(workLeft[1])
	}
}

inline commitChange() {
	d_step { changeAge == NONE -> changeAge = 0; controlHasChange[0] = 1 }
}

inline sendRenewal(e) {
	d_step {
		renewalAge[e] == NONE -> renewalAge[e] = 0; isConfirmed[e] = 0; replyHasChange[e] = 0;
		if
		:: hasChange[e] -> isAcknowledged[e] = 1
		:: else
		fi
	}
}

/* A majority confirms the renewal after it was sent, so the reply carries everything committed up to the confirmation. */
inline confirmFresh(e) {
	d_step { renewalAge[e] != NONE && !isConfirmed[e] -> isConfirmed[e] = 1; replyHasChange[e] = controlHasChange[0] }
}

/* A partitioned control instance confirms the renewal without a majority, so the reply carries its old table. */
inline confirmStale(e) {
	d_step { renewalAge[e] != NONE && !isConfirmed[e] -> isConfirmed[e] = 1; replyHasChange[e] = controlHasChange[1] }
}

/* The table of an instance never goes back: a reply can add the change but not remove it. */
inline receiveReply(e) {
	d_step {
		renewalAge[e] != NONE && isConfirmed[e] ->
		if
		:: replyHasChange[e] && !hasChange[e] -> hasChange[e] = 1; sinceLearned[e] = 0
		:: else
		fi;
		hasTable[e] = 1;
#ifdef LATE_COUNT
		leaseLeft[e] = LEASE;
#else
		if
		:: LEASE - renewalAge[e] > leaseLeft[e] -> leaseLeft[e] = LEASE - renewalAge[e]
		:: else
		fi;
#endif
		renewalAge[e] = NONE; isConfirmed[e] = 0; replyHasChange[e] = 0
	}
}

inline loseReply(e) {
	d_step { renewalAge[e] != NONE -> renewalAge[e] = NONE; isConfirmed[e] = 0; replyHasChange[e] = 0 }
}

inline sendWork(e) {
	d_step {
		MAY_ACT(e) ->
		/* A data centre that was taken out of service gets no work later than one lease after the change. */
		assert(hasChange[e] || changeAge == NONE || changeAge <= LEASE);
		/* Once the change is reported as in force, every instance that sends work has it. */
		assert(hasChange[e] || !isInForce);
		if
		:: IS_OLD_OWNER(e) || IS_NEW_OWNER(e) ->
			/* A leaf never runs work of two owners at once. */
			assert(workLeft[1 - e] == 0);
			workLeft[e] = WORK_TIME
		:: else
		fi
	}
}

inline declareInForce() {
	d_step {
		changeAge != NONE && !isInForce &&
#ifdef EARLY_IN_FORCE
		1
#else
		((isAcknowledged[0] && isAcknowledged[1]) || changeAge > LEASE)
#endif
		-> isInForce = 1
	}
}

active proctype deployment() {
	do
	:: advanceTime()
	:: commitChange()
	:: declareInForce()
	:: sendRenewal(0) :: sendRenewal(1)
	:: confirmFresh(0) :: confirmFresh(1)
#ifdef STALE_CONFIRM
	:: confirmStale(0) :: confirmStale(1)
#endif
	:: receiveReply(0) :: receiveReply(1)
	:: loseReply(0) :: loseReply(1)
	:: sendWork(0) :: sendWork(1)
	od
}
