/*
 * Attempts by several VMs to run the call with one key, and a log whose appends may arrive late, after the VM that made
 * them has given up or died.
 *
 * Checked: the call runs at most once; an attempt that was reported to the caller as not run never runs.
 *
 * BROKEN_SEND_UNCONFIRMED lets a VM whose append was not confirmed send the call without having read its claim back from
 * the log. BROKEN_RELEASE_AFTER_SEND releases a key after its call was sent and not answered. BROKEN_BATCHER_RELEASES lets
 * a batcher that gave up on the claim of an attempt release the key, although the VM that made the attempt may have
 * appended the claim directly.
 */
#define ATTEMPTS 3
#define NONE 255

typedef attempt_t {
	bit started;
	bit logged;          /* the claim is in the log */
	bit inFlight;        /* the append of the claim by the batcher is in flight */
	bit sent;
	bit ran;
	bit reportedNotRun;  /* the caller was told that the call did not run */
	bit abandoned;       /* the VM will not send the call */
	bit released;        /* the attempt released the key and can't win it again */
	bit directInFlight;  /* the append of the same claim by the VM itself is in flight */
};

attempt_t attempts[ATTEMPTS];
byte winner = NONE;
byte runs;

/* applyClaim adds a claim to the log: the first one holds the key until it is released. */
inline applyClaim(a) {
	attempts[a].inFlight = 0;
	attempts[a].logged = 1;
	if
	:: winner == NONE && !attempts[a].released -> winner = a
	:: else
	fi
}

/* An attempt by some VM; the VM may die at any step. */
proctype attempt(byte a) {
	atomic { attempts[a].started = 1; attempts[a].inFlight = 1 };
	/* If the batcher does not answer, the VM appends the same claim directly. */
	if
	:: attempts[a].directInFlight = 1
	:: true
	fi;
	if
	/* The VM has read its claim back from the log. */
	:: attempts[a].logged
	/* The claim is not confirmed in time: the VM abandons the attempt before sending anything. */
	:: atomic { true -> attempts[a].abandoned = 1; attempts[a].reportedNotRun = 1 }
#ifdef BROKEN_SEND_UNCONFIRMED
		-> attempts[a].abandoned = 0; attempts[a].reportedNotRun = 0; goto sendCall
#endif
	/* The VM dies. */
	:: goto finished
	fi;
	if
	:: attempts[a].abandoned ->
		/* If the claim reaches the log after all and wins, the VM releases the key. */
		if
		:: atomic { attempts[a].logged && winner == a -> winner = NONE; attempts[a].released = 1 }
		:: true
		fi;
		goto finished
	:: !attempts[a].abandoned && winner != a -> goto finished
	:: !attempts[a].abandoned && winner == a -> skip
	:: !attempts[a].abandoned && winner == a -> goto finished
	fi;
sendCall:
	if
	/* No endpoint could be reached: nothing was sent, so the VM releases the key. */
	:: atomic { winner == a -> attempts[a].reportedNotRun = 1; winner = NONE; attempts[a].released = 1 }; goto finished
	:: atomic { attempts[a].sent = 1 }
	fi;
	/* The call reaches the endpoint or is lost; its response may be lost as well. */
	if
	:: atomic { attempts[a].ran = 1; runs++; assert(runs <= 1); assert(!attempts[a].reportedNotRun) }
	:: true
	fi;
#ifdef BROKEN_RELEASE_AFTER_SEND
	if
	:: atomic { winner == a -> winner = NONE }
	:: true
	fi;
#endif
finished:
	skip
}

/* The log receives appends in any order, or they are lost. */
proctype log() {
	byte a;
end:
	do
	:: atomic { select(a : 0 .. ATTEMPTS - 1);
		if
		:: attempts[a].inFlight -> applyClaim(a)
		:: attempts[a].inFlight -> attempts[a].inFlight = 0
		:: attempts[a].directInFlight -> attempts[a].directInFlight = 0; applyClaim(a)
		:: attempts[a].directInFlight -> attempts[a].directInFlight = 0
#ifdef BROKEN_BATCHER_RELEASES
		:: attempts[a].logged && winner == a -> winner = NONE; attempts[a].released = 1
#endif
		:: else
		fi; a = 0 }
	od
}

init {
	atomic {
		run log();
		run attempt(0);
		run attempt(1);
		run attempt(2)
	}
}
