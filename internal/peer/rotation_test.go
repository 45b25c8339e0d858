package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/secret"
)

const nextSecret = "the next secret of the test fleet"

func withSecrets(own string, accepted ...string) func(*Config) {
	return func(c *Config) {
		c.Secret = []byte(own)
		set := secret.Config{}
		for _, s := range accepted {
			set.Secrets = append(set.Secrets, []byte(s))
		}
		c.AcceptedSecrets = secret.NewSet(set)
	}
}

// Guards against a fleet that splits while its nodes change the secret one after the other: in each step of the change,
// nodes of neighbouring steps hear and call each other in both directions.
func TestNodesOfNeighbouringRotationStepsMeet(t *testing.T) {
	steps := []struct {
		name   string
		change func(*Config)
	}{
		{"before", withSecrets(testSecret)},
		{"next accepted", withSecrets(testSecret, nextSecret)},
		{"next used", withSecrets(nextSecret, testSecret)},
		{"after", withSecrets(nextSecret)},
	}
	for i := range steps[1:] {
		t.Run(steps[i].name+" and "+steps[i+1].name, func(t *testing.T) {
			a := startPeer(t, "a", steps[i].change)
			b := startPeer(t, "b", steps[i+1].change, withSeed(a))
			eventually(t, "both nodes know each other", func() bool { return sees(a, "a", "b") && sees(b, "a", "b") })
			for _, call := range []struct{ from, to *Peer }{{a, b}, {b, a}} {
				got, err := double(call.from, call.to.Self(), 4)
				require.NoError(t, err)
				require.Equal(t, 8, got)
			}
			require.Zero(t, a.Stats().Forged+b.Stats().Forged)
		})
	}
}

// Guards against a secret that still opens the fleet after the last step of its change, and against uses of an accepted
// secret that operators can't see before that step.
func TestDroppedSecretIsRefused(t *testing.T) {
	a := startPeer(t, "a", withSecrets(nextSecret, testSecret))
	late := startPeer(t, "late", withSecrets(testSecret, nextSecret), withSeed(a))
	eventually(t, "the node with the old secret joined", func() bool { return sees(a, "a", "late") })
	require.Positive(t, a.config.AcceptedSecrets.Uses())
	after := startPeer(t, "after", withSecrets(nextSecret))
	_, err := double(late, after.Self(), 4)
	require.ErrorIs(t, err, ErrUnsent)
	eventually(t, "the dropped secret is counted as forged", func() bool { return after.Stats().Forged > 0 })
}
