/*
 * Orders to one runner by a lease holder and its successor. There are two models, and the runner has capacity for one. Each
 * order carries a fencing token and the number of orders that the runner is expected to have executed so far; the runner
 * checks both when it executes the order.
 *
 * An order may be executed immediately, late or never, whatever response its sender got. A holder may be paused at any
 * point. A report contains the current count, but its list of models may be outdated.
 *
 * Checked: the runner never loads more models than its capacity.
 *
 * BROKEN_IGNORE_COUNT makes the runner ignore the expected count. BROKEN_SINGLE_REPORT lets a holder trust a single report.
 */
#define CAPACITY 1
#ifndef ORDERS
#define ORDERS 3
#endif

#ifdef BROKEN_IGNORE_COUNT
#define COUNT_MATCHES(i) true
#else
#define COUNT_MATCHES(i) (orders[i].expectedCount == count)
#endif

typedef Order {
  bit inFlight;
  bit unload;
  bit model;
  byte expectedCount;
  byte fence;
}

bit loaded[2];
bit reported[2];  /* the models in the runner's reports, which may lag behind loaded */
byte count = 0;
byte highestFence = 0;
byte sentCount = 0;
Order orders[ORDERS];

/* Executes an order if its fencing token is not outdated and its expected count matches. */
inline execute(i) {
  orders[i].inFlight = 0;
  if
  :: orders[i].fence >= highestFence ->
    highestFence = orders[i].fence;
    if
    :: COUNT_MATCHES(i) ->
      loaded[orders[i].model] = 1 - orders[i].unload;
      count++;
      assert(loaded[0] + loaded[1] <= CAPACITY)
    :: else
    fi
  :: else
  fi
}

/* Executes orders that arrive late, and updates the reported models. */
active proctype runner() {
  byte i;
end:
  do
  :: atomic { sentCount > 0 -> select(i : 0 .. ORDERS - 1);
       if
       :: orders[i].inFlight -> execute(i)
       :: else
       fi }
  :: d_step { reported[0] != loaded[0] || reported[1] != loaded[1] -> reported[0] = loaded[0]; reported[1] = loaded[1] }
  od
}

proctype holder(byte fence) {
  bit viewLoaded[2];
  byte viewCount = 0;
  byte previousCount = 0;
  bit viewValid = 0;
  bit unload;
  bit model;
  byte slot;
end:
  do
  :: !viewValid ->
    previousCount = count;
#ifndef BROKEN_SINGLE_REPORT
    /* The second report is taken so much later that its list includes all orders that the first report counted. */
    reported[0] == loaded[0] && reported[1] == loaded[1];
#endif
    atomic {
      viewCount = count;
      viewLoaded[0] = reported[0];
      viewLoaded[1] = reported[1];
      if
#ifdef BROKEN_SINGLE_REPORT
      :: viewValid = 1
#else
      :: viewCount == previousCount && reported[0] == loaded[0] && reported[1] == loaded[1] -> viewValid = 1
      :: else
#endif
      fi
    }
  :: viewValid && sentCount < ORDERS ->
    if
    :: model = 0
    :: model = 1
    fi;
    if
    :: viewLoaded[model] -> unload = 1
    :: !viewLoaded[model] && viewLoaded[0] + viewLoaded[1] < CAPACITY -> unload = 0
    :: else -> goto end
    fi;
    atomic {
      sentCount < ORDERS ->
      slot = sentCount;
      sentCount++;
      orders[slot].unload = unload;
      orders[slot].model = model;
      orders[slot].expectedCount = viewCount;
      orders[slot].fence = fence;
      orders[slot].inFlight = 1
    }
    if
    :: atomic {
         /* The response arrives: the order was accepted if the count increased. */
         orders[slot].inFlight ->
         previousCount = count;
         execute(slot);
         if
         :: count != previousCount -> viewCount = count; viewLoaded[model] = 1 - unload
         :: else -> viewValid = 0
         fi
       }
    :: viewValid = 0 /* No response: the order may be executed at any time. */
    fi
  od
}

init {
  atomic {
    run holder(1);
    run holder(2)
  }
}
