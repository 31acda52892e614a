package flow

import (
	"math/bits"
	"time"

	"github.com/masticspar/masticspar/internal/packet"
)

// chunkSize is the number of pins allocated at a time. The store grows without copying pins, so pointers stay valid.
const chunkSize = 4096

// prefetchBatch is the number of keys that are prefetched together.
const prefetchBatch = 64

type state uint8

// States of a pin; free is an unused entry.
const (
	free state = iota
	halfOpen
	established
	unverified
	closed
)

func (s state) String() string {
	return [...]string{"free", "half-open", "established", "unverified", "closed"}[s]
}

type pinFlag uint8

const (
	counted     pinFlag = 1 << iota // Opened was observed and Closed was not
	outstanding                     // Requested was observed and neither Answered nor Abandoned
	accepted                        // the SYN-ACK of the host was received
	unconfirmed                     // the host is learned from return traffic; no packet of the caller has confirmed it
	callerDone                      // the FIN of the caller passed
	hostDone                        // the FIN of the host passed
	exception                       // the host is not among the first of the flow's rank
	hinted                          // created from a hint of another entry VM and not used since
)

// pin is one flow. It holds no pointers, so that the garbage collector does not visit the pins.
type pin struct {
	key           packet.Key
	state         state
	flags         pinFlag
	since         time.Duration // when the SYN or the outstanding request was sent
	service, host uint32
	hostSeq       uint32 // half-open: the host's ISN; later the sequence number after the last byte seen from the host
	callerSeq     uint32 // the sequence number after the last byte seen from the caller
	deadline      uint32 // in ms; the pin is removed at this time
	pendingIndex  uint32 // index of the pending state plus one, or zero; in a free entry, the next free slot plus one
	epoch         uint16 // the epoch of the table in which the pin was last valid
	checked       uint16 // in s; when the rank of the host was last checked
}

func (n *pin) is(f pinFlag) bool { return n.flags&f != 0 }

// ref is an entry of the index. Its tag holds hash bits, so that most entries of other keys are skipped without reading
// their pins.
type ref struct {
	slot uint32 // slot of the pin plus one; zero is an empty entry
	tag  uint32
}

// store finds pins by their keys with linear probing.
type store struct {
	index    []ref
	chunks   []*[chunkSize]pin
	used     uint32 // slots handed out at least once
	freed    uint32 // first free slot below used, plus one
	count    int
	capacity int
}

func (s *store) init(capacity int) {
	// The index is at most 4/5 full; linear probing becomes slow above that.
	size := 1 << bits.Len(uint(max(capacity, 8)*5/4-1))
	s.index = make([]ref, size)
	s.capacity = capacity
}

func (s *store) at(slot uint32) *pin {
	return &s.chunks[slot/chunkSize][slot%chunkSize]
}

func (s *store) find(k *packet.Key, hash uint64) *pin {
	mask := uint32(len(s.index) - 1)
	tag := uint32(hash)
	for i := tag & mask; s.index[i].slot != 0; i = (i + 1) & mask {
		if s.index[i].tag == tag {
			if n := s.at(s.index[i].slot - 1); n.key == *k {
				return n
			}
		}
	}
	return nil
}

// insert adds a pin for a key that is not in the store. It returns nil when the store is full.
func (s *store) insert(k *packet.Key, hash uint64) *pin {
	if s.count >= s.capacity {
		return nil
	}
	slot := s.used
	if s.freed != 0 {
		slot = s.freed - 1
		s.freed = s.at(slot).pendingIndex
	} else {
		if slot%chunkSize == 0 {
			s.chunks = append(s.chunks, new([chunkSize]pin))
		}
		s.used++
	}
	mask := uint32(len(s.index) - 1)
	i := uint32(hash) & mask
	for s.index[i].slot != 0 {
		i = (i + 1) & mask
	}
	s.index[i] = ref{slot: slot + 1, tag: uint32(hash)}
	s.count++
	n := s.at(slot)
	*n = pin{key: *k}
	return n
}

// remove deletes the pin and shifts later entries of its probe sequence back, so that the index needs no markers for
// deleted entries.
func (s *store) remove(n *pin) {
	mask := uint32(len(s.index) - 1)
	i := uint32(n.key.Hash()) & mask
	for s.at(s.index[i].slot-1) != n {
		i = (i + 1) & mask
	}
	slot := s.index[i].slot
	for j := (i + 1) & mask; s.index[j].slot != 0; j = (j + 1) & mask {
		if home := s.index[j].tag & mask; (j-home)&mask >= (j-i)&mask {
			s.index[i] = s.index[j]
			i = j
		}
	}
	s.index[i] = ref{}
	*n = pin{pendingIndex: s.freed}
	s.freed = slot
	s.count--
}

// prefetch reads the first index entry and the pin of each key. The keys do not depend on each other within a loop, so
// that the CPU handles many cache misses at once. The result only keeps the compiler from removing the reads.
func (s *store) prefetch(keys []packet.Key) uint32 {
	var slots [prefetchBatch]uint32
	mask := uint32(len(s.index) - 1)
	for i := range keys {
		slots[i] = uint32(keys[i].Hash()) & mask
	}
	for i := range keys {
		slots[i] = s.index[slots[i]].slot
	}
	sum := uint32(0)
	for i := range keys {
		if slots[i] != 0 { // Both ends are read, because a pin can span two cache lines.
			n := s.at(slots[i] - 1)
			sum += uint32(n.key.Source[0]) + uint32(n.checked)
		}
	}
	return sum
}
