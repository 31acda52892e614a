/*
 * Reports of servers that the store executes late (token mode).
 *
 * The starts of servers follow each other at one address, each with its own name or (ONE_NAME) all with the same one. A start
 * reports to the store, which may execute the report late, after that of a later start. The entry of a dead server is
 * removed, and a late report creates it again; the entry of a live one is removed while a report of it is late. The clock
 * that a start reports may be set back.
 *
 * Entry VM 0 reads all changes. Entry VM 1 starts at some time, with the entries of the store or the state of VM 0, and asks
 * VM 0 for starts that it does not know. Both read each change at once; delays would not alter the order.
 *
 * Either reports are late or clocks are set back; with BOTH, a verdict may be wrong, but not for good.
 *
 * Mutants (see run): STORE_ORDER, CLOCK_ORDER, LOOKUP_BY_STORE, NEVER_TAKEN_BACK.
 */
#ifndef STARTS
#define STARTS 2
#endif
#define VMS 2
#define NONE 255
#define LATE_REPORTS 1 /* of each start */

#ifdef ONE_NAME
#define SLOTS 1
#define SLOT(i) 0
#else
#define SLOTS STARTS
#define SLOT(i) (i)
#endif

byte born[STARTS];  /* clock of each start */
byte alive = NONE;  /* start that runs */
byte started;       /* number of starts */
bool late_reports;
byte late_left[STARTS];
bool outstanding[STARTS]; /* a late report that is not executed yet */

byte revision;
byte entry[SLOTS];   /* start, from 1; 0 is none */
byte created[SLOTS], changed[SLOTS];

mtype = { gone, lapsed, ready };
bool running[VMS];
byte owner[VMS];
bool known[VMS * STARTS], deferred[VMS * STARTS], replaced[VMS * STARTS];
mtype state[VMS * STARTS];
byte first[VMS * STARTS], last[VMS * STARTS], deferred_at[VMS * STARTS];

/* Whether start a certainly began after b had ended. */
#ifdef STORE_ORDER
#define FOLLOWS(v, a, b) (first[(v) * STARTS + a] > last[(v) * STARTS + b])
#define RIVAL(v, i) false
#else
#ifdef CLOCK_ORDER
#define FOLLOWS(v, a, b) (born[a] > born[b])
#else
#define FOLLOWS(v, a, b) (born[a] > born[b] && first[(v) * STARTS + a] > last[(v) * STARTS + b])
#endif
#ifdef ONE_NAME
#define RIVAL(v, i) (owner[v] != NONE && born[owner[v]] > born[i])
#else
#define RIVAL(v, i) (owner[v] != NONE && owner[v] != i && state[(v) * STARTS + owner[v]] != gone && born[owner[v]] > born[i])
#endif
#endif

#ifdef BOTH
#define CHECK(v) skip
#else
/* A start that runs never counts as replaced. */
#define CHECK(v) assert(alive == NONE || !replaced[(v) * STARTS + alive])
#endif

byte o, j, k; /* of the inlines, 0 between them */

inline use(v, i, at) {
	last[(v) * STARTS + i] = at;
	deferred[(v) * STARTS + i] = false;
#ifndef NEVER_TAKEN_BACK
	replaced[(v) * STARTS + i] = false;
#endif
	o = owner[v];
	if
	:: o != NONE && o != i ->
		if
		:: FOLLOWS(v, i, o) -> replaced[(v) * STARTS + o] = true
		:: else -> skip
		fi;
#ifndef ONE_NAME
		if
		:: state[(v) * STARTS + o] == ready ->
			deferred[(v) * STARTS + o] = true; deferred_at[(v) * STARTS + o] = last[(v) * STARTS + o]
		:: else -> skip
		fi;
#endif
		state[(v) * STARTS + o] = gone
	:: else -> skip
	fi;
	o = 0;
	owner[v] = i;
	state[(v) * STARTS + i] = (replaced[(v) * STARTS + i] -> gone : ready)
}

/* Applies an entry of start i that was created at c and changed at `at`. */
inline list(v, i, c, at) {
	if
	:: known[(v) * STARTS + i] -> skip
	:: else ->
		known[(v) * STARTS + i] = true; last[(v) * STARTS + i] = at;
		state[(v) * STARTS + i] = gone;
#ifdef ONE_NAME
		first[(v) * STARTS + i] = (owner[v] == NONE -> c : at)
#else
		first[(v) * STARTS + i] = c
#endif
	fi;
	if
	:: RIVAL(v, i) ->
		deferred[(v) * STARTS + i] = true; deferred_at[(v) * STARTS + i] = at;
#ifdef ONE_NAME
		for (j : 0 .. STARTS - 1) {
			if
			:: j != i -> deferred[(v) * STARTS + j] = false
			:: else -> skip
			fi
		}
		j = 0;
		if
		:: state[(v) * STARTS + owner[v]] == ready -> state[(v) * STARTS + owner[v]] = lapsed
		:: else -> skip
		fi;
#endif
		if
		:: state[(v) * STARTS + i] == gone && FOLLOWS(v, owner[v], i) -> replaced[(v) * STARTS + i] = true
		:: else -> skip
		fi
	:: else ->
#ifdef ONE_NAME
		for (j : 0 .. STARTS - 1) { deferred[(v) * STARTS + j] = false }
		j = 0;
#endif
		use(v, i, at)
	fi;
	CHECK(v)
}

/* Removes the entry of start i and uses the deferred starts that have no rival any longer. */
inline unlist(v, i) {
	deferred[(v) * STARTS + i] = false;
#ifdef ONE_NAME
	state[(v) * STARTS + owner[v]] = gone
#else
	state[(v) * STARTS + i] = gone;
	for (j : 0 .. STARTS - 1) {
		if
		:: deferred[(v) * STARTS + j] && !RIVAL(v, j) -> use(v, j, deferred_at[(v) * STARTS + j])
		:: else -> skip
		fi
	}
	j = 0
#endif
	;
	CHECK(v)
}

/* Executes a report of start i, which changes nothing if the entry is its own. */
inline execute(i) {
	if
	:: entry[SLOT(i)] != i + 1 ->
		revision++;
		created[SLOT(i)] = (entry[SLOT(i)] == 0 -> revision : created[SLOT(i)]);
		changed[SLOT(i)] = revision; entry[SLOT(i)] = i + 1;
		list(0, i, created[SLOT(i)], revision);
		if
		:: running[1] -> list(1, i, created[SLOT(i)], revision)
		:: else -> skip
		fi
	:: else -> skip
	fi
}

proctype Starts() {
end:	do
	:: atomic { alive == NONE && started < STARTS -> alive = started; started++ }
	:: atomic { alive != NONE && started < STARTS -> alive = NONE }
	od
}

proctype Reports() {
end:	do
	:: atomic { alive != NONE && !outstanding[alive] && entry[SLOT(alive)] != alive + 1 -> execute(alive) }
	od
}

proctype Late() {
	byte i;
end:	do
	:: atomic { alive != NONE && late_reports && late_left[alive] > 0 && !outstanding[alive] ->
		late_left[alive]--; outstanding[alive] = true }
	:: atomic { outstanding[0] -> outstanding[0] = false; i = 0; execute(i) }
	:: atomic { outstanding[1] -> outstanding[1] = false; i = 1; execute(i); i = 0 }
#if STARTS == 3
	:: atomic { outstanding[2] -> outstanding[2] = false; i = 2; execute(i); i = 0 }
#endif
	od
}

proctype Expiry(byte s) {
	byte i;
end:	do
	:: atomic { entry[s] != 0 && (entry[s] - 1 != alive || outstanding[entry[s] - 1]) ->
		i = entry[s] - 1; entry[s] = 0; revision++;
		unlist(0, i);
		if
		:: running[1] -> unlist(1, i)
		:: else -> skip
		fi;
		i = 0 }
	od
}

/* The second entry VM. It reads entries in any order of their names. */
proctype Second() {
	byte s;
	atomic { revision > 0 -> running[1] = true;
		if
		:: for (k : 0 .. SLOTS - 1) {
			if
			:: entry[k] != 0 -> s = entry[k] - 1; list(1, s, created[k], changed[k])
			:: else -> skip
			fi }
		:: k = SLOTS;
			do
			:: k > 0 -> k--;
				if
				:: entry[k] != 0 -> s = entry[k] - 1; list(1, s, created[k], changed[k])
				:: else -> skip
				fi
			:: else -> break
			od
		:: for (s : 0 .. STARTS - 1) {
			if
			:: state[s] == ready -> list(1, s, first[s], last[s])
			:: deferred[s] -> list(1, s, first[s], deferred_at[s])
			:: else -> skip
			fi }
		fi;
		k = 0; s = 0 }
end:	do
	/* A packet of an open flow arrives, whose server only VM 0 knows. */
	:: atomic { alive != NONE && known[alive] && !known[STARTS + alive] ->
		known[STARTS + alive] = true; state[STARTS + alive] = gone;
		first[STARTS + alive] = first[alive]; last[STARTS + alive] = first[alive];
		replaced[STARTS + alive] = replaced[alive];
		o = owner[1];
		if
#ifdef LOOKUP_BY_STORE
		:: o != NONE && first[STARTS + o] > first[alive] -> replaced[STARTS + alive] = true
#else
		:: o != NONE && FOLLOWS(1, o, alive) -> replaced[STARTS + alive] = true
#endif
		:: else -> skip
		fi;
		o = 0;
		CHECK(1) }
	od
}

#ifdef ONE_NAME
/* Uses a deferred start although the other one has a later clock, once all late reports have been executed. */
proctype Settle(byte v) {
	byte i;
end:	do
	:: atomic { running[v] && !outstanding[0] && !outstanding[STARTS - 1] && !outstanding[1] &&
		(alive != NONE && deferred[v * STARTS + alive] && entry[0] == alive + 1) ->
		i = alive; use(v, i, deferred_at[v * STARTS + i]); CHECK(v); i = 0 }
	od
}
#endif

/* Makes all runs infinite, so that fairness also applies to runs in which nothing is left to do. */
active proctype Idle() {
end:	do
	:: true -> skip
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. STARTS - 1) { born[i] = i + 1; late_left[i] = LATE_REPORTS }
		i = 0;
		for (i : 0 .. VMS * STARTS - 1) { state[i] = gone }
		i = 0;
		owner[0] = NONE; owner[1] = NONE; running[0] = true;
		if
		:: late_reports = true
#ifndef BOTH
		:: skip;
#else
		:: late_reports = true;
#endif
			if
			:: born[0] = 2; born[1] = 1
#if STARTS == 3
			:: born[0] = 3; born[2] = 1
			:: born[1] = 3; born[2] = 2
#endif
			fi
		fi;
		run Starts(); run Reports(); run Late(); run Second();
		for (i : 0 .. SLOTS - 1) { run Expiry(i) }
		i = 0;
#ifdef ONE_NAME
		run Settle(0); run Settle(1)
#endif
	}
}

/* In the end, a start that goes on running is used, and does not count as replaced. */
#define USED(v) (alive == NONE || (owner[v] == alive && state[(v) * STARTS + alive] == ready && !replaced[(v) * STARTS + alive]))
ltl converges { <> [] (USED(0) && (!running[1] || USED(1))) }
