package procs

import (
	"math"
	"time"
)

// serviceSpread is the sigma of the log-normal service times of the stand-in targets.
const serviceSpread = 0.3

// MeanServiceTime returns the mean time of work of a target, which is above the median because long times are rarer.
func (c PlanConfig) MeanServiceTime() time.Duration {
	return time.Duration(float64(c.ServiceTime) * math.Exp(serviceSpread*serviceSpread/2))
}

// Capacity returns the requests per second that the announced slots of a service can do.
func (p *Plan) Capacity(service string) float64 {
	slots := 0
	for _, t := range p.Targets {
		if t.Service == service {
			slots += t.Slots
		}
	}
	return float64(slots) / p.MeanServiceTime().Seconds()
}
