/*
 * Model of the hand-over of shares of a target's slots between membership epochs. The total
 * number of requests in flight never exceeds the slots, whatever the daemons know and
 * whenever they learn it.
 *
 * The replicated log passes through the stages 0, 1, 2 and so on. An even stage is a settled
 * epoch. An odd stage is the settled epoch before it with the next epoch pending, and a
 * daemon's share is then the smaller one of the two epochs. The pending epoch settles when
 * each daemon either has acknowledged it, which it does only when its requests in flight are
 * within the smaller share, or its lease has expired.
 *
 * A crashed or paused daemon is modelled by not executing its actions. Its requests may be in
 * flight until their deadlines, which are not later than the end of its lease. A restarted
 * daemon is a new member.
 */
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef SLOTS
#define SLOTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 2   /* number of epochs after the first */
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifndef FAILOVERS
#define FAILOVERS 1
#endif

#define IDLE 0
#define ASKED 1
#define GRANTED 2

typedef Daemon {
	byte stage;    /* newest stage known to the daemon */
	byte flight;   /* requests in flight at the target */
	byte lease;
	byte exchange;
	byte age;
	byte told;     /* stage acknowledged by the heartbeat, or contained in the reply */
	byte heard;    /* ticks until the lease expires on the leader's clock */
	byte acked;
}
typedef Epoch { byte share[DAEMONS] }
Daemon d[DAEMONS];
Epoch e[EPOCHS+1];
byte stage, failovers;
byte i, j, v, sum;

#define SETTLED(s) (e[(s)/2].share[i])
#define NEXT(s) (e[((s)+1)/2].share[i])
#ifdef MUTATE_LARGER_SHARE
#define SHARE(s) (SETTLED(s) > NEXT(s) -> SETTLED(s) : NEXT(s))
#else
#define SHARE(s) (SETTLED(s) < NEXT(s) -> SETTLED(s) : NEXT(s))
#endif

inline pick() {
	i = 0;
	do
	:: i < DAEMONS - 1 -> i++
	:: break
	od
}

#ifdef MUTATE_LEASE_FROM_RECEIPT
#define REST LEASE
#define FRESH true
#else
#define REST (LEASE - d[i].age)
#define FRESH (d[i].age < LEASE)
#endif
#ifdef MUTATE_ACK_EARLY
#define WITHIN true
#else
#define WITHIN (d[i].flight <= SHARE(d[i].stage))
#endif
#ifdef MUTATE_SETTLE_EARLY
#define DONE(k) (d[k].acked >= stage || d[k].flight == 0)
#else
#define DONE(k) (d[k].acked >= stage || d[k].heard == 0)
#endif

init {
	atomic { /* the first epoch: any distribution of all slots */
		v = SLOTS;
		do
		:: i < DAEMONS - 1 && e[0].share[i] < v -> e[0].share[i] = e[0].share[i] + 1; v--
		:: i < DAEMONS - 1 -> i++
		:: i == DAEMONS - 1 -> e[0].share[i] = v; break
		od;
		i = 0; v = 0
	};
	do
	:: atomic { /* an epoch is proposed */
		stage % 2 == 0 && stage < 2 * EPOCHS;
		stage++;
		j = (stage + 1) / 2;
		v = SLOTS;
		do
		:: i < DAEMONS - 1 && v > 0 -> e[j].share[i] = e[j].share[i] + 1; v--
		:: i < DAEMONS - 1 -> i++
		:: i == DAEMONS - 1 -> e[j].share[i] = v; break
		od;
		i = 0; j = 0; v = 0
	   }

	:: atomic { /* the pending epoch settles */
		stage % 2 == 1;
		do
		:: i < DAEMONS && DONE(i) -> i++
		:: i < DAEMONS && !DONE(i) -> break
		:: i == DAEMONS -> stage++; break
		od;
		i = 0
	   }

	:: atomic { /* a new leader is elected, which has received no heartbeats yet */
		failovers < FAILOVERS;
		failovers++;
		do
		:: i < DAEMONS ->
			d[i].acked = 0;
#ifdef MUTATE_NO_WAIT
			d[i].heard = 0;
#else
			d[i].heard = LEASE;
#endif
			i++
		:: else -> break
		od;
		i = 0
	   }

	:: atomic { pick(); /* a heartbeat is sent */
		if
		:: d[i].exchange == IDLE ->
			d[i].exchange = ASKED; d[i].age = 0;
			d[i].told = (WITHIN -> d[i].stage : 0)
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* the leader answers a heartbeat */
		if
		:: d[i].exchange == ASKED ->
			d[i].heard = LEASE;
			d[i].acked = (d[i].told > d[i].acked -> d[i].told : d[i].acked);
			d[i].exchange = GRANTED;
			d[i].told = stage
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a reply arrives, with the stage at the time it was sent */
		if
		:: d[i].exchange == GRANTED ->
#ifndef MUTATE_GRANT_ALONE
			d[i].stage = (d[i].told > d[i].stage -> d[i].told : d[i].stage);
#endif
			if
			:: FRESH && REST > d[i].lease -> d[i].lease = REST
			:: else
			fi;
			d[i].exchange = IDLE; d[i].told = 0; d[i].age = 0
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a message is lost */
		if
		:: d[i].exchange != IDLE -> d[i].exchange = IDLE; d[i].told = 0; d[i].age = 0
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* the daemon learns of a newer stage from another source */
		if
		:: d[i].stage < stage -> d[i].stage++
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a request is sent */
		if
		:: d[i].lease > 0 && d[i].flight < SHARE(d[i].stage) ->
			d[i].flight++;
			sum = 0;
			do
			:: j < DAEMONS -> sum = sum + d[j].flight; j++
			:: else -> break
			od;
			/* The target is never overloaded. */
			assert(sum <= SLOTS);
			sum = 0; j = 0
		:: else
		fi;
		i = 0
	   }

	:: atomic { pick(); /* a request completes */
		if
		:: d[i].flight > 0 -> d[i].flight--
		:: else
		fi;
		i = 0
	   }

	:: atomic { /* a clock tick; requests end no later than the lease */
		do
		:: i < DAEMONS ->
			d[i].lease = (d[i].lease > 0 -> d[i].lease - 1 : 0);
			d[i].heard = (d[i].heard > 0 -> d[i].heard - 1 : 0);
#ifndef MUTATE_DEADLINE
			d[i].flight = (d[i].lease == 0 -> 0 : d[i].flight);
#endif
			if
			:: d[i].exchange != IDLE && d[i].age < LEASE -> d[i].age++
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0
	   }
	od
}
