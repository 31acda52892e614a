package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/flowevent"
)

const (
	ms      = time.Millisecond
	typical = 20 * ms
)

func (m *Model) answer(now, elapsed time.Duration) {
	m.Observe(now, flowevent.Event{Kind: flowevent.Answered, Host: 1, Elapsed: elapsed}, typical)
}

func (m *Model) fail(now time.Duration) {
	m.Observe(now, flowevent.Event{Kind: flowevent.Refused, Host: 1, Elapsed: 300 * ms}, typical)
}

// Guards against limits for servers without a pace.
func TestRoomIsUnlimitedWithoutBegin(t *testing.T) {
	is := is.New(t)
	m := Model{}
	m.answer(time.Second, time.Second)
	m.fail(time.Second)
	is.Equal(m.Room(time.Second, 1), math.Inf(1))
	is.Equal(m.Len(), 0)
}

// Guards against a server that stays limited although its answers are prompt, and against an end that is not reported.
func TestPromptAnswersEndPace(t *testing.T) {
	is := is.New(t)
	var changes []Change
	m := Model{Changed: func(_ time.Duration, _ uint32, c Change) { changes = append(changes, c) }}
	m.Begin(0, 1, "new")
	is.Equal(m.Room(0, 1), initialRoom)
	for range 4 {
		m.answer(100*ms, 20*ms)
	}
	is.True(m.Room(100*ms, 1) >= 4)
	_, reason, limited := m.Status(1)
	is.True(limited)
	is.Equal(reason, "new")
	is.Equal(m.Room(stablePeriod, 1), math.Inf(1))
	is.Equal(len(changes), 2)
	is.True(changes[0].Started)
	is.Equal(changes[1].Reason, "new")
	is.Equal(changes[1].Duration, stablePeriod)
	is.Equal(m.Len(), 0)
}

// Guards against more load while answers slow down, and against several reductions for requests of the same time.
func TestSlowAnswersReduceRoomOnce(t *testing.T) {
	is := is.New(t)
	m := Model{}
	m.Begin(0, 1, "new")
	for range 6 {
		m.answer(100*ms, 20*ms)
	}
	room := m.Room(100*ms, 1)
	m.answer(200*ms, 50*ms) // Slower than usual, but not much.
	is.Equal(m.Room(200*ms, 1), room)
	for range 5 {
		m.answer(500*ms, 200*ms)
	}
	is.True(math.Abs(m.Room(500*ms, 1)-0.2) < 0.001)
	m.answer(time.Second, 200*ms)
	is.True(m.Room(time.Second, 1) < 0.2)
	for i := range 10 {
		m.fail(time.Duration(i+2) * time.Second)
	}
	is.Equal(m.Room(11*time.Second, 1), minRoom)
}

// Guards against a server that has always been slower than others and stays limited after its return.
func TestOwnHistoryCounts(t *testing.T) {
	is := is.New(t)
	m := Model{}
	m.answer(0, 100*ms)
	m.Begin(time.Second, 1, "returned")
	m.answer(1100*ms, 100*ms)
	is.True(m.Room(1100*ms, 1) > initialRoom)
}

// Guards against a server without room for good: it must return to 1 with time alone, and the pace must end although
// the typical response time is wrong.
func TestRoomReturnsWithTime(t *testing.T) {
	is := is.New(t)
	m := Model{}
	m.Begin(0, 1, "recovered")
	for i := range 60 {
		m.answer(time.Duration(i)*time.Second, 300*ms)
	}
	is.True(m.Room(59*time.Second, 1) < 0.1)
	is.Equal(m.Room(59*time.Second+4*maxRecovery, 1), 1.0)
	m.Tick(maxDuration)
	is.Equal(m.Len(), 0)
}

// Guards against a flapping server that gets the room of a new one each time it comes back.
func TestRecentFailuresReduceRoom(t *testing.T) {
	is := is.New(t)
	m := Model{}
	now, rooms := time.Duration(0), []float64{}
	for range 4 {
		m.fail(now)
		now += time.Second
		m.Begin(now, 1, "recovered")
		rooms = append(rooms, m.Room(now, 1))
		now += 1800 * ms
	}
	is.Equal(rooms[0], initialRoom)
	is.True(rooms[1] < rooms[0])
	is.True(rooms[3] <= rooms[1])
	m.Forget(1)
	is.Equal(m.Len(), 0)
	now += failureWindow
	m.Begin(now, 1, "recovered")
	is.Equal(m.Room(now, 1), initialRoom)
}

// Guards against full load for a server that is known to be slow, after some time without answers, and against one that
// is kept from it although its answers are prompt.
func TestHeldRoomGrowsOnlyWithAnswers(t *testing.T) {
	is := is.New(t)
	m := Model{}
	m.Begin(0, 1, "new")
	m.Hold(0, 1, time.Minute)
	is.Equal(m.Room(time.Minute-1, 1), minRoom)
	is.Equal(m.Room(time.Minute, 1), initialRoom)
	is.Equal(m.Room(65*time.Second, 1), 1.0)
	m.Hold(66*time.Second, 1, 2*time.Minute)
	for range 5 {
		m.answer(67*time.Second, 20*ms)
	}
	is.True(m.Room(67*time.Second, 1) >= 1)
}
