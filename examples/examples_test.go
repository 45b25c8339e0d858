package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// deployment holds the properties of a deployment as described in docs/design.md.
type deployment struct {
	regions  []string
	services []string
	profile  model.Profile
	slots    int
}

var deployments = map[string]deployment{
	"instituto": {
		regions:  []string{"norte", "centro", "sul"},
		services: []string{"courtview", "rakedispatch", "clubfees", "plandesk"},
		profile:  model.ProfileCapacity,
		slots:    12 * 7,
	},
	"kleefwerk": {
		regions:  []string{"west-nl", "north-eu", "central-eu"},
		services: []string{"vitrine", "kassa", "drukkerij", "archief"},
		profile:  model.ProfileDetection,
		slots:    12 * 3,
	},
}

// Guards against example settings that a node rejects or that omit a failure domain of the deployment.
func TestSettingsOfEveryFailureDomainLoad(t *testing.T) {
	for name, d := range deployments {
		addresses := make(map[string]bool)
		var seeds []string
		for _, region := range d.regions {
			for _, domain := range []string{region + "-1", region + "-2"} {
				s, err := config.Load(filepath.Join(name, domain+".yaml"))
				require.NoError(t, err)
				require.Equal(t, config.NodeIdentity{ID: domain + "-vm-01", Region: region, FailureDomain: domain}, s.Node)
				require.False(t, addresses[s.Listeners.Peers], "two nodes have the same peer address")
				addresses[s.Listeners.Peers] = true
				seeds = s.Seeds
			}
		}
		for _, seed := range seeds {
			require.True(t, addresses[seed], "seed %s is not the peer address of an example node", seed)
		}
	}
}

// Guards against a first ticket that can't be accepted or that does not fit the size of the deployment.
func TestFirstTicketsAreValidAndComplete(t *testing.T) {
	for name, d := range deployments {
		path := filepath.Join(name, "ticket-1.yaml")
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		first, err := ticket.Parse(path, data)
		require.NoError(t, err)
		require.NoError(t, ticket.ValidateAgainst(&model.Configuration{}, first))
		var services []string
		for _, s := range first.Services {
			services = append(services, s.Name)
			require.Equal(t, d.profile, s.Profile, s.Name)
			require.Less(t, s.FloorSlots, d.slots, s.Name)
			require.LessOrEqual(t, s.Queue.Places, d.slots/12, "a queue must not have more places than a target has slots")
		}
		require.Equal(t, d.services, services)
	}
}
