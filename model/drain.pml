/*
 * Graceful shutdown of a backend server and of an entry VM.
 *
 * Host 0 is published as leaving. From BOUND ticks after the publication on, it must not receive a new flow, and no
 * flow on it may break. The specification assumes that the document is distributed in time: the last tick waits until
 * every running entry VM has received it. An entry VM that is paused in the meantime resumes with an outdated
 * configuration. Entry VM 1 may drain and exit in the meantime.
 *
 * Mutants (see run): NO_STALE_CHECK, CUT_LEAVING, SEARCH_SKIPS_LEAVING, RESET_ON_DRAIN.
 */
#define ENTRIES 2
#define FLOWS 2
#define BOUND 2
#define NOFLOW 9

bool leaving;                 /* host 0 is published as leaving */
byte time;                    /* ticks since the publication */
bool received[ENTRIES];       /* entry VM e has received the publication */
bool paused[ENTRIES];
bool stale[ENTRIES];          /* has resumed and not yet refreshed its configuration */
bool draining;                /* entry VM 1 has announced that it is leaving */
bool exited;                  /* entry VM 1 has exited */
bool pinned[ENTRIES * FLOWS]; /* entry VM e holds a pin of flow f */
byte host[FLOWS] = NOFLOW;    /* host of an open flow; NOFLOW is none */
bool host_stopped;            /* host 0 has exited */

#define RUNS(e) (!paused[e] && !(e == 1 && exited))
#define DECIDES(e) (RUNS(e) && !stale[e])
#define INFORMED(e) (!DECIDES(e) || received[e])
#define OWNS(e) (e == 0 || !draining)
#define PIN(e, f) pinned[(e) * FLOWS + (f)]

inline break_flow(f) { assert(false) }

proctype EntryVM(byte e) {
	byte f;
end:	do
	:: atomic { RUNS(e) && leaving && !received[e] -> received[e] = true }
	:: atomic { stale[e] && RUNS(e) -> received[e] = leaving; stale[e] = false }
	/* A new flow. */
	:: atomic { DECIDES(e) && OWNS(e) ->
		select(f : 0 .. FLOWS - 1);
		if
		:: host[f] == NOFLOW && !received[e] -> host[f] = 0; assert(!leaving || time < BOUND); PIN(e, f) = true
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
		:: host[f] == 0 && received[e] -> break_flow(f)        /* mutant: drops packets of flows on a leaving host */
#endif
		:: host[f] != NOFLOW && PIN(e, f) -> skip    /* forwarded */
		:: host[f] != NOFLOW && !PIN(e, f) ->        /* search */
#ifdef SEARCH_SKIPS_LEAVING
			if
			/* mutant: the search does not probe the leaving host and fails */
			:: host[f] == 0 && received[e] -> break_flow(f)
			:: else -> PIN(e, f) = true
			fi
#else
			PIN(e, f) = true
#endif
		fi;
		f = 0 }
	/* The caller and the host end a flow. */
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
		:: PIN(1, 0) && host[0] != NOFLOW -> break_flow(0)
		:: else -> skip
		fi
#endif
		}
	:: atomic { e == 1 && draining && !exited -> exited = true; PIN(1, 0) = false; PIN(1, 1) = false }
	od
}

active proctype Operator() { leaving = true }

active proctype Clock() {
end:	do
	:: atomic { leaving && time < BOUND - 1 -> time++ }
	:: atomic { leaving && time == BOUND - 1 && INFORMED(0) && INFORMED(1) -> time = BOUND }
	od
}

/* Graceful shutdown of the server: it exits when it has no open flows. */
active proctype Host() {
end:	do
	:: atomic { leaving && time == BOUND && !host_stopped && host[0] != 0 && host[1] != 0 -> host_stopped = true }
	:: atomic { host_stopped -> assert(host[0] != 0 && host[1] != 0) }
	od
}

init {
	atomic { run EntryVM(0); run EntryVM(1) }
}
