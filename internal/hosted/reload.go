package hosted

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/access"
)

// SetRetryBudget replaces the retry budget.
func (n *Node) SetRetryBudget(r RetryBudget) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.RetryBudget = r
}

// SetConfigurationBound replaces the time within which a configuration must be in force; zero sets the default.
func (n *Node) SetConfigurationBound(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.ConfigurationBound = d
}

// SetGrace replaces the time between the termination signal and the forced kill.
func (n *Node) SetGrace(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.Grace = d
}

// SetRevocation replaces the bounds on withdrawn keys.
func (n *Node) SetRevocation(r access.Revocation) {
	n.fleet.keys.update(access.RevocationMsg{Revocation: r})
}

func (n *Node) retries() RetryBudget {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.RetryBudget
}

func (n *Node) configurationBound() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config.ConfigurationBound <= 0 {
		return defaultConfigurationBound
	}
	return n.config.ConfigurationBound
}

func (n *Node) grace() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Grace
}

// LogReload logs the result of reloading the settings. With an error the previous settings remain in effect;
// restartFields are the changed fields that require a restart.
func (n *Node) LogReload(cause string, err error, restartFields []string) {
	if err != nil {
		_ = level.Error(n.config.FailureLogger).Log("msg", "settings rejected; keeping the previous settings", "cause", cause, "err", err)
		return
	}
	_ = level.Info(n.config.FailureLogger).Log("msg", "settings reloaded", "cause", cause, "from-next-start", restartFields)
}
