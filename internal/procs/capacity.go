package procs

import (
	"math"
	"time"
)

// serviceTimeSigma is the sigma of the log-normal service time distribution of the stand-in targets.
const serviceTimeSigma = 0.3

// MeanServiceTime returns the mean service time of a target, which exceeds the median because the log-normal
// distribution is skewed to the right.
func (c PlanConfig) MeanServiceTime() time.Duration {
	return time.Duration(float64(c.ServiceTime) * math.Exp(serviceTimeSigma*serviceTimeSigma/2))
}

// Capacity returns the requests per second that the announced slots of a service can process.
func (p *Plan) Capacity(service string) float64 {
	slots := 0
	for _, t := range p.Targets {
		if t.Service == service {
			slots += t.Slots
		}
	}
	return float64(slots) / p.MeanServiceTime().Seconds()
}
