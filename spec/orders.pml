/*
 * Orders to one engine by two holders that compete for one lease. There are two models, and the engine has capacity for one.
 *
 * The log is totally ordered, so the state that its records build is modeled as one shared state. A holder decides on a
 * report that may be outdated, records its intent, and sends the order at any later time; it may be paused in between for
 * any time. Orders may be lost or late, responses may be lost, and the engine may restart.
 *
 * Checked: the engine never loads more models than its capacity. An engine that enforces fencing never executes an order
 * after one with a higher fencing token, unless it restarted in between.
 *
 * ENFORCE_FENCING and PERSIST_FENCE select the kind of engine: one that refuses outdated fencing tokens, and one that also
 * keeps the highest token across restarts.
 *
 * BROKEN_EARLY_FREE counts the memory of a model as free as soon as its unload is recorded. BROKEN_OWN_INTENTS makes a
 * holder consider its own intents only. BROKEN_RESTART_SETTLES settles open orders when the engine restarts.
 * BROKEN_VOLATILE_FENCE settles an order when a higher fencing token is reported, although the engine forgets that token
 * when it restarts.
 */
#define MODELS 2
#define CAPACITY 1
#ifndef ORDERS
#define ORDERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAX_FENCE 2

#ifdef ENFORCE_FENCING
#define FENCING_ENFORCED true
#define REPORT_USABLE (reports[h].fence == leaseFence)
#else
#define FENCING_ENFORCED false
#define REPORT_USABLE true
#endif

#if defined(PERSIST_FENCE) || defined(BROKEN_VOLATILE_FENCE)
#define FENCE_SETTLES true
#else
#define FENCE_SETTLES false
#endif

#ifdef BROKEN_RESTART_SETTLES
#define RESTART_SETTLES true
#else
#define RESTART_SETTLES false
#endif

#ifdef BROKEN_OWN_INTENTS
#define CONSIDERED (orders[i].sender == h)
#else
#define CONSIDERED true
#endif

#ifdef BROKEN_EARLY_FREE
#define UNLOAD_FREES_EARLY true
#else
#define UNLOAD_FREES_EARLY false
#endif

#define UNUSED 0
#define RECORDED 1   /* recorded in the log, not sent yet */
#define IN_FLIGHT 2  /* sent, not arrived yet */
#define FINISHED 3   /* executed, refused, lost, or given up before it was sent */

#define LOAD 0
#define UNLOAD 1

typedef order_t {
	byte stage;              /* UNUSED, RECORDED, IN_FLIGHT or FINISHED: the real progress of the order */
	bit open;                /* the order is not settled in the log */
	bit action;
	byte model;
	byte sender;
	byte fence;
	byte incarnation;        /* of the engine, in the report that the sender used */
	byte sequence;           /* in the same report */
	bit abandoned;           /* the sender got no response and closed the connection */
	bit mayHaveTakenEffect;  /* the order is settled and may have been executed */
	byte settledIncarnation;
	byte settledSequence;
};

order_t orders[ORDERS];
byte orderCount;   /* number of orders recorded so far */

byte leaseHolder;  /* 0 or 1, or 2 for none */
byte leaseFence;   /* the fencing token of the lease */

bit loaded[MODELS];
byte engineIncarnation;
byte engineSequence;
byte engineFence;  /* the highest fencing token that the engine has accepted */

typedef report_t {
	bit known;
	bit loaded[MODELS];
	byte incarnation;
	byte sequence;
	byte fence;
};

report_t reports[2];

inline checkCapacity() {
	assert(loaded[0] + loaded[1] <= CAPACITY)
}

/* readReport gives a holder a report of the engine's current state, which the holder may act on much later. */
inline readReport(h) {
	d_step {
		reports[h].known = 1;
		reports[h].loaded[0] = loaded[0];
		reports[h].loaded[1] = loaded[1];
		reports[h].incarnation = engineIncarnation;
		reports[h].sequence = engineSequence;
		reports[h].fence = engineFence
	}
}

/*
 * computeView sets mayBeLoaded[m] for each model that the engine has loaded or may still load, and hasOpenOrder[m] for each
 * model with an open order.
 */
inline computeView(h) {
	mayBeLoaded[0] = reports[h].loaded[0];
	mayBeLoaded[1] = reports[h].loaded[1];
	hasOpenOrder[0] = 0; hasOpenOrder[1] = 0;
	i = 0;
	do
	:: i < orderCount ->
		if
		:: orders[i].open && CONSIDERED ->
			hasOpenOrder[orders[i].model] = 1;
			if
			:: orders[i].action == LOAD -> mayBeLoaded[orders[i].model] = 1
			:: orders[i].action == UNLOAD && UNLOAD_FREES_EARLY -> mayBeLoaded[orders[i].model] = 0
			:: else
			fi
		:: !orders[i].open && orders[i].mayHaveTakenEffect && orders[i].action == LOAD ->
			/* The load was settled after this holder's report, so the report does not show it. */
			if
			:: orders[i].settledIncarnation == reports[h].incarnation && orders[i].settledSequence > reports[h].sequence -> mayBeLoaded[orders[i].model] = 1
			:: orders[i].settledIncarnation > reports[h].incarnation -> mayBeLoaded[orders[i].model] = 1
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline record(holderId, newAction, newModel) {
	orders[orderCount].stage = RECORDED;
	orders[orderCount].open = 1;
	orders[orderCount].action = newAction;
	orders[orderCount].model = newModel;
	orders[orderCount].sender = holderId;
	orders[orderCount].fence = leaseFence;
	orders[orderCount].incarnation = reports[holderId].incarnation;
	orders[orderCount].sequence = reports[holderId].sequence;
	orderCount++
}

inline settle(order, atIncarnation, atSequence, tookEffect) {
	orders[order].open = 0;
	orders[order].mayHaveTakenEffect = tookEffect;
	orders[order].settledIncarnation = atIncarnation;
	orders[order].settledSequence = atSequence
}

#define IS_SENDER(o, h) (orders[o].sender == h)

/* handleOrder is a step of a sender with its own order, or of the lease holder with any open order. */
inline handleOrder(o, h) {
	if
	/* Send the order, at any time after it was recorded. */
	:: atomic { orders[o].stage == RECORDED && IS_SENDER(o, h) -> orders[o].stage = IN_FLIGHT }
	/* Give the order up before it is sent. */
	:: atomic { orders[o].stage == RECORDED && IS_SENDER(o, h) -> orders[o].stage = FINISHED; settle(o, 0, 0, 0) }
	/* Abandon the order: no response came, and the connection is closed. */
	:: atomic { orders[o].stage >= IN_FLIGHT && orders[o].open && !orders[o].abandoned && IS_SENDER(o, h) -> orders[o].abandoned = 1 }
	/* Seen: a later report of the same incarnation shows the effect. */
	:: atomic { leaseHolder == h && reports[h].known && orders[o].open && reports[h].incarnation == orders[o].incarnation && reports[h].sequence > orders[o].sequence && (reports[h].loaded[orders[o].model] == (orders[o].action == LOAD)) -> settle(o, reports[h].incarnation, reports[h].sequence, 1) }
	/* Expired: abandoned, and past the maximum delivery time, which is modeled as the order being FINISHED. */
	:: atomic { leaseHolder == h && orders[o].open && orders[o].abandoned && orders[o].stage == FINISHED -> readReport(h); settle(o, reports[h].incarnation, reports[h].sequence, 1) }
	/* Fenced: the engine reports a higher fencing token; this settles an order only if FENCE_SETTLES. */
	:: atomic { FENCE_SETTLES && leaseHolder == h && reports[h].known && orders[o].open && reports[h].fence > orders[o].fence -> settle(o, reports[h].incarnation, reports[h].sequence, 1) }
	/* Restarted: this settles an order only in the variant with RESTART_SETTLES. */
	:: atomic { RESTART_SETTLES && leaseHolder == h && reports[h].known && orders[o].open && reports[h].incarnation > orders[o].incarnation -> settle(o, reports[h].incarnation, reports[h].sequence, 1) }
	fi
}

proctype holder(byte h) {
	bit mayBeLoaded[MODELS];
	bit hasOpenOrder[MODELS];
	byte i, m;
end:
	do
	/* The lease expires and another holder claims it. */
	:: atomic { leaseHolder != h && leaseFence < MAX_FENCE -> leaseHolder = h; leaseFence++ }
	:: readReport(h)
#ifdef ENFORCE_FENCING
	/* A holder raises the engine's fencing token and then reads a report. */
	:: atomic { leaseHolder == h && engineFence < leaseFence -> engineFence = leaseFence; readReport(h) }
#endif
	/* Decide and record; a record is void unless its sender still holds the lease, so this is one step with the log. */
	:: atomic { leaseHolder == h && orderCount < ORDERS && reports[h].known && REPORT_USABLE -> computeView(h);
		if
		:: m = 0
		:: m = 1
		fi;
		if
		:: !hasOpenOrder[m] && !mayBeLoaded[m] && mayBeLoaded[0] + mayBeLoaded[1] < CAPACITY -> record(h, LOAD, m)
		:: !hasOpenOrder[m] && reports[h].loaded[m] && mayBeLoaded[m] -> record(h, UNLOAD, m)
		:: else
		fi;
		m = 0; mayBeLoaded[0] = 0; mayBeLoaded[1] = 0; hasOpenOrder[0] = 0; hasOpenOrder[1] = 0
		}
	:: handleOrder(0, h)
	:: handleOrder(1, h)
	:: handleOrder(2, h)
#if ORDERS > 3
	:: handleOrder(3, h)
#endif
	od
}

/* respond records the response to an order, or loses it. */
inline respond(o, tookEffect) {
	if
	:: orders[o].open && !orders[o].abandoned -> settle(o, engineIncarnation, engineSequence, tookEffect)
	:: true
	fi
}

inline execute(o) {
	assert(!FENCING_ENFORCED || orders[o].fence >= highestExecuted);
	highestExecuted = orders[o].fence;
	loaded[orders[o].model] = (orders[o].action == LOAD);
	engineSequence++;
	checkCapacity();
	respond(o, 1)
}

inline deliver(o) {
	if
	:: atomic { orders[o].stage == IN_FLIGHT ->
		orders[o].stage = FINISHED;
		if
		:: FENCING_ENFORCED && orders[o].fence < engineFence -> respond(o, 0)
		:: FENCING_ENFORCED && orders[o].fence >= engineFence -> engineFence = orders[o].fence; execute(o)
		:: !FENCING_ENFORCED -> execute(o)
		fi }
	/* The order is lost. */
	:: atomic { orders[o].stage == IN_FLIGHT -> orders[o].stage = FINISHED }
	fi
}

proctype engine() {
	byte highestExecuted;
end:
	do
	:: deliver(0)
	:: deliver(1)
	:: deliver(2)
#if ORDERS > 3
	:: deliver(3)
#endif
	:: atomic { engineIncarnation < RESTARTS ->
		engineIncarnation++; engineSequence = 0; highestExecuted = 0;
		loaded[0] = 0; loaded[1] = 0
#ifdef ENFORCE_FENCING
#ifndef PERSIST_FENCE
		; engineFence = 0
#endif
#endif
		}
	od
}

init {
	atomic {
		leaseHolder = 2;
		run engine();
		run holder(0);
		run holder(1)
	}
}
