/*
 * Orders to one runner with room for one model of two, by a holder of the lease and its successor, where the runner checks
 * the fencing number and the count of orders of each order when it carries it out.
 *
 * Orders may be carried out at once, late or never, whatever the sender heard; a holder may be paused anywhere. A report
 * tells the present count, but may show models as they were before.
 *
 * Checked: the runner never has more loaded than it holds.
 *
 * BROKEN_COUNT lets the runner ignore the count; BROKEN_LAG lets a holder believe one report alone.
 */
#define CAPACITY 1
#ifndef ORDERS
#define ORDERS 3
#endif

#ifdef BROKEN_COUNT
#define COUNTS(i) true
#else
#define COUNTS(i) (net[i].expect == count)
#endif

typedef Order {
  bit flying;
  bit unload;
  bit model;
  byte expect;
  byte number;
}

bit loaded[2];
bit shown[2];
byte count = 0;
byte fence = 0;
byte sent = 0;
Order net[ORDERS];

/* Carries an order out if its number and its count allow it. */
inline carry(i) {
  net[i].flying = 0;
  if
  :: net[i].number >= fence ->
    fence = net[i].number;
    if
    :: COUNTS(i) ->
      loaded[net[i].model] = 1 - net[i].unload;
      count++;
      assert(loaded[0] + loaded[1] <= CAPACITY)
    :: else
    fi
  :: else
  fi
}

/* Late orders, and what reports show. */
active proctype runner() {
  byte i;
end:
  do
  :: atomic { sent > 0 -> select(i : 0 .. ORDERS - 1);
       if
       :: net[i].flying -> carry(i)
       :: else
       fi }
  :: d_step { shown[0] != loaded[0] || shown[1] != loaded[1] -> shown[0] = loaded[0]; shown[1] = loaded[1] }
  od
}

proctype holder(byte number) {
  bit held[2];
  byte counted = 0;
  byte before = 0;
  bit known = 0;
  bit unload;
  bit model;
  byte mine;
end:
  do
  :: !known ->
    before = count;
#ifndef BROKEN_LAG
    /* The second report comes so much later that it shows all that the first one counted. */
    shown[0] == loaded[0] && shown[1] == loaded[1];
#endif
    atomic {
      counted = count;
      held[0] = shown[0];
      held[1] = shown[1];
      if
#ifdef BROKEN_LAG
      :: known = 1
#else
      :: counted == before && shown[0] == loaded[0] && shown[1] == loaded[1] -> known = 1
      :: else
#endif
      fi
    }
  :: known && sent < ORDERS ->
    if
    :: model = 0
    :: model = 1
    fi;
    if
    :: held[model] -> unload = 1
    :: !held[model] && held[0] + held[1] < CAPACITY -> unload = 0
    :: else -> goto end
    fi;
    atomic {
      sent < ORDERS ->
      mine = sent;
      sent++;
      net[mine].unload = unload;
      net[mine].model = model;
      net[mine].expect = counted;
      net[mine].number = number;
      net[mine].flying = 1
    }
    if
    :: atomic {
         /* Answered: accepted if the count has moved on by it. */
         net[mine].flying ->
         before = count;
         carry(mine);
         if
         :: count != before -> counted = count; held[model] = 1 - unload
         :: else -> known = 0
         fi
       }
    :: known = 0 /* Not answered: it may be carried out at any time. */
    fi
  od
}

init {
  atomic {
    run holder(1);
    run holder(2)
  }
}
