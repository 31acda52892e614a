package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against packets that are changed by the next read into the same buffer, or decided about in another order.
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

// Guards against a packet that waits for ever, and against one that is put back again and again.
func TestMaxWait(t *testing.T) {
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

// Guards against memory that a flood of packets without a picture takes.
func TestFullQueueRejectsPackets(t *testing.T) {
	is := is.New(t)
	q := Queue{Capacity: 2}
	is.True(q.Add(0, Packet{}))
	is.True(q.Add(0, Packet{}))
	is.True(!q.Add(0, Packet{}))
}
