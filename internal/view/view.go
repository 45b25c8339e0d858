package view

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Candidate is a target that may serve a request, with the node in front of it.
type Candidate struct {
	Target model.Target `json:"target"`
	Node   model.Node   `json:"node"`
}

// Service is the portion of the view that concerns one service.
type Service struct {
	Spec       model.ServiceSpec   `json:"spec"`
	Candidates []Candidate         `json:"candidates"`
	Claims     []model.Claim       `json:"claims"`
	Poison     []model.PoisonEntry `json:"poison"`
}

// View is the state of the fleet as known to one node at one moment; it is never modified.
type View struct {
	Self         model.Node `json:"self"`
	ConfigNumber uint64     `json:"number"`
	Services     []*Service `json:"services"`
}

// Config holds the content from which New builds a view.
type Config struct {
	Self          model.Node
	Configuration *model.Configuration
	Candidates    []Candidate
	Claims        []model.Claim
	Poison        []model.PoisonEntry
}

// Holder holds the current view; readers load it without a lock.
type Holder struct {
	pointer atomic.Pointer[View]
}

// New groups the content by service; content of services outside the configuration is omitted.
func New(c Config) *View {
	v := &View{Self: c.Self}
	if c.Configuration == nil {
		return v
	}
	v.ConfigNumber = c.Configuration.Number
	for _, spec := range c.Configuration.Services {
		v.Services = append(v.Services, &Service{Spec: spec})
	}
	slices.SortFunc(v.Services, func(a, b *Service) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	v.addCandidates(c.Candidates)
	v.addClaims(c.Claims)
	v.addPoison(c.Poison)
	return v
}

// Service returns the service with the given name, or nil if no ticket defines it.
func (v *View) Service(name string) *Service {
	i, found := slices.BinarySearchFunc(v.Services, name, func(s *Service, name string) int {
		return strings.Compare(s.Spec.Name, name)
	})
	if !found {
		return nil
	}
	return v.Services[i]
}

// Load returns the current view, or nil before the first Store.
func (c *Holder) Load() *View {
	return c.pointer.Load()
}

// Store replaces the current view.
func (c *Holder) Store(v *View) {
	c.pointer.Store(v)
}

func (v *View) addCandidates(candidates []Candidate) {
	for _, candidate := range candidates {
		if s := v.Service(candidate.Target.Ref.Service); s != nil {
			s.Candidates = append(s.Candidates, candidate)
		}
	}
	for _, s := range v.Services {
		slices.SortFunc(s.Candidates, func(a, b Candidate) int { return compareCandidates(&a, &b) })
	}
}

// compareCandidates orders candidates by reference, and targets that two nodes announce by node, for a total order.
func compareCandidates(a, b *Candidate) int {
	if c := a.Target.Ref.Compare(b.Target.Ref); c != 0 {
		return c
	}
	return strings.Compare(a.Node.Ref.ID, b.Node.Ref.ID)
}

func (v *View) addClaims(claims []model.Claim) {
	for _, claim := range claims {
		if s := v.Service(claim.Target.Service); s != nil {
			s.Claims = append(s.Claims, claim)
		}
	}
}

func (v *View) addPoison(entries []model.PoisonEntry) {
	for _, entry := range entries {
		if s := v.Service(entry.Service); s != nil {
			s.Poison = append(s.Poison, entry)
		}
	}
}
