// Package replica follows the published state of a store that can only be read.
//
// A Replica first reads all entries and then watches for changes, starting at the revision of that full read. It reads
// everything again when the store no longer has the history that it needs. While the store refuses calls, does not
// reply or loses its replies, the Replica retries with an increasing delay, and the last received state remains active.
//
// The watch timeout must be short enough to detect a lost reply within the time in which a change has to take effect. A
// delay after each reply with changes collects those that follow in quick succession, so that one call returns them all.
package replica
