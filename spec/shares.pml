/*
 * Hand-over of the shares of one target's slots over membership epochs: whatever
 * the daemons know and whenever they learn it, their requests in flight together
 * never exceed the slots.
 *
 * The agreed log goes through the stages 0, 1, 2 ...: an even stage is a settled
 * epoch, an odd one is the settled epoch before it with the next one pending. A
 * daemon's share is the smaller one of both while one is pending. Stage moves from
 * odd to even when each daemon has acknowledged the pending epoch, its requests
 * already within the smaller share, or its lease has run out.
 *
 * A crashed or paused daemon is one that isn't picked any more; its requests may be
 * in flight until their deadlines, which its lease bounds. A restarted daemon is
 * another member.
 */
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef SLOTS
#define SLOTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 2   /* after the first */
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
	byte stage;    /* newest known */
	byte flight;   /* requests at the target */
	byte lease;
	byte exchange;
	byte age;
	byte told;     /* stage acknowledged by the heartbeat, or brought by the reply */
	byte heard;    /* by the leader's count */
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
	atomic { /* the first epoch: all slots, dealt in any way */
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

	:: atomic { /* another leader is elected; it heard nobody yet */
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

	:: atomic { pick(); /* the reply comes, with the stage it was written in */
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

	:: atomic { pick(); /* some source tells of a newer stage */
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

	:: atomic { pick(); /* a request ends */
		if
		:: d[i].flight > 0 -> d[i].flight--
		:: else
		fi;
		i = 0
	   }

	:: atomic { /* time passes; requests end with the lease at the latest */
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
