package hosted

import (
	"time"

	"github.com/go-kit/log/level"
)

// SetRetryBudget replaces what the fleet may repeat.
func (n *Node) SetRetryBudget(r RetryBudget) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.RetryBudget = r
}

// SetGrace replaces the time between the request to stop and the end by force.
func (n *Node) SetGrace(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.Grace = d
}

func (n *Node) retries() RetryBudget {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.RetryBudget
}

func (n *Node) grace() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Grace
}

// LogReload notes that the settings were read again: an error means that the earlier ones stay, and fixed names the changed
// fields that hold only from the next start on.
func (n *Node) LogReload(cause string, err error, fixed []string) {
	if err != nil {
		_ = level.Error(n.config.FailureLogger).Log("msg", "settings rejected, the earlier ones stay", "cause", cause, "err", err)
		return
	}
	_ = level.Info(n.config.FailureLogger).Log("msg", "settings reloaded", "cause", cause, "from-next-start", fixed)
}
