package main

import (
	"fmt"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	serviceName = "service"
	targetCount = 12
	domainCount = 6
	regionCount = 3
	// plainNodes is the number of nodes without a target of the service; their edges spread over the nearest targets.
	plainNodes = domainCount
	// sameDomainDelay is the one-way delay between two VMs of one failure domain; the deployments give none.
	sameDomainDelay = 200 * time.Microsecond
	regionDelay     = 12 * time.Millisecond
)

// deployment holds the sizes of one of the two users of the fleet.
type deployment struct {
	name        string
	profile     model.Profile
	slots       int
	domainDelay time.Duration
}

var deployments = []deployment{
	{name: "instituto", profile: model.ProfileCapacity, slots: 7, domainDelay: time.Millisecond},
	{name: "kleefwerk", profile: model.ProfileDetection, slots: 3, domainDelay: 1500 * time.Microsecond},
}

// spec returns the service: its floor is two thirds of the announced slots.
func (d deployment) spec() model.ServiceSpec {
	return model.ServiceSpec{
		Name: serviceName, FloorSlots: targetCount * d.slots * 2 / 3, Profile: d.profile,
		Queue: model.QueueSpec{Places: d.slots, Wait: model.Duration(100 * time.Millisecond)},
	}
}

// node returns the i-th VM; the first targetCount VMs carry a target.
func (d deployment) node(i int) model.Node {
	domain := i % domainCount
	return model.Node{
		Ref:    model.NodeRef{ID: fmt.Sprintf("n%02d", i), Incarnation: 1},
		Domain: fmt.Sprintf("d%d", domain), Region: fmt.Sprintf("r%d", domain%regionCount),
	}
}

func (d deployment) target(i int) model.Target {
	return model.Target{
		Ref:  model.TargetRef{Service: serviceName, ID: fmt.Sprintf("t%02d", i), Incarnation: 1},
		Node: d.node(i).Ref, Slots: d.slots, State: model.TargetServing,
	}
}

func (d deployment) delay(a, b model.Node) time.Duration {
	switch {
	case a.Ref == b.Ref:
		return 0
	case a.Domain == b.Domain:
		return sameDomainDelay
	case a.Region == b.Region:
		return d.domainDelay
	default:
		return regionDelay
	}
}
