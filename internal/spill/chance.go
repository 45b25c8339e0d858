package spill

import (
	"math"
	"time"
)

const (
	// chanceGain is the weight of one reply in the moving average.
	chanceGain = 1.0 / 8
	// chanceHalfLife is the time in which half of what replies have shown is forgotten.
	chanceHalfLife = time.Second
	// minChance bounds the number of agents that a search is expected to ask.
	minChance = 1.0 / 8
)

// chance estimates the probability that an agent of a tier has room. It returns to one while no agent is asked, so that requests
// find out when there is room again.
type chance struct {
	at      time.Time
	refused float64
}

func (c *chance) observe(now time.Time, admitted bool) {
	c.refused = 1 - c.value(now)
	if admitted {
		c.refused -= chanceGain * c.refused
	} else {
		c.refused += chanceGain * (1 - c.refused)
	}
	c.at = now
}

func (c *chance) value(now time.Time) float64 {
	if c.refused == 0 {
		return 1
	}
	age := max(0, now.Sub(c.at))
	return max(minChance, 1-c.refused*math.Exp2(-float64(age)/float64(chanceHalfLife)))
}
