package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against held packets being overwritten by the next read into the same buffer, and against a changed order.
func TestPacketsAreCopiedInOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	b := []byte{1}
	is.True(q.Add(0, Packet{Bytes: b}))
	b[0] = 2
	is.True(q.Add(0, Packet{Bytes: b}))
	all := q.Take()
	is.Equal(len(all), 2)
	is.Equal(all[0].Bytes, []byte{1})
	is.Equal(all[1].Bytes, []byte{2})
	is.Equal(len(q.Take()), 0)
}

// Guards against a packet being held forever, including one that is added again after Take.
func TestPacketsExpireAfterMaxWait(t *testing.T) {
	is := is.New(t)
	q := Queue{MaxWait: time.Second}
	is.True(q.Add(0, Packet{Reason: "a"}))
	is.True(q.Add(time.Millisecond, Packet{Arrived: time.Millisecond, Reason: "b"}))
	is.Equal(len(q.Expire(time.Second-1)), 0)
	expired := q.Expire(time.Second)
	is.Equal(len(expired), 1)
	is.Equal(expired[0].Reason, "a")
	is.True(!q.Add(2*time.Second, Packet{Arrived: time.Second}))
	is.Equal(len(q.Expire(time.Minute)), 1)
	is.Equal(len(q.Expire(time.Minute)), 0)
}

// Guards against unbounded memory use when many packets arrive before the registry was read.
func TestFullQueueRejectsPackets(t *testing.T) {
	is := is.New(t)
	q := Queue{Capacity: 2}
	is.True(q.Add(0, Packet{}))
	is.True(q.Add(0, Packet{}))
	is.True(!q.Add(0, Packet{}))
}
