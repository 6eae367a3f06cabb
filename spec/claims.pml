/*
 * One key, two VMs, and a log whose appends may arrive late, after the VM that made them has given up or died.
 *
 * Checked: the call with the key runs at most once; an attempt that was answered "not run" never runs.
 *
 * BROKEN_REPEAT makes a VM whose append had no answer claim again and send without reading back; BROKEN_RELEASE frees
 * a key after its call was sent without an answer, and BROKEN_BATCHER lets the batcher that gave an attempt's claim up
 * free its key, although the VM that made the attempt turned to the log by itself.
 */
#define ATTEMPTS 3
#define NOBODY 255

typedef attempt_t {
	bit started;
	bit logged;    /* the claim is in the log's order */
	bit flying;    /* the claim's append is on its way */
	bit sent;
	bit ran;
	bit notRun;    /* the caller was told so */
	bit gaveUp;    /* no send follows */
	bit released;
	bit second;    /* a second append of the same claim is on its way */
};

attempt_t attempts[ATTEMPTS];
byte winner = NOBODY;
byte runs;

/* fold puts a claim into the log's order: the first one holds the key until it is released. */
inline fold(a) {
	attempts[a].flying = 0;
	attempts[a].logged = 1;
	if
	:: winner == NOBODY && !attempts[a].released -> winner = a
	:: else
	fi
}

/* An attempt by some VM; the VM may die at any step. */
proctype attempt(byte a) {
	atomic { attempts[a].started = 1; attempts[a].flying = 1 };
	/* The batcher does not answer: the VM appends the same claim by itself. */
	if
	:: attempts[a].second = 1
	:: true
	fi;
	if
	/* The answer comes, and the VM has folded its own claim. */
	:: attempts[a].logged
	/* The VM can't tell in time: it gives up before any send. */
	:: atomic { true -> attempts[a].gaveUp = 1; attempts[a].notRun = 1 }
#ifdef BROKEN_REPEAT
		-> attempts[a].gaveUp = 0; attempts[a].notRun = 0; goto send
#endif
	/* The VM dies. */
	:: goto dead
	fi;
	if
	:: attempts[a].gaveUp ->
		/* If the claim turns up after all, the key is freed. */
		if
		:: atomic { attempts[a].logged && winner == a -> winner = NOBODY; attempts[a].released = 1 }
		:: true
		fi;
		goto dead
	:: !attempts[a].gaveUp && winner != a -> goto dead
	:: !attempts[a].gaveUp && winner == a -> skip
	:: !attempts[a].gaveUp && winner == a -> goto dead
	fi;
send:
	if
	/* No endpoint is reached: nothing was sent, and the key is freed. */
	:: atomic { winner == a -> attempts[a].notRun = 1; winner = NOBODY; attempts[a].released = 1 }; goto dead
	:: atomic { attempts[a].sent = 1 }
	fi;
	/* The call arrives or is lost; the answer may be lost too. */
	if
	:: atomic { attempts[a].ran = 1; runs++; assert(runs <= 1); assert(!attempts[a].notRun) }
	:: true
	fi;
#ifdef BROKEN_RELEASE
	if
	:: atomic { winner == a -> winner = NOBODY }
	:: true
	fi;
#endif
dead:
	skip
}

/* The log takes appends that are on their way, in any order, or loses them. */
proctype log() {
	byte a;
end:
	do
	:: atomic { select(a : 0 .. ATTEMPTS - 1);
		if
		:: attempts[a].flying -> fold(a)
		:: attempts[a].flying -> attempts[a].flying = 0
		:: attempts[a].second -> attempts[a].second = 0; fold(a)
		:: attempts[a].second -> attempts[a].second = 0
#ifdef BROKEN_BATCHER
		:: attempts[a].logged && winner == a -> winner = NOBODY; attempts[a].released = 1
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
