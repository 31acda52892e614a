/*
 * Distribution of what a store says to a reader and, from the reader, to a follower (token mode).
 *
 * The store numbers its changes with one revision. It may be restored from a copy: it then goes back to the revision of
 * the copy and gives later ones out again, in a new era. Writers write again what was lost. The reader watches the store
 * from its revision, and reads everything when the store does not have this revision. The follower gets the changes that
 * the reader has read, and the whole state when the changes do not lead to it.
 *
 * The value of a key is the number of its writes, so a greater value is a later report of the writer.
 *
 * Mutants (see run): NO_ERA, FOLLOWER_WITHOUT_ERA, COPY_IS_NEWER.
 */
#define KEYS 2
#define WRITES 2
#define RESTORES 1

byte written[KEYS];  /* number of writes of each writer, which do not get lost */

byte era, revision;
byte value[KEYS], changed[KEYS]; /* entry of each key and the revision of its last change; 0 is none */
byte copied_revision;
byte copied_value[KEYS], copied_changed[KEYS];
byte restores;
bool settled; /* writes and restores have ended, and everything that was lost has been written again */

byte reader_era, reader_revision;
byte reader_value[KEYS], reader_changed[KEYS];

byte follower_era, follower_revision;
byte follower_value[KEYS];

/* Applies an entry of the store to the state of the reader. */
inline apply(k) {
#ifndef COPY_IS_NEWER
	if
	:: value[k] > reader_value[k] -> reader_value[k] = value[k]
	:: else -> skip
	fi;
#else
	/* A later report is never replaced by an earlier one. */
	assert(value[k] >= reader_value[k]);
	reader_value[k] = value[k];
#endif
	reader_changed[k] = changed[k]
}

inline read_all() {
	for (k : 0 .. KEYS - 1) { apply(k) }
	k = 0;
#ifdef NO_ERA
	reader_revision = (revision > reader_revision -> revision : reader_revision);
#else
	reader_revision = revision;
#endif
	reader_era = era
}

proctype Writer(byte k) {
end:	do
	:: atomic { !settled && written[k] < WRITES && value[k] == written[k] ->
		written[k]++; revision++; value[k] = written[k]; changed[k] = revision }
	/* What was lost is written again. */
	:: atomic { !settled && value[k] != written[k] ->
		revision++; value[k] = written[k]; changed[k] = revision }
	od
}

proctype Faults() {
	byte k;
end:	do
	:: atomic { !settled && restores < RESTORES ->
		copied_revision = revision;
		for (k : 0 .. KEYS - 1) { copied_value[k] = value[k]; copied_changed[k] = changed[k] }
		k = 0 }
	:: atomic { !settled && restores < RESTORES ->
		restores++; era++; revision = copied_revision;
		for (k : 0 .. KEYS - 1) { value[k] = copied_value[k]; changed[k] = copied_changed[k] }
		k = 0 }
	:: atomic { !settled && value[0] == written[0] && value[1] == written[1] -> settled = true }
	od
}

proctype Reader() {
	byte k;
end:	do
#ifdef NO_ERA
	:: atomic { reader_revision > revision -> read_all() }
	:: atomic { reader_revision < revision ->
#else
	:: atomic { reader_era != era -> read_all() }
	:: atomic { reader_era == era && reader_revision < revision ->
#endif
		for (k : 0 .. KEYS - 1) {
			if
			:: changed[k] > reader_revision -> apply(k)
			:: else -> skip
			fi
		}
		k = 0;
		reader_revision = revision; reader_era = era }
	od
}

proctype Follower() {
	byte k;
end:	do
#ifndef FOLLOWER_WITHOUT_ERA
	:: atomic { follower_era != reader_era ->
		for (k : 0 .. KEYS - 1) {
			if
			:: reader_value[k] > follower_value[k] -> follower_value[k] = reader_value[k]
			:: else -> skip
			fi
		}
		k = 0;
		follower_revision = reader_revision; follower_era = reader_era }
	:: atomic { follower_era == reader_era && follower_revision < reader_revision ->
#else
	:: atomic { follower_revision < reader_revision ->
#endif
		for (k : 0 .. KEYS - 1) {
			if
			:: reader_changed[k] > follower_revision -> follower_value[k] = reader_value[k]
			:: else -> skip
			fi
		}
		k = 0;
		follower_revision = reader_revision; follower_era = reader_era }
	od
}

/* Makes all runs infinite, so that fairness also applies to runs in which nothing is left to do. */
active proctype Idle() {
end:	do
	:: true -> skip
	od
}

init {
	atomic {
		run Writer(0);
		run Writer(1);
		run Reader();
		run Follower();
		run Faults()
	}
}

#define READER_CURRENT (reader_value[0] == written[0] && reader_value[1] == written[1])
#define FOLLOWER_CURRENT (follower_value[0] == written[0] && follower_value[1] == written[1])
ltl converges { [] (settled -> <> [] (READER_CURRENT && FOLLOWER_CURRENT)) }
