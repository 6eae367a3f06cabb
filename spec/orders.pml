/*
 * Orders to one engine with room for one model of two, by two holders of one lease.
 *
 * The log is a total order, so its fold is one shared state. A holder acts on a report that may be old, records an
 * intent, and sends the order at any later time: it may be paused in between for as long as it likes. Orders may be
 * lost or late, answers may be lost, and the engine may restart.
 *
 * Checked: the engine never has more loaded than it holds; at an engine that enforces fencing, no order runs after one
 * with a higher number within one run of the engine.
 *
 * ENFORCES and PERSISTS choose the kind of engine. BROKEN_FREE frees an unload's memory at once, BROKEN_OWN makes a
 * holder count its own intents only, BROKEN_RESTART settles open orders when the engine restarts, and BROKEN_FORGET
 * settles an order by a higher number although the engine forgets it.
 */
#define MODELS 2
#define CAPACITY 1
#ifndef ORDERS
#define ORDERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define CLAIMS 2

#ifdef ENFORCES
#define ENFORCING true
#define TRUSTED (reports[h].number == fence)
#else
#define ENFORCING false
#define TRUSTED true
#endif

#if defined(PERSISTS) || defined(BROKEN_FORGET)
#define FENCED true
#else
#define FENCED false
#endif

#ifdef BROKEN_RESTART
#define RESTARTED true
#else
#define RESTARTED false
#endif

#ifdef BROKEN_OWN
#define COUNTED (orders[i].sender == h)
#else
#define COUNTED true
#endif

#ifdef BROKEN_FREE
#define FREED true
#else
#define FREED false
#endif

#define FREE 0
#define RECORDED 1 /* with the sender */
#define FLYING 2   /* on its way */
#define OVER 3     /* executed, lost or given up before the send */

#define LOAD 0
#define UNLOAD 1

typedef order_t {
	byte place;  /* FREE to OVER: what is true of the order */
	bit open;    /* what the fold says */
	bit action;
	byte model;
	byte sender;
	byte fence;
	byte life;    /* of the engine, on the sender's report */
	byte seq;
	bit abandoned;
	bit counts;  /* settled, and may have had its effect */
	byte endlife;
	byte endseq;
};

order_t orders[ORDERS];
byte used;      /* orders recorded so far */

byte lease;     /* the holder, or 2 for none */
byte fence;     /* of the lease */

bit loaded[MODELS];
byte life;
byte seq;
byte number;    /* the engine's highest fencing number */

typedef report_t {
	bit known;
	bit loaded[MODELS];
	byte life;
	byte seq;
	byte number;
};

report_t reports[2];

inline count() {
	assert(loaded[0] + loaded[1] <= CAPACITY)
}

/* takeReport gives a holder the engine's present account; it may act on it much later. */
inline takeReport(h) {
	d_step {
		reports[h].known = 1;
		reports[h].loaded[0] = loaded[0];
		reports[h].loaded[1] = loaded[1];
		reports[h].life = life;
		reports[h].seq = seq;
		reports[h].number = number
	}
}

/* account sets mayBe[m] for each model that is, or may yet be, on the engine, and busy[m] for each with an open order. */
inline account(h) {
	mayBe[0] = reports[h].loaded[0];
	mayBe[1] = reports[h].loaded[1];
	busy[0] = 0; busy[1] = 0;
	i = 0;
	do
	:: i < used ->
		if
		:: orders[i].open && COUNTED ->
			busy[orders[i].model] = 1;
			if
			:: orders[i].action == LOAD -> mayBe[orders[i].model] = 1
			:: orders[i].action == UNLOAD && FREED -> mayBe[orders[i].model] = 0
			:: else
			fi
		:: !orders[i].open && orders[i].counts && orders[i].action == LOAD ->
			/* A settled load that this holder's report is too old to show. */
			if
			:: orders[i].endlife == reports[h].life && orders[i].endseq > reports[h].seq -> mayBe[orders[i].model] = 1
			:: orders[i].endlife > reports[h].life -> mayBe[orders[i].model] = 1
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline record(who, what, which) {
	orders[used].place = RECORDED;
	orders[used].open = 1;
	orders[used].action = what;
	orders[used].model = which;
	orders[used].sender = who;
	orders[used].fence = fence;
	orders[used].life = reports[who].life;
	orders[used].seq = reports[who].seq;
	used++
}

inline settle(which, itsLife, itsSeq, effect) {
	orders[which].open = 0;
	orders[which].counts = effect;
	orders[which].endlife = itsLife;
	orders[which].endseq = itsSeq
}

/* What a sender does about an order of its own, and the holder about any open order. */
#define OWN(o, h) (orders[o].sender == h)

inline sends(o, h) {
	if
	/* Send, at any time after the check. */
	:: atomic { orders[o].place == RECORDED && OWN(o, h) -> orders[o].place = FLYING }
	/* Give up before the send. */
	:: atomic { orders[o].place == RECORDED && OWN(o, h) -> orders[o].place = OVER; settle(o, 0, 0, 0) }
	/* No answer came and the connection is closed. */
	:: atomic { orders[o].place >= FLYING && orders[o].open && !orders[o].abandoned && OWN(o, h) -> orders[o].abandoned = 1 }
	/* Seen: a later report of the same run shows the effect. */
	:: atomic { lease == h && reports[h].known && orders[o].open && reports[h].life == orders[o].life && reports[h].seq > orders[o].seq && (reports[h].loaded[orders[o].model] == (orders[o].action == LOAD)) -> settle(o, reports[h].life, reports[h].seq, 1) }
	/* Expired: given up, and past the delivery bound, which here means that it is over in truth. */
	:: atomic { lease == h && orders[o].open && orders[o].abandoned && orders[o].place == OVER -> takeReport(h); settle(o, reports[h].life, reports[h].seq, 1) }
	/* Fenced, where that settles anything. */
	:: atomic { FENCED && lease == h && reports[h].known && orders[o].open && reports[h].number > orders[o].fence -> settle(o, reports[h].life, reports[h].seq, 1) }
	/* Restarted, which settles nothing unless the variant says so. */
	:: atomic { RESTARTED && lease == h && reports[h].known && orders[o].open && reports[h].life > orders[o].life -> settle(o, reports[h].life, reports[h].seq, 1) }
	fi
}

proctype holder(byte h) {
	bit mayBe[MODELS];
	bit busy[MODELS];
	byte i, m;
end:
	do
	/* The lease lapses and another claim wins. */
	:: atomic { lease != h && fence < CLAIMS -> lease = h; fence++ }
	:: takeReport(h)
#ifdef ENFORCES
	/* A holder raises the number and takes a report after that. */
	:: atomic { lease == h && number < fence -> number = fence; takeReport(h) }
#endif
	/* Decide and record: void unless the lease still holds, so that it is one step with the fold. */
	:: atomic { lease == h && used < ORDERS && reports[h].known && TRUSTED -> account(h);
		if
		:: m = 0
		:: m = 1
		fi;
		if
		:: !busy[m] && !mayBe[m] && mayBe[0] + mayBe[1] < CAPACITY -> record(h, LOAD, m)
		:: !busy[m] && reports[h].loaded[m] && mayBe[m] -> record(h, UNLOAD, m)
		:: else
		fi;
		m = 0; mayBe[0] = 0; mayBe[1] = 0; busy[0] = 0; busy[1] = 0
		}
	:: sends(0, h)
	:: sends(1, h)
	:: sends(2, h)
#if ORDERS > 3
	:: sends(3, h)
#endif
	od
}

/* The answer to an order is recorded, or lost. */
inline answers(o, effect) {
	if
	:: orders[o].open && !orders[o].abandoned -> settle(o, life, seq, effect)
	:: true
	fi
}

inline runs(o) {
	assert(!ENFORCING || orders[o].fence >= highest);
	highest = orders[o].fence;
	loaded[orders[o].model] = (orders[o].action == LOAD);
	seq++;
	count();
	answers(o, 1)
}

inline arrives(o) {
	if
	:: atomic { orders[o].place == FLYING ->
		orders[o].place = OVER;
		if
		:: ENFORCING && orders[o].fence < number -> answers(o, 0)
		:: ENFORCING && orders[o].fence >= number -> number = orders[o].fence; runs(o)
		:: !ENFORCING -> runs(o)
		fi }
	/* It is lost. */
	:: atomic { orders[o].place == FLYING -> orders[o].place = OVER }
	fi
}

proctype engine() {
	
	byte highest;
end:
	do
	:: arrives(0)
	:: arrives(1)
	:: arrives(2)
#if ORDERS > 3
	:: arrives(3)
#endif
	:: atomic { life < RESTARTS ->
		life++; seq = 0; highest = 0;
		loaded[0] = 0; loaded[1] = 0
#ifdef ENFORCES
#ifndef PERSISTS
		; number = 0
#endif
#endif
		}
	od
}

init {
	atomic {
		lease = 2;
		run engine();
		run holder(0);
		run holder(1)
	}
}
