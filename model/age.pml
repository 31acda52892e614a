/* How old the state of an entry VM may become. A reader reads the store and announces its state with the time since the
   store confirmed it; announcements may be lost. The store may give no reply to the reader, which does not notice that. A
   follower whose state was confirmed too long ago polls the store itself. A VM that starts takes the state of the follower,
   hears the same announcements and polls in the same way. Changes take effect at both within the bound.

   Mutants: AGE_IGNORED (an announcement counts as a confirmation at the time of its arrival), GAP_IGNORED (so does one
   before which changes are missing), SNAPSHOT_IS_NEW (so does the state that a VM starts with). */

#define HORIZON 14
#define REVISIONS 2
#define BOUND 5
#define POLL 4 /* age at which the store is polled, less than the bound by the time that the poll takes */

typedef Known {
	byte revision;
	byte confirmedAt;
}

byte now;
byte store;                    /* revision of the store */
byte changedAt[REVISIONS + 1]; /* when each revision was written */
bool silent;                   /* whether the store gives no reply to the reader */
Known reader, follower, starter;
byte since; /* revision after which the changes of the announcement are complete */
bool started;

/* The announcement of the reader arrives at s. */
inline receive(s)
{
	if
	:: since <= s.revision ->
		if
		:: reader.revision > s.revision -> s.revision = reader.revision
		:: else
		fi
#ifdef AGE_IGNORED
		; s.confirmedAt = now
#else
		;
		if
		:: reader.confirmedAt > s.confirmedAt -> s.confirmedAt = reader.confirmedAt
		:: else
		fi
#endif
	:: else ->
#ifdef GAP_IGNORED
		if
		:: reader.confirmedAt > s.confirmedAt -> s.confirmedAt = reader.confirmedAt
		:: else
		fi
#else
		skip
#endif
	fi
}

inline poll(s)
{
	if
	:: now - s.confirmedAt >= POLL -> s.revision = store; s.confirmedAt = now
	:: else
	fi
}

/* All changes that were written longer than BOUND ago have taken effect at s. */
inline check(s)
{
	i = 1;
	do
	:: i <= store -> assert(s.revision >= i || now - changedAt[i] <= BOUND); i++
	:: else -> break
	od
}

init {
	byte i;
	do
	:: now < HORIZON ->
		atomic {
			now++;
			if
			:: store < REVISIONS -> store++; changedAt[store] = now
			:: skip
			fi;
			if
			:: silent = !silent
			:: skip
			fi;
			since = reader.revision;
			if
			:: !silent -> reader.revision = store; reader.confirmedAt = now
			:: skip /* its watch is still waiting, or gets no reply */
			fi;
			if
			:: receive(follower)
			:: skip /* lost */
			fi;
			if
			:: started ->
				if
				:: receive(starter)
				:: skip /* lost */
				fi
			:: !started ->
				if
				:: started = true;
					starter.revision = follower.revision;
#ifdef SNAPSHOT_IS_NEW
					starter.confirmedAt = now
#else
					starter.confirmedAt = follower.confirmedAt
#endif
				:: skip
				fi
			fi;
			poll(follower);
			check(follower);
			if
			:: started -> poll(starter); check(starter)
			:: else
			fi
		}
	:: else -> break
	od
}
