/*
 * Graceful shutdown of a backend server and of an entry VM.
 *
 * Host 0 is published as leaving; from BOUND ticks on it must not get a new flow, and no flow on it may be cut. The
 * spreading of the document is taken as timely: the last tick waits until every entry VM that runs knows. An entry VM
 * that is paused meanwhile wakes with the old picture. One entry VM drains and exits meanwhile.
 *
 * Mutants: NO_STALE_CHECK, CUT_LEAVING, SEARCH_SKIPS_LEAVING, RESET_ON_DRAIN.
 */
#define ENTRIES 2
#define FLOWS 2
#define BOUND 2
#define NOFLOW 9

bool leaving;                 /* host 0 is published as leaving */
byte time;                    /* ticks since the publication */
bool knows[ENTRIES];
bool paused[ENTRIES];
bool stale[ENTRIES];          /* woke up and has not refreshed its picture yet */
bool draining;                /* entry VM 1 announced that it leaves */
bool gone;                    /* entry VM 1 exited */
bool pinned[ENTRIES * FLOWS]; /* entry VM e holds a pin of flow f */
byte host[FLOWS] = NOFLOW;    /* host of an open flow */
bool host_stopped;

#define RUNS(e) (!paused[e] && !(e == 1 && gone))
#define DECIDES(e) (RUNS(e) && !stale[e])
#define INFORMED(e) (!DECIDES(e) || knows[e])
#define OWNS(e) (e == 0 || !draining)
#define PIN(e, f) pinned[(e) * FLOWS + (f)]

inline cut(f) { assert(false) }

proctype EntryVM(byte e) {
	byte f;
end:	do
	:: atomic { RUNS(e) && leaving && !knows[e] -> knows[e] = true }
	:: atomic { stale[e] && RUNS(e) -> knows[e] = leaving; stale[e] = false }
	/* A new flow. */
	:: atomic { DECIDES(e) && OWNS(e) ->
		select(f : 0 .. FLOWS - 1);
		if
		:: host[f] == NOFLOW && !knows[e] -> host[f] = 0; assert(!leaving || time < BOUND); PIN(e, f) = true
		:: host[f] == NOFLOW -> host[f] = 1; PIN(e, f) = true
		:: else -> skip
		fi;
		f = 0 }
	/* A packet of an open flow. */
	:: atomic { DECIDES(e) && OWNS(e) ->
		select(f : 0 .. FLOWS - 1);
		if
		:: host[f] == NOFLOW -> skip
#ifdef CUT_LEAVING
		:: host[f] == 0 && knows[e] -> cut(f)        /* mutant: drops what a leaving host still serves */
#endif
		:: host[f] != NOFLOW && PIN(e, f) -> skip    /* forwarded */
		:: host[f] != NOFLOW && !PIN(e, f) ->        /* search */
#ifdef SEARCH_SKIPS_LEAVING
			if
			:: host[f] == 0 && knows[e] -> cut(f)    /* mutant: all hosts that were asked said no */
			:: else -> PIN(e, f) = true
			fi
#else
			PIN(e, f) = true
#endif
		fi;
		f = 0 }
	/* The end of a flow comes from caller and host. */
	:: atomic { DECIDES(e) ->
		select(f : 0 .. FLOWS - 1);
		host[f] = NOFLOW; PIN(0, f) = false; PIN(1, f) = false; f = 0 }
	:: atomic { RUNS(e) && !draining && !paused[e] -> paused[e] = true }
	:: atomic { paused[e] -> paused[e] = false;
#ifndef NO_STALE_CHECK
		stale[e] = true
#endif
		}
	:: atomic { e == 1 && DECIDES(e) && !draining -> draining = true;
#ifdef RESET_ON_DRAIN
		if
		:: PIN(1, 0) && host[0] != NOFLOW -> cut(0)
		:: else -> skip
		fi
#endif
		}
	:: atomic { e == 1 && draining && !gone -> gone = true; PIN(1, 0) = false; PIN(1, 1) = false }
	od
}

active proctype Operator() { leaving = true }

active proctype Clock() {
end:	do
	:: atomic { leaving && time < BOUND - 1 -> time++ }
	:: atomic { leaving && time == BOUND - 1 && INFORMED(0) && INFORMED(1) -> time = BOUND }
	od
}

/* A graceful shutdown: the server exits when nothing is open on it. */
active proctype Host() {
end:	do
	:: atomic { leaving && time == BOUND && !host_stopped && host[0] != 0 && host[1] != 0 -> host_stopped = true }
	:: atomic { host_stopped -> assert(host[0] != 0 && host[1] != 0) }
	od
}

init {
	atomic { run EntryVM(0); run EntryVM(1) }
}
