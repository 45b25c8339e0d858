package model

import (
	"fmt"
	"time"
)

// Profile selects the outlier ejection thresholds of a service.
type Profile string

const (
	// ProfileCapacity prefers few false ejections over a short detection time.
	ProfileCapacity Profile = "capacity"
	// ProfileDetection prefers a short detection time over few false ejections.
	ProfileDetection Profile = "detection"
)

// Duration is a time.Duration that settings, tickets and JSON represent as text such as `250ms`.
type Duration time.Duration

// EjectionSpec overrides thresholds of the profile; a zero field keeps the value of the profile.
type EjectionSpec struct {
	StallAfter        Duration `cbor:"1,keyasint,omitempty" json:"stall-after,omitempty" yaml:"stall-after,omitempty"`
	ConsecutiveErrors int      `cbor:"2,keyasint,omitempty" json:"consecutive-errors,omitempty" yaml:"consecutive-errors,omitempty"`
	ErrorRatio        float64  `cbor:"3,keyasint,omitempty" json:"error-ratio,omitempty" yaml:"error-ratio,omitempty"`
	SlowFactor        float64  `cbor:"4,keyasint,omitempty" json:"slow-factor,omitempty" yaml:"slow-factor,omitempty"`
	MinSamples        int      `cbor:"5,keyasint,omitempty" json:"min-samples,omitempty" yaml:"min-samples,omitempty"`
}

// QueueSpec bounds the wait for a slot at an agent; the zero value disables waiting.
type QueueSpec struct {
	Places int      `cbor:"1,keyasint,omitempty" json:"places,omitempty" yaml:"places,omitempty"`
	Wait   Duration `cbor:"2,keyasint,omitempty" json:"wait,omitempty" yaml:"wait,omitempty"`
}

// RouteSpec maps requests of callers to a service.
type RouteSpec struct {
	Name       string   `cbor:"1,keyasint" json:"name" yaml:"name"`
	Host       string   `cbor:"2,keyasint,omitempty" json:"host,omitempty" yaml:"host,omitempty"`
	PathPrefix string   `cbor:"3,keyasint" json:"path-prefix" yaml:"path-prefix"`
	Methods    []string `cbor:"4,keyasint,omitempty" json:"methods,omitempty" yaml:"methods,omitempty"`
	Idempotent bool     `cbor:"5,keyasint,omitempty" json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	Timeout    Duration `cbor:"6,keyasint,omitempty" json:"timeout,omitempty" yaml:"timeout,omitempty"`
	Resumable  bool     `cbor:"7,keyasint,omitempty" json:"resumable,omitempty" yaml:"resumable,omitempty"`
	RequireKey bool     `cbor:"8,keyasint,omitempty" json:"require-key,omitempty" yaml:"require-key,omitempty"`
	// MaxAttempts bounds the number of targets that one request may reach; zero selects the default.
	MaxAttempts int `cbor:"9,keyasint,omitempty" json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	// Objective is the time within which an answer has its full value; zero means that none is set.
	Objective Duration `cbor:"10,keyasint,omitempty" json:"objective,omitempty" yaml:"objective,omitempty"`
	// Rank orders requests that wait for the same target; 0 is served first.
	Rank int `cbor:"11,keyasint,omitempty" json:"rank,omitempty" yaml:"rank,omitempty"`
	// Split distributes the requests among services by weight; without it all requests go to the service that defines
	// the route.
	Split []SplitPart `cbor:"12,keyasint,omitempty" json:"split,omitempty" yaml:"split,omitempty"`
	// Literal matches PathPrefix against the path byte by byte, including its trailing slash and any dot segments.
	Literal bool `cbor:"13,keyasint,omitempty" json:"literal,omitempty" yaml:"literal,omitempty"`
	// Public accepts requests without the key of a client account.
	Public bool `cbor:"14,keyasint,omitempty" json:"public,omitempty" yaml:"public,omitempty"`
}

// SplitPart is the weight of one service in the split of a route.
type SplitPart struct {
	Service string `cbor:"1,keyasint" json:"service" yaml:"service"`
	Weight  int    `cbor:"2,keyasint" json:"weight" yaml:"weight"`
}

// ServiceSpec is the complete configuration of a service.
type ServiceSpec struct {
	Name         string       `cbor:"1,keyasint" json:"name" yaml:"name"`
	FloorSlots   int          `cbor:"2,keyasint" json:"floor-slots" yaml:"floor-slots"`
	Profile      Profile      `cbor:"3,keyasint,omitempty" json:"profile,omitempty" yaml:"profile,omitempty"`
	Ejection     EjectionSpec `cbor:"4,keyasint,omitempty" json:"ejection,omitzero" yaml:"ejection,omitempty"`
	Queue        QueueSpec    `cbor:"5,keyasint,omitempty" json:"queue,omitzero" yaml:"queue,omitempty"`
	AccountShare float64      `cbor:"6,keyasint,omitempty" json:"account-share,omitempty" yaml:"account-share,omitempty"`
	Routes       []RouteSpec  `cbor:"7,keyasint" json:"routes" yaml:"routes"`
}

// Ticket is a numbered change; it holds the complete new configuration of each service that it changes.
type Ticket struct {
	Number   uint64        `cbor:"1,keyasint" json:"number" yaml:"number"`
	Author   string        `cbor:"2,keyasint" json:"author" yaml:"author"`
	Summary  string        `cbor:"3,keyasint,omitempty" json:"summary,omitempty" yaml:"summary,omitempty"`
	Services []ServiceSpec `cbor:"4,keyasint,omitempty" json:"services,omitempty" yaml:"services,omitempty"`
	Remove   []string      `cbor:"5,keyasint,omitempty" json:"remove,omitempty" yaml:"remove,omitempty"`
}

// Configuration is the result of applying all tickets up to Number.
type Configuration struct {
	Number   uint64        `cbor:"1,keyasint" json:"number"`
	Services []ServiceSpec `cbor:"2,keyasint" json:"services"`
}

// String returns the duration as text.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText encodes the duration as text such as `250ms`.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes text such as `250ms`; a number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: write a number with a unit, for example 250ms or 5s", text)
	}
	*d = Duration(parsed)
	return nil
}
