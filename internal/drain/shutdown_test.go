package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000, 0)

// Guards against an exit that aborts a request before the timeout, in any order of messages.
func TestShutdownAbortsNoRequestBeforeTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{Timeout: 20 * time.Second, Linger: time.Second})
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "step")) * time.Millisecond)
			for _, cmd := range s.Update(drawMsg(t, now)) {
				exit, isExit := cmd.(ExitCmd)
				if isExit && exit.Aborted > 0 {
					require.GreaterOrEqual(t, now.Sub(s.stopped), 20*time.Second)
				}
			}
		}
	})
}

// Guards against a shutdown that hangs when no successor responds.
func TestShutdownEndsWithoutSuccessor(t *testing.T) {
	s := New(Config{})
	require.Equal(t, []Cmd{AnnounceLeavingCmd{}}, s.Update(StopMsg{Now: start}))
	require.Empty(t, s.Update(TickMsg{Now: start.Add(time.Second)}))
	require.Equal(t, []Cmd{CloseListenersCmd{}}, s.Update(TickMsg{Now: start.Add(4 * time.Second), InFlight: 1}))
	require.Empty(t, s.Update(TickMsg{Now: start.Add(5 * time.Second), InFlight: 1}))
	require.Equal(t, []Cmd{HandOverKeysCmd{}}, s.Update(TickMsg{Now: start.Add(6 * time.Second)}))
	require.Equal(t, []Cmd{ExitCmd{}}, s.Update(TickMsg{Now: start.Add(9 * time.Second)}))
	require.Equal(t, StateExited, s.State())
}

// Guards against a relay that refuses requests while other nodes are not told, more than once, or never.
func TestRelayStopsOnceBeforeTheListenersClose(t *testing.T) {
	s := New(Config{Timeout: 20 * time.Second, Linger: 3 * time.Second, RelayLinger: 2 * time.Second})
	var steps []Cmd
	for after := time.Duration(0); s.State() != StateExited; after += 250 * time.Millisecond {
		cmds := s.Update(TickMsg{Now: start.Add(after)})
		if after == 0 {
			cmds = s.Update(StopMsg{Now: start})
		}
		for _, cmd := range cmds {
			if _, stops := cmd.(StopRelayingCmd); stops {
				require.Equal(t, 2*time.Second, after)
			}
			steps = append(steps, cmd)
		}
	}
	require.Equal(t, []Cmd{AnnounceLeavingCmd{}, StopRelayingCmd{}, CloseListenersCmd{}, HandOverKeysCmd{}, ExitCmd{}}, steps)
}

func drawMsg(t *rapid.T, now time.Time) Msg {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return StopMsg{Now: now}
	case 1:
		return HandedOverMsg{Now: now, InFlight: rapid.IntRange(0, 1).Draw(t, "late")}
	default:
		return TickMsg{Now: now, InFlight: rapid.IntRange(0, 2).Draw(t, "in-flight")}
	}
}

// Guards against a shutdown that starts requests which it must abort soon after, and against refusing them more than once.
func TestWaitingRequestsAreRefusedBeforeTheEnd(t *testing.T) {
	start := time.Unix(0, 0)
	s := New(Config{Timeout: 10 * time.Second, Linger: 3 * time.Second, MinRunTime: 2 * time.Second})
	s.Update(StopMsg{Now: start})
	refusedAt := []time.Duration(nil)
	for after := time.Duration(0); s.State() != StateExited; after += 500 * time.Millisecond {
		for _, cmd := range s.Update(TickMsg{Now: start.Add(after), InFlight: 1}) {
			if _, ok := cmd.(StopAdmittingCmd); ok {
				refusedAt = append(refusedAt, after)
			}
		}
	}
	require.Equal(t, []time.Duration{8 * time.Second}, refusedAt)
}
