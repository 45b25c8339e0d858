package drain

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
)

// State is the phase of a shutdown.
type State string

// The phases of a shutdown, in order.
const (
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateClosing  State = "closing"
	StateHandover State = "handover"
	StateExited   State = "exited"
)

const (
	defaultTimeout = time.Minute
	// Callers and peers need time to learn of the shutdown; a listener that closes earlier resets connections on which
	// a request is already in flight.
	defaultLinger = 3 * time.Second
	// A successor that does not respond must not keep the process alive.
	handoverTimeout = 2 * time.Second
)

// Config holds the limits of a shutdown; zero fields take defaults.
type Config struct {
	// Timeout limits the whole shutdown, 60 s by default.
	Timeout time.Duration
	// Linger is how long the listeners accept requests after the announcement, 3 s by default.
	Linger time.Duration
	// RelayLinger is how long the relay takes requests after the announcement; zero means not at all.
	RelayLinger time.Duration
	// MinRunTime is the time before the end of Timeout in which no request is started any more; zero means none.
	MinRunTime time.Duration
}

// Shutdown is the state machine of a graceful shutdown.
type Shutdown struct {
	config  Config
	state   State
	since   time.Time
	stopped time.Time
	// refusing is set once requests that wait are refused, and relayStopped once the relay refuses requests.
	refusing, relayStopped bool
}

// New returns a Shutdown in the serving state.
func New(config Config) *Shutdown {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Linger <= 0 {
		config.Linger = defaultLinger
	}
	return &Shutdown{config: config, state: StateServing}
}

// State returns the current phase.
func (s *Shutdown) State() State {
	return s.state
}

// Update processes msg and returns the steps that are due.
func (s *Shutdown) Update(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case StopMsg:
		return s.stop(msg)
	case TickMsg:
		return s.tick(msg)
	case HandedOverMsg:
		return s.handedOver(msg)
	}
	return nil
}

func (s *Shutdown) stop(msg StopMsg) []Cmd {
	if s.state != StateServing {
		return nil
	}
	s.stopped = msg.Now
	s.enter(StateLeaving, msg.Now)
	return []Cmd{AnnounceLeavingCmd{}}
}

func (s *Shutdown) tick(msg TickMsg) (cmds []Cmd) {
	if !s.isRunning() {
		return s.advance(msg)
	}
	after := msg.Now.Sub(s.stopped)
	if after >= s.config.Timeout {
		return s.exit(msg.Now, msg.InFlight)
	}
	if isDue(&s.relayStopped, s.config.RelayLinger, after, s.config.RelayLinger) {
		cmds = append(cmds, StopRelayingCmd{})
	}
	if isDue(&s.refusing, s.config.MinRunTime, after, s.config.Timeout-s.config.MinRunTime) {
		cmds = append(cmds, StopAdmittingCmd{})
	}
	return append(cmds, s.advance(msg)...)
}

// isDue reports once that the time after the signal is over; it never does for a step whose setting is zero.
func isDue(done *bool, setting, after, due time.Duration) bool {
	if *done || setting <= 0 || after < due {
		return false
	}
	*done = true
	return true
}

// advance enters the next phase when it is due.
func (s *Shutdown) advance(msg TickMsg) []Cmd {
	switch s.state {
	case StateLeaving:
		return s.closeAfterLinger(msg)
	case StateClosing:
		return s.handOverWhenIdle(msg)
	case StateHandover:
		return s.endHandover(msg)
	default:
		return nil
	}
}

func (s *Shutdown) closeAfterLinger(msg TickMsg) []Cmd {
	if msg.Now.Sub(s.since) < s.config.Linger {
		return nil
	}
	s.enter(StateClosing, msg.Now)
	return []Cmd{CloseListenersCmd{}}
}

// handOverWhenIdle waits for the last request, because its idempotency key must be handed over as well.
func (s *Shutdown) handOverWhenIdle(msg TickMsg) []Cmd {
	if msg.InFlight > 0 {
		return nil
	}
	s.enter(StateHandover, msg.Now)
	return []Cmd{HandOverKeysCmd{}}
}

// endHandover returns to the closing state if a late request arrived on an open connection, so that the request
// completes and its key is handed over as well.
func (s *Shutdown) endHandover(msg TickMsg) []Cmd {
	if msg.InFlight > 0 {
		s.enter(StateClosing, msg.Now)
		return nil
	}
	if msg.Now.Sub(s.since) < handoverTimeout {
		return nil
	}
	return s.exit(msg.Now, msg.InFlight)
}

func (s *Shutdown) handedOver(msg HandedOverMsg) []Cmd {
	if s.state != StateHandover {
		return nil
	}
	if msg.InFlight > 0 {
		s.enter(StateClosing, msg.Now)
		return nil
	}
	return s.exit(msg.Now, 0)
}

func (s *Shutdown) exit(now time.Time, inFlight int) []Cmd {
	expired := now.Sub(s.stopped) >= s.config.Timeout
	invar.Check(inFlight == 0 || expired, "drain", "exit before the timeout with %d requests in flight", inFlight)
	s.enter(StateExited, now)
	return []Cmd{ExitCmd{Aborted: inFlight}}
}

func (s *Shutdown) enter(state State, now time.Time) {
	s.state = state
	s.since = now
}

func (s *Shutdown) isRunning() bool {
	return s.state != StateServing && s.state != StateExited
}
