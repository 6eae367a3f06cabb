/*
 * One model with a replica in each of two shards, and the anchor that says which shard must keep its own.
 *
 * A holder may unload its replica only while the anchor stands at the other shard and none of its takes may be on its
 * way. A take may arrive in the log late, after its sender lost its lease; a new holder first appends a barrier.
 *
 * Checked: the model never loses its last replica to an order.
 *
 * BROKEN_BARRIER leaves the barrier out; BROKEN_PENDING lets a holder unload while a take of its own is on its way.
 */
#ifdef BROKEN_PENDING
#define SETTLED true
#else
#define SETTLED !pending
#endif
#define HOLDERS 2 /* holders of each shard, one after the other */

bit replica[2] = 1;
bit unloading[2];  /* an unload order is open */
byte anchor = 0;
byte holderOf[2];  /* the fence of the shard's lease */
byte barrier[2];

typedef take_t {
	bit flying;
	byte fence;
	byte from;
};

take_t takes[2];   /* one take on its way for each shard */
byte changes;

inline land(s) {
	takes[s].flying = 0;
	if
	:: takes[s].fence >= barrier[s] && anchor == takes[s].from -> anchor = s
	:: else
	fi
}

proctype holder(byte s; byte myFence) {
	bit pending;
	holderOf[s] == myFence;
#ifndef BROKEN_BARRIER
	atomic { holderOf[s] == myFence -> barrier[s] = myFence };
#endif
end:
	do
	:: holderOf[s] != myFence -> break
	/* Take the anchor over with a certain replica here; it is refused by the fold if it comes too late. */
	:: atomic { holderOf[s] == myFence && replica[s] && !unloading[s] && anchor != s && !takes[s].flying && changes < 3 ->
		changes++;
		takes[s].flying = 1; takes[s].fence = myFence; takes[s].from = anchor; pending = 1 }
	:: atomic { pending && !takes[s].flying -> pending = 0 }
	/* Record an unload: one step with the fold, and void once the lease is over. */
	:: atomic { holderOf[s] == myFence && replica[s] && !unloading[s] && anchor != s && SETTLED -> unloading[s] = 1 }
	/* Load again. */
	:: atomic { holderOf[s] == myFence && !replica[s] && !unloading[s] -> replica[s] = 1 }
	od
}

proctype network() {
end:
	do
	:: atomic { takes[0].flying -> land(0) }
	:: atomic { takes[1].flying -> land(1) }
	:: atomic { takes[0].flying -> takes[0].flying = 0 }
	:: atomic { takes[1].flying -> takes[1].flying = 0 }
	/* An unload order arrives, early or late. */
	:: atomic { unloading[0] -> unloading[0] = 0; replica[0] = 0; assert(replica[0] || replica[1]) }
	:: atomic { unloading[1] -> unloading[1] = 0; replica[1] = 0; assert(replica[0] || replica[1]) }
	/* A lease lapses. */
	:: atomic { holderOf[0] < HOLDERS - 1 -> holderOf[0]++ }
	:: atomic { holderOf[1] < HOLDERS - 1 -> holderOf[1]++ }
	od
}

init {
	atomic {
		run network();
		run holder(0, 0);
		run holder(0, 1);
		run holder(1, 0);
		run holder(1, 1)
	}
}
