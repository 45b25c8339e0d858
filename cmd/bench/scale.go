package main

import (
	"fmt"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// The design size and the budgets that are stated for it.
const (
	designNodes         = 670
	designTargets       = 7500
	designServices      = 170
	designRoutes        = 2500
	designAccounts      = 45_000
	designRequests      = 180_000
	designRegions       = 3
	designDomains       = 9
	designTickets       = 750
	designRestarts      = 2100
	designFailures      = 11
	designSlots         = 4
	budgetCore          = 0.029
	budgetMemoryMB      = 128.0
	budgetBytes         = 5000.0
	budgetReads         = 2000.0
	budgetWrites        = 300.0
	budgetLinkMbit      = 4000.0
	secondsPerDay       = 86_400.0
	microsPerSecond     = 1e6
	bitsPerMegabit      = 1e6
	bytesPerGigabyte    = 1e9
	scaleIncarnation    = 1 << 50
	routesPerService    = designRoutes / designServices
	requestsPerNode     = designRequests / float64(designNodes)
	incarnationOfOthers = 1 << 49
)

// scaleSizes are the numbers of nodes at which slopes are measured; targets and routes are in proportion.
var scaleSizes = []int{10, 100, designNodes}

func targetsOf(nodes int) int { return nodes * designTargets / designNodes }

// scaledMembers returns the module of node 0 after all others have joined through it.
func scaledMembers(nodes int) *member.Module {
	now := time.Unix(1_700_000_000, 0)
	first := member.New(member.Config{Self: scaledNode(0), Seed: 1, Now: now})
	first.Update(member.LocalMsg{Now: now, Local: member.LocalState{Ticket: 1, Targets: scaledTargets(0, nodes)}})
	first.Update(member.BootstrapMsg{Now: now})
	for i := 1; i < nodes; i++ {
		other := member.New(member.Config{Self: scaledNode(i), Seed: uint64(i), Now: now})
		other.Update(member.LocalMsg{Now: now, Local: member.LocalState{Ticket: 1, Targets: scaledTargets(i, nodes)}})
		// The own record is published by the next tick after a second.
		other.Update(member.TickMsg{Now: now.Add(2 * time.Second)})
		for _, cmd := range other.Update(member.JoinMsg{Now: now.Add(2 * time.Second), Address: scaledNode(0).PeerAddress}) {
			if sync, ok := cmd.(member.SyncCmd); ok {
				first.Update(member.SyncRequestMsg{Now: now, Request: sync.Request})
			}
		}
	}
	first.Update(member.TickMsg{Now: now.Add(2 * time.Second)})
	return first
}

func scaledNode(i int) model.Node {
	region := i % designRegions
	domain := region*designDomains/designRegions + i/designRegions%(designDomains/designRegions)
	host := fmt.Sprintf("10.%d.%d.%d", domain, i/250, i%250)
	return model.Node{
		Ref:    model.NodeRef{ID: fmt.Sprintf("vm-%04d", i), Incarnation: scaleIncarnation},
		Domain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", region),
		PeerAddress: host + ":7401", RelayAddress: host + ":7402", CallerAddress: host + ":8080",
	}
}

func scaledTargets(node, nodes int) []model.Target {
	var targets []model.Target
	for i := node; i < targetsOf(nodes); i += nodes {
		targets = append(targets, model.Target{
			Ref: model.TargetRef{
				Service: fmt.Sprintf("service-%03d", i%designServices), ID: fmt.Sprintf("t%04d-%02d", node, i/nodes),
				Incarnation: incarnationOfOthers,
			},
			Node: scaledNode(node).Ref, Slots: designSlots, State: model.TargetServing,
		})
	}
	return targets
}

func scaledConfiguration(routes int) *model.Configuration {
	c := &model.Configuration{Number: 1}
	for s := range designServices {
		spec := model.ServiceSpec{
			Name: fmt.Sprintf("service-%03d", s), FloorSlots: 100, Profile: model.ProfileCapacity,
			Queue: model.QueueSpec{Places: designSlots, Wait: model.Duration(250 * time.Millisecond)}, AccountShare: 0.5,
		}
		for r := s; r < routes; r += designServices {
			spec.Routes = append(spec.Routes, model.RouteSpec{
				Name: fmt.Sprintf("route-%04d", r), Host: fmt.Sprintf("host-%03d.example", s),
				PathPrefix: fmt.Sprintf("/area-%04d/items", r), Methods: []string{"GET", "HEAD"}, Idempotent: true,
				Timeout: model.Duration(2 * time.Second),
			})
		}
		c.Services = append(c.Services, spec)
	}
	return c
}

// partsOf returns what the nodes publish, as a node passes it to the builder of its view.
func partsOf(members *member.Snapshot) []view.NodeState {
	parts := make([]view.NodeState, len(members.Records))
	for i := range members.Records {
		r := &members.Records[i]
		parts[i] = view.NodeState{Node: r.Node, Targets: r.Targets, Claims: r.Ejections, Poison: r.Poison}
	}
	return parts
}

// viewOf joins configuration and records from the beginning, as a starting node does.
func viewOf(self model.Node, configuration *model.Configuration, members *member.Snapshot) *view.View {
	c := view.Config{Self: self, Configuration: configuration}
	for i := range members.Records {
		record := &members.Records[i]
		c.Claims = append(c.Claims, record.Ejections...)
		for _, t := range record.Targets {
			c.Candidates = append(c.Candidates, view.Candidate{Target: t, Node: record.Node})
		}
	}
	return view.New(c)
}

func nodesOf(members *member.Snapshot) []model.Node {
	nodes := make([]model.Node, len(members.Records))
	for i := range members.Records {
		nodes[i] = members.Records[i].Node
	}
	return nodes
}
