/*
 * One model with a replica in each of two shards. The anchor names the shard that must keep its replica.
 *
 * The holder of a shard's lease may unload the shard's replica only while the anchor is at the other shard and the holder
 * has no take in flight. A take is a log record that moves the anchor to the sender's shard. It may reach the log late,
 * after its sender has lost the lease; a new holder therefore first appends a barrier, which voids the takes of
 * its predecessors.
 *
 * Checked: unload orders never remove the last replica of the model.
 *
 * BROKEN_NO_BARRIER omits the barrier. BROKEN_UNLOAD_WHILE_PENDING lets a holder unload its replica while it has a take in
 * flight.
 */
#ifdef BROKEN_UNLOAD_WHILE_PENDING
#define NO_TAKE_IN_FLIGHT true
#else
#define NO_TAKE_IN_FLIGHT !takePending
#endif
#define HOLDERS_PER_SHARD 2 /* successive lease holders of each shard */

bit replica[2] = 1;
bit unloading[2];  /* an unload order is recorded and not executed yet */
byte anchor = 0;
byte currentFence[2];  /* the fencing token of the shard's current lease */
byte barrier[2];       /* takes of the shard with a lower fencing token are void */

typedef take_t {
	bit inFlight;
	byte fence;
	byte from;  /* where the anchor was when the take was sent; the take is void if the anchor has moved since */
};

take_t takes[2];   /* at most one take in flight per shard */
byte takeCount;

inline deliverTake(s) {
	takes[s].inFlight = 0;
	if
	:: takes[s].fence >= barrier[s] && anchor == takes[s].from -> anchor = s
	:: else
	fi
}

proctype holder(byte s; byte myFence) {
	bit takePending;
	currentFence[s] == myFence;
#ifndef BROKEN_NO_BARRIER
	atomic { currentFence[s] == myFence -> barrier[s] = myFence };
#endif
end:
	do
	:: currentFence[s] != myFence -> break
	/* Send a take for the anchor, as this shard has a replica; it has no effect if it reaches the log too late. */
	:: atomic { currentFence[s] == myFence && replica[s] && !unloading[s] && anchor != s && !takes[s].inFlight && takeCount < 3 ->
		takeCount++;
		takes[s].inFlight = 1; takes[s].fence = myFence; takes[s].from = anchor; takePending = 1 }
	:: atomic { takePending && !takes[s].inFlight -> takePending = 0 }
	/* Record an unload order; its check and its effect are one step in the log, and it is void once the lease has expired. */
	:: atomic { currentFence[s] == myFence && replica[s] && !unloading[s] && anchor != s && NO_TAKE_IN_FLIGHT -> unloading[s] = 1 }
	/* Load the replica again. */
	:: atomic { currentFence[s] == myFence && !replica[s] && !unloading[s] -> replica[s] = 1 }
	od
}

proctype network() {
end:
	do
	:: atomic { takes[0].inFlight -> deliverTake(0) }
	:: atomic { takes[1].inFlight -> deliverTake(1) }
	:: atomic { takes[0].inFlight -> takes[0].inFlight = 0 }
	:: atomic { takes[1].inFlight -> takes[1].inFlight = 0 }
	/* An unload order reaches the engine, after any delay. */
	:: atomic { unloading[0] -> unloading[0] = 0; replica[0] = 0; assert(replica[0] || replica[1]) }
	:: atomic { unloading[1] -> unloading[1] = 0; replica[1] = 0; assert(replica[0] || replica[1]) }
	/* A lease expires and the next holder gets it. */
	:: atomic { currentFence[0] < HOLDERS_PER_SHARD - 1 -> currentFence[0]++ }
	:: atomic { currentFence[1] < HOLDERS_PER_SHARD - 1 -> currentFence[1]++ }
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
