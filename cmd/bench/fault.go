package main

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	slowFactor = 8
	errorTook  = 2 * time.Millisecond
	flapPeriod = 5 * time.Second
	// noiseErrors, noiseStuck and noisePause describe a healthy but noisy target.
	noiseErrors     = 0.01
	noiseStuck      = 0.001
	noiseStuckTime  = 4 * time.Second
	noisePauseEvery = 30 * time.Second
	noisePause      = 400 * time.Millisecond
	// outageLength is how long a common fault lasts.
	outageLength = 20 * time.Second
)

// noFault leaves everything as it is.
type noFault struct{}

func (noFault) serve(_ *fleet, _ int, usual behaviour, _ string) behaviour { return usual }

func (noFault) pathUp(*fleet, model.NodeRef, model.NodeRef) bool { return true }

// targetFault changes the behaviour of one target from the onset on.
type targetFault struct {
	noFault
	target int
	onset  time.Duration
	serveF func(f *fleet, usual behaviour, class string) behaviour
}

func (t targetFault) serve(f *fleet, target int, usual behaviour, class string) behaviour {
	if target != t.target || f.elapsed() < t.onset {
		return usual
	}
	return t.serveF(f, usual, class)
}

// targetFaults are the single faults by name.
var targetFaults = map[string]func(f *fleet, usual behaviour, class string) behaviour{
	"stalled": func(*fleet, behaviour, string) behaviour { return behaviour{stalled: true} },
	"slow": func(_ *fleet, usual behaviour, _ string) behaviour {
		usual.took *= slowFactor
		return usual
	},
	"erroring": func(*fleet, behaviour, string) behaviour {
		return behaviour{kind: eject.KindError, took: errorTook}
	},
	"half-erroring": func(f *fleet, usual behaviour, _ string) behaviour {
		if f.rng.IntN(2) == 0 {
			return behaviour{kind: eject.KindError, took: errorTook}
		}
		return usual
	},
	"flapping": func(f *fleet, usual behaviour, _ string) behaviour {
		if f.elapsed()/flapPeriod%2 == 0 {
			return behaviour{stalled: true}
		}
		return usual
	},
	// A probe-answering target answers light requests, as it answers probes, and stalls the others.
	"probe-answering": func(_ *fleet, usual behaviour, class string) behaviour {
		if class == classLight {
			return usual
		}
		return behaviour{stalled: true}
	},
}

// pathFault drops what one node sends to another from the onset on.
type pathFault struct {
	noFault
	from, to model.NodeRef
	onset    time.Duration
}

func (p pathFault) pathUp(f *fleet, from, to model.NodeRef) bool {
	return from != p.from || to != p.to || f.elapsed() < p.onset
}

// noise makes healthy targets fail, hang and pause now and then.
type noise struct{ noFault }

func (noise) serve(f *fleet, target int, usual behaviour, _ string) behaviour {
	draw := f.rng.Float64()
	switch {
	case draw < noiseErrors:
		return behaviour{kind: eject.KindError, took: errorTook}
	case draw < noiseErrors+noiseStuck:
		usual.took = noiseStuckTime
	}
	phase := (f.elapsed() + time.Duration(target)*noisePauseEvery/targetCount) % noisePauseEvery
	if phase < noisePause {
		usual.took += noisePause - phase
	}
	return usual
}

// common affects all targets alike during the outage.
type common struct {
	noFault
	onset  time.Duration
	serveF func(f *fleet, usual behaviour, class string) behaviour
}

func (c common) serve(f *fleet, _ int, usual behaviour, class string) behaviour {
	if f.elapsed() < c.onset || f.elapsed() >= c.onset+outageLength {
		return usual
	}
	return c.serveF(f, usual, class)
}

// commonFaults are the faults of what all targets share, by name.
var commonFaults = map[string]func(f *fleet, usual behaviour, class string) behaviour{
	"shared-slow": func(f *fleet, usual behaviour, class string) behaviour {
		if class == classRead {
			usual.took = time.Duration(f.commonFactor * float64(usual.took))
		}
		return usual
	},
	// Requests that need the store fail after its client's time limit; light requests need no store.
	"store-outage": func(_ *fleet, usual behaviour, class string) behaviour {
		if class == classRead {
			return behaviour{kind: eject.KindError, took: time.Second}
		}
		return usual
	},
}
